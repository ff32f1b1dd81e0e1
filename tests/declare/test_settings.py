"""Reading settings: defaults, secrets from the environment, error reports."""

import os
import subprocess
import sys

import pytest

from sesamespindle.declare import findings, settings

GOOD = "name: entry-1\ndata_centre: kgl-1\nplatform_url: http://127.0.0.1:9\n"
KEYS = {
    settings.TOKEN_KEY_VARIABLE: "a-key-of-at-least-16",
    settings.ADMIN_KEY_VARIABLE: "another-key-of-at-least-16",
}
BAD = "name: Entry_1\ndata_center: kgl-1\nplatform_url: nowhere\ntick: 5 apples\n"


def test_defaults_are_filled_in(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(GOOD + "policy:\n  retry_after: 3 s\n")
    loaded = settings.load(path, KEYS)
    assert loaded.policy.retry_after.total_seconds() == 3
    assert loaded.policy.queue_patience.total_seconds() == 2
    assert loaded.token_key.get_secret_value() == "a-key-of-at-least-16"


def test_secrets_are_required(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(GOOD)
    with pytest.raises(findings.FindingsError) as caught:
        settings.load(path, {})
    assert [item.code for item in caught.value.findings] == ["missing_key"] * 2


def test_daemon_with_bad_settings_prints_all_findings_and_exits(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(BAD)
    done = subprocess.run(
        [sys.executable, "-m", "sesamespindle.daemon.main", str(path)],
        env=os.environ | KEYS,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stdout == ""
    lines = done.stderr.splitlines()
    assert [line.split(": ")[1] for line in lines] == [
        "missing_key",
        "wrong_value",
        "unknown_key",
        "wrong_value",
        "wrong_unit",
    ]
    assert "Did you mean 'data_centre'?" in done.stderr
