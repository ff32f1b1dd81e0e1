"""Prompts: retry budgets, fair queueing, leaving entries, and crashing prompts."""

import collections
import datetime

from sesamespindle.decide import (
    commands,
    core,
    crashes,
    declared,
    events,
    fairqueue,
    fingerprints,
    hashing,
    incarnations,
)

START = datetime.datetime(2026, 12, 7, 9, tzinfo=datetime.UTC)
ME = events.Host("entry-1", "entry", "dc", "http://e", "e:1", "http://a", 1)


def make_core(engines):
    declarations = declared.Declarations(
        contracts=(declared.Contract("desk", 10_000, 2, 5, 1000, (), ()),),
        models=(declared.Model("words", "pool", "v1", 100_000),),
        pools=(declared.Pool("pool", declared.TargetKind.ENGINE, 100_000),),
        targets=tuple(declared.Target(name, "pool", "dc", True) for name in engines),
        data_centres=(declared.DataCentre("dc", "region"),),
    )
    hosts = tuple(
        events.Host(name, "engine", "dc", f"http://{name}") for name in engines
    )
    made = core.Core(ME)
    made.step(
        START, [events.DeclarationsAdopted(1, declarations), events.HostsListed(hosts)]
    )
    made.step(START, [arrival("first", START)])
    grant = events.SliceGrant("desk", events.Resource.PROMPTS, 10_000, 1)
    made.step(START, [events.SlicesGranted(START, (), (grant,))])
    return made


def arrival(request_id, now):
    deadline = now + datetime.timedelta(minutes=1)
    return events.PromptArrived(request_id, "desk", "words", "text", 10, 10, deadline)


def test_retries_do_not_overload_a_slow_pool():
    """Guards against retries that multiply the load of an overloaded pool.

    Every engine refuses. If each of a thousand prompts were tried at four engines,
    the pool would get four times its load.
    """
    made = make_core([f"engine-{number}" for number in range(4)])
    sent = 0
    pending = collections.deque()
    for number in range(1000):
        now = START + datetime.timedelta(milliseconds=number)
        pending.extend(made.step(now, [arrival(f"r{number}", now)]))
        while pending:
            command = pending.popleft()
            if isinstance(command, commands.SendPrompt):
                sent += 1
                ended = events.AttemptEnded(
                    command.request_id, command.attempt, events.Ending.REFUSED
                )
                pending.extend(made.step(now, [ended]))
    assert 1000 < sent <= 1000 * 1.1 + 10


def test_refusals_carry_jittered_retry_delays():
    """Guards against refused callers that all retry at the same time.

    No engine is left, so all prompts are refused with a retry-after.
    """
    made = make_core(())
    waits = set()
    for number in range(100):
        for command in made.step(START, [arrival(f"r{number}", START)]):
            if isinstance(command, commands.Refuse):
                assert command.outcome is commands.Outcome.NOT_RUN
                waits.add(command.retry_after)
    assert len(waits) > 90


def test_queue_serves_accounts_in_proportion_to_weight():
    queue = fairqueue.FairQueue()
    for number in range(30):
        queue.push("large", f"large-{number}")
    for number in range(30):
        queue.push("small", f"small-{number}")
    weight_by_account = {"large": 1, "small": 2}
    taken = [
        queue.take(lambda name: True, weight_by_account.__getitem__) for _ in range(30)
    ]
    counted = collections.Counter(item.split("-")[0] for item in taken)
    assert counted == {"small": 20, "large": 10}


def test_block_ids_differ_between_accounts_and_versions():
    text = "x" * 1024
    salts = [
        hashing.salt("desk", "words", "v1"),
        hashing.salt("desk", "words", "v2"),
        hashing.salt("other", "words", "v1"),
    ]
    chains = [hashing.chain(salt, text) for salt in salts]
    assert len({block for chain in chains for block in chain}) == 12
    longer = hashing.chain(salts[0], text + "y" * 512)
    assert longer[:4] == chains[0]


def test_an_entry_that_has_left_starts_no_prompt():
    """Guards against a prompt that starts just before the entry's ports close.

    It arrives after the last answer, while the ports are still open. It was sent to
    an engine and cut off when they closed.
    """
    made = make_core(["engine-0"])
    made.step(START, [events.LeaveRequested(START + datetime.timedelta(seconds=60))])
    before, *_ = made.step(START, [arrival("before", START)])
    assert isinstance(before, commands.SendPrompt)
    made.step(START, [events.DepartureFinished()])
    (after,) = [
        command
        for command in made.step(START, [arrival("after", START)])
        if isinstance(command, commands.SendPrompt | commands.Refuse)
    ]
    assert isinstance(after, commands.Refuse)
    assert after.code is commands.Code.SHUTTING_DOWN
    assert after.outcome is commands.Outcome.NOT_RUN


def crash_target_of(made, request_id, now, found):
    """Simulate a crash of a prompt's target; return the commands that follow."""
    sent = next(item for item in found if isinstance(item, commands.SendPrompt))
    lost, gone = events.Ending.LINK_LOST, events.Ending.NOT_SENT
    made.step(now, [events.AttemptEnded(request_id, sent.attempt, lost)])
    incarnation = made.crashes.incarnation_of(made.state.targets.get(sent.target))
    made.step(now, [crashes.TargetRefusesConnections(incarnation)])
    ended = crashes.Verdict.ENDED
    made.step(now, [crashes.OpinionsHeard(incarnation, ended, (ended,))])
    return made.step(now, [events.AttemptEnded(request_id, sent.attempt + 1, gone)])


def bad_arrival(request_id, now):
    deadline = now + datetime.timedelta(minutes=1)
    content = fingerprints.of_content(b"bad")
    return events.PromptArrived(
        request_id, "desk", "words", "text", 10, 10, deadline, content=content
    )


def test_a_prompt_that_crashes_engines_reaches_three_at_most():
    """Guards against a repeated prompt that crashes one engine after the other."""
    made = make_core([f"engine-{number}" for number in range(6)])
    now = START + datetime.timedelta(seconds=1)
    found = made.step(now, [bad_arrival("r1", now)])
    found = crash_target_of(made, "r1", now, found)
    refused = crash_target_of(made, "r1", now, found)[-1]
    assert refused.outcome is commands.Outcome.UNKNOWN
    assert refused.code is commands.Code.SUSPECTED
    now += datetime.timedelta(seconds=1)
    crash_target_of(made, "r2", now, made.step(now, [bad_arrival("r2", now)]))
    now += datetime.timedelta(seconds=1)
    found = made.step(now, [bad_arrival("r3", now)])
    (again,) = [item for item in found if isinstance(item, commands.Refuse)]
    assert again.code is commands.Code.QUARANTINED
    assert again.outcome is commands.Outcome.NOT_RUN


def test_an_engine_restarted_under_its_name_clears_no_prompt():
    """Guards against a crash that seems refuted when the engine answers again.

    The restarted engine has the same name, so its answer was attributed to the
    incarnation that crashed, and the prompt that crashed it was cleared.
    """
    made = make_core(["engine-0"])
    now = START + datetime.timedelta(seconds=1)
    found = made.step(now, [bad_arrival("r1", now)])
    crash_target_of(made, "r1", now, found)
    row = made.state.targets.get("engine-0")
    assert made.crashes.incarnation_of(row) == incarnations.TargetIncarnation(
        "engine-0", 1
    )
    row.ejected_until = None
    now += datetime.timedelta(seconds=5)
    sent = made.step(now, [arrival("r2", now)])[-1]
    made.step(now, [events.FirstToken(sent.request_id, 0, 10)])
    (crash,) = made.crashes.records.crash_by_incarnation.values()
    assert not crash.is_refuted
