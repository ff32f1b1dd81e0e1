"""Calls: what a leaving entry still takes."""

import datetime

import pytest

from sesamespindle.decide import commands, core, crashes, declared, events, gossip

START = datetime.datetime(2026, 12, 7, 9, tzinfo=datetime.UTC)
ME = events.Host("entry-1", "entry", "dc", "http://e", "e:1", "http://a", 1)
ENDS_AT = START + datetime.timedelta(seconds=60)
SERVICE = events.Host("hall-1", "service", "dc", "http://hall-1")


def make_core():
    declarations = declared.Declarations(
        contracts=(declared.Contract("desk", 5, 5, 5, 1000, (), ()),),
        pools=(declared.Pool("hall", declared.TargetKind.SERVICE, 100),),
        targets=(declared.Target("hall-1", "hall", "dc", True),),
        data_centres=(declared.DataCentre("dc", "region"),),
    )
    made = core.Core(ME)
    made.step(
        START,
        [events.DeclarationsAdopted(1, declarations), events.HostsListed((SERVICE,))],
    )
    made.step(START, [arrival("first", START, 1)])
    grant = events.SliceGrant("desk", events.Resource.CALLS, 5, 1)
    made.step(START, [events.SlicesGranted(START, (), (grant,))])
    return made


def arrival(request_id, now, seconds, key="", key_kind=events.KeyKind.TICKET):
    return events.CallArrived(
        request_id,
        "desk",
        "hall",
        now + datetime.timedelta(seconds=seconds),
        key_kind if key else events.KeyKind.NONE,
        key,
        "fingerprint",
        False,
    )


def about(request_id, found):
    return [item for item in found if getattr(item, "request_id", "") == request_id]


@pytest.mark.parametrize("seconds, taken", [(59, True), (60, True), (61, False)])
def test_a_leaving_entry_takes_a_call_only_if_it_is_over_before_the_end(seconds, taken):
    """Bookings come to an entry that is replaced, up to its last second.

    Each was taken whatever it might last, and those that lasted longer than
    the entry were cut off: the callers couldn't know whether they were made.
    """
    made = make_core()
    made.step(START, [events.LeaveAsked(ENDS_AT)])
    (command,) = about("late", made.step(START, [arrival("late", START, seconds)]))
    if taken:
        assert isinstance(command, commands.SendCall)
        return
    assert isinstance(command, commands.Refuse)
    assert command.code is commands.Code.SHUTTING_DOWN
    assert command.outcome is commands.Outcome.NOT_RUN


def test_an_entry_that_has_left_takes_nothing_and_repeats_its_answers():
    """Requests that come after the last one was answered, before the ports close."""
    made = make_core()
    answer = events.StoredAnswer(200, "application/json", b"{}")
    made.step(START, [arrival("booking", START, 30, key="ticket")])
    made.step(START, [events.CallAnswered("booking", 1, answer)])
    made.step(START, [events.LeaveAsked(ENDS_AT), events.HasLeft()])
    (refused,) = about("late", made.step(START, [arrival("late", START, 1)]))
    assert refused.code is commands.Code.SHUTTING_DOWN
    assert refused.outcome is commands.Outcome.NOT_RUN
    again = arrival("again", START, 30, key="ticket")
    assert about("again", made.step(START, [again])) == [
        commands.ReplyStored("again", answer, replayed=True)
    ]


@pytest.mark.parametrize(
    "state, code",
    [
        (events.HostState.LIVE, commands.Code.STILL_RUNNING),
        (events.HostState.LEAVING, commands.Code.STILL_RUNNING),
        (events.HostState.LEFT, commands.Code.OUTCOME_UNKNOWN),
        (events.HostState.DEAD, commands.Code.OUTCOME_UNKNOWN),
    ],
)
def test_a_call_is_said_to_run_only_while_its_entry_may_run_it(state, code):
    """A customer repeats a booking whose entry left and could not record its end.

    The entry had said that nothing of it runs any more, yet for ten minutes
    each repeat was told that the booking still runs, and to ask again.
    """
    made = make_core()

    def hear(spoken, heartbeat):
        member = gossip.Member(
            "entry-2", "dc", "http://f", "f:1", "", 7, heartbeat, spoken, 0
        )
        message = gossip.GossipMessage("entry-2", "dc", members=(member,))
        return gossip.GossipReceived("round", message)

    made.step(START, [hear(events.HostState.LIVE, 1), hear(state, 2)])
    repeat = arrival("repeat", START, 30, "key", events.KeyKind.CALLER)
    made.step(START, [repeat])
    claim = events.Claim(
        "entry-2", 7, "nonce", "fingerprint", events.ClaimState.RUNNING, START
    )
    found = made.step(START, [events.ClaimFound("repeat", 3, claim)])
    (refused,) = about("repeat", found)
    assert (refused.code, refused.outcome) == (code, commands.Outcome.UNKNOWN)


def test_a_call_that_crashes_its_service_is_refused_at_the_fourth_time():
    """A repeated call takes a service down each time that it is back."""
    made = make_core()
    second = datetime.timedelta(seconds=1)
    now = START
    for number in range(3):
        now += second
        (sent,) = about(f"r{number}", made.step(now, [arrival(f"r{number}", now, 30)]))
        ended = events.AttemptEnded(
            sent.request_id, sent.attempt, events.Ending.LINK_LOST
        )
        made.step(now, [ended])
        life = next(iter(made.crashes._broken_runs_by_life))
        assert life.born == number
        made.step(now, [crashes.LifeRefuses(life)])
        made.state.targets.get("hall-1").shunned_until = None
    now += second
    (refused,) = about("last", made.step(now, [arrival("last", now, 30)]))
    assert refused.code is commands.Code.QUARANTINED
    assert refused.outcome is commands.Outcome.NOT_RUN
