"""The operator's file that turns parts for hard load on or off."""

import pytest

from sesamespindle.decide import loadparts
from sesamespindle.declare import findings, partchoices


def test_choices_are_read_with_yaml_truth_values(tmp_path):
    path = tmp_path / "parts.yaml"
    path.write_text("queues: off\nkeepers: on\nweighted_hosts: auto\n")
    assert partchoices.load(path) == {
        loadparts.Part.QUEUES: loadparts.Choice.OFF,
        loadparts.Part.KEEPERS: loadparts.Choice.ON,
        loadparts.Part.WEIGHTED_HOSTS: loadparts.Choice.AUTO,
    }


def test_an_empty_file_chooses_nothing(tmp_path):
    path = tmp_path / "parts.yaml"
    path.write_text("")
    assert partchoices.load(path) == {}


@pytest.mark.parametrize(
    ("text", "code"),
    [("queue: on\n", "unknown_key"), ("queues: often\n", "wrong_value")],
)
def test_the_place_of_a_wrong_choice_is_reported(tmp_path, text, code):
    path = tmp_path / "parts.yaml"
    path.write_text(text)
    with pytest.raises(findings.FindingsError) as raised:
        partchoices.load(path)
    (finding,) = raised.value.findings
    assert (finding.code, finding.line) == (code, 1)


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(findings.FindingsError):
        partchoices.load(tmp_path / "none.yaml")
