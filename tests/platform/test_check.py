"""Checks of settings, configurations and the deploy file before they are deployed."""

import json
import pathlib

from sesamespindle.platform import check

ROOT = pathlib.Path(__file__).parent.parent.parent


def test_the_deploy_file_of_the_project_is_valid():
    assert check.check(deploy_path=ROOT / "deploy" / "system.toml") == []


def test_missing_keys_and_roles_of_a_deploy_file_are_reported(tmp_path):
    path = tmp_path / "system.toml"
    path.write_text('[roles.entry]\nrun = "x"\nserves = ["front"]\n')
    messages = [finding.message for finding in check.check(deploy_path=path)]
    assert messages == [
        "build is not set",
        "no role serves directory",
        "roles.entry.on is not set",
    ]


def test_the_place_of_a_fault_in_a_configuration_is_reported(tmp_path):
    path = tmp_path / "main.json"
    path.write_text(json.dumps({"Version": 1, "Routes": [{"Host": "a"}]}))
    (finding,) = check.check(manifest_path=path)
    assert finding.message.startswith("Routes.0.PathPrefix")


def test_unknown_fields_and_kinds_are_accepted(tmp_path):
    """A later version of the platform adds fields and a new kind of route.

    The fields are ignored. An unknown kind is treated like the safest one, whose
    requests run at most once.
    """
    path = tmp_path / "main.json"
    route = {"Host": "a", "PathPrefix": "/", "Kind": "strange", "New": 1}
    path.write_text(json.dumps({"Version": 1, "Routes": [route], "More": {}}))
    assert check.check(manifest_path=path) == []


def test_a_wrong_choice_of_parts_is_reported(tmp_path):
    path = tmp_path / "parts.yaml"
    path.write_text("keepers: never\n")
    (finding,) = check.check(parts_path=path)
    assert finding.message.startswith("keepers")
