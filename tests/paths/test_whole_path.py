"""Scenarios of whole_path.feature, run on a fleet of real processes."""

import json
import shutil

import pytest
import pytest_bdd

from sesamespindle.cli import outcomes, sending
from sesamespindle.lab import answers, fleet

pytest_bdd.scenarios("whole_path.feature")


@pytest.fixture
def running(shared_fleet):
    return shared_fleet


@pytest_bdd.given("a fleet of three entries, three engines, a store host and a service")
def fleet_is_running(running):
    assert len(running.entry_names) == 3


@pytest_bdd.when("a caller of interpreters asks any entry which entries to use")
def ask_entries(running, loop_runner, seen):
    async def ask():
        key = fleet.demo_key("interpreters")
        headers = {"Authorization": f"Bearer {key}"}
        url = f"{running.url('entry-2')}/v1/entries"
        async with running.session.get(url, headers=headers) as response:
            return await response.json()

    seen["entries"] = loop_runner.run(ask())["entries"]


@pytest_bdd.then("it gets three live entries, those of the asked data centre first")
def entries_are_near_first(seen):
    data_centres = [entry["data_centre"] for entry in seen["entries"]]
    assert data_centres == ["kgl-2", "kgl-1", "kgl-1"]


@pytest_bdd.when("it streams a completion from the first of them")
def stream_completion(running, loop_runner, seen):
    seen["sent"] = loop_runner.run(
        sending.send_prompt(
            running.session,
            seen["entries"][0],
            fleet.demo_key("interpreters"),
            "glossary",
            "How is 'cabinet' rendered?",
            20,
        )
    )


@pytest_bdd.then("it gets the whole answer to its own prompt")
def answer_is_whole(seen):
    rendered = "<|user|>How is 'cabinet' rendered?<|end|><|assistant|>"
    assert seen["sent"].text == answers.expected(rendered, 20)
    assert seen["sent"].usage["completion_tokens"] == 20


@pytest_bdd.when("a caller of bookings-desk makes a booking with a key, and repeats it")
def book_twice(running, loop_runner, seen):
    async def book(entry):
        return await sending.send_call(
            running.session,
            {"url": running.url(entry)},
            fleet.demo_key("bookings-desk"),
            "bookings",
            "confirm",
            {"reference": "session-7"},
            "session-7-key",
        )

    async def is_replayed():
        try:
            answer, replayed = await book("entry-3")
        except outcomes.CommandError:
            return False
        return replayed and answer["run"] == 1

    seen["first"] = loop_runner.run(book("entry-1"))
    loop_runner.run(running.until(is_replayed))
    seen["second"] = loop_runner.run(book("entry-3"))


@pytest_bdd.then("both get the first run's answer")
def answers_are_the_same(seen):
    assert seen["first"][0] == seen["second"][0]
    assert (seen["first"][1], seen["second"][1]) == (False, True)


@pytest_bdd.then("the service ran the booking once")
def service_ran_booking_once(running, loop_runner):
    counts = loop_runner.run(running.counts("bookings-1"))
    assert counts["runs"]["session-7"] == 1


@pytest_bdd.when("an operator applies a changed contract and waits")
def apply_change(running, loop_runner, tmp_path, seen):
    folder = tmp_path / "declared"
    shutil.copytree(running.plan.example, folder)
    path = folder / "contracts.yaml"
    text = path.read_text().replace("concurrency: 96", "concurrency: 97")
    path.write_text(text)
    code, output = loop_runner.run(running.cli("apply", str(folder), "--wait"))
    assert code == 0, output


@pytest_bdd.then("every entry reports the new revision")
def every_entry_has_new_revision(running, loop_runner):
    for name in running.entry_names:
        assert loop_runner.run(running.status(name))["revision"] == 2


@pytest_bdd.then("the time line of every entry shows rising revisions")
def revisions_rise(running, loop_runner):
    code, output = loop_runner.run(running.cli("timeline", "--json"))
    assert code == 0, output
    for name in running.entry_names:
        revisions = [
            int(item["subject"])
            for item in json.loads(output)
            if item["daemon"] == name and item["kind"] == "revision"
        ]
        assert revisions == [1, 2]
