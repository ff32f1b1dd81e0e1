"""The command line, run against a running fleet."""

import json

import pytest


@pytest.fixture
def cli(shared_fleet, loop_runner):
    def run(*arguments, **environment):
        return loop_runner.run(shared_fleet.cli(*arguments, environment=environment))

    return run


@pytest.mark.parametrize("command", ["status", "contracts", "timeline"])
def test_commands_print_json(cli, command):
    code, output = cli(command, "--json")
    assert code == 0, output
    assert json.loads(output)


def test_status_lists_entries(cli):
    code, output = cli("status")
    assert code == 0, output
    assert [line.split()[0] for line in output.splitlines()[1:]] == [
        "entry-1",
        "entry-2",
        "entry-3",
    ]


def test_entries_are_listed_and_a_prompt_is_sent(cli):
    key = {"SESAMESPINDLE_API_KEY": "sk-demo-interpreters"}
    code, output = cli("entries", "--json", **key)
    assert code == 0, output
    assert len(json.loads(output)["entries"]) == 3
    code, output = cli("send", "glossary", "Hello", "--json", **key)
    assert code == 0, output
    assert json.loads(output)["usage"]["completion_tokens"] == 64


def test_timeline_page(cli, tmp_path):
    page = tmp_path / "timeline.html"
    code, output = cli("timeline", "--page", str(page))
    assert code == 0, output
    assert "entry-1" in page.read_text()


def test_diff_against_the_active_configuration(cli, shared_fleet):
    code, output = cli("diff", str(shared_fleet.plan.example.parent / "klantstem"))
    assert code == 0, output
    assert "+ Contract/ombudsman-liaison" in output
    assert "- Contract/interpreters" in output


def test_error_is_one_line(cli):
    code, output = cli("status", SESAMESPINDLE_PLATFORM="http://127.0.0.1:1")
    assert code == 3
    assert output.startswith("sesamespindle: No answer.")
    assert len(output.splitlines()) == 1


def test_drain_of_an_unknown_name(cli):
    code, output = cli("drain", "nobody")
    assert (code, output) == (
        1,
        "sesamespindle: There is no entry or target 'nobody'.\n",
    )
