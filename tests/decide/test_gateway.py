"""The decision logic of an entry host on the platform, without a network."""

import datetime

import gateways
import places
import pytest

from sesamespindle.decide import (
    budgets,
    commands,
    events,
    gateway,
    hashing,
    kvstores,
    lease,
    routes,
    sends,
    targetlist,
    weights,
    world,
)

NOW, SECOND = gateways.NOW, gateways.SECOND


@pytest.fixture
def core():
    """Return a gateway with a configuration, two plain targets and two engines."""
    made = gateways.make_gateway()
    targets = (
        gateways.make_target("desk-1"),
        gateways.make_target("desk-2"),
        gateways.make_target("llm-3", "llm", versions={"m": 1}),
        gateways.make_target("llm-4", "llm", versions={"m": 1}),
    )
    made.step(NOW, [targetlist.TargetsListed(targets)])
    return made


def test_listing_entry_hosts_after_targets_keeps_the_targets(core):
    """Guards against a list of entry hosts that removes all targets.

    After a power loss all hosts start together, and the entry hosts are listed after
    the targets. That list contains no target, so every target counted as unlisted,
    and every request was refused until the process was restarted.
    """
    host = events.Host("entry-2", "entry", "dc-1", "10.0.0.2:80", "10.0.0.2:81")
    core.step(NOW, [events.HostsListed((host,))])
    assert isinstance(gateways.begin(core, "/once/1"), sends.Forward)


def test_a_leaving_host_refuses_only_requests_that_may_outlast_it(core):
    """Guards against a leaving host that cuts requests off, or refuses all of them.

    Callers with an old address connect to a host that has received SIGTERM. It still
    serves short calls. It refuses a stream that may outlast it as "not run", with a
    short, jittered retry-after.
    """
    core.step(NOW, [events.LeaveRequested(NOW + 7.7 * SECOND)])
    later = NOW + 4 * SECOND
    refused = gateways.begin(core, "/chat/1", later)
    assert refused.code is commands.Code.SHUTTING_DOWN
    assert refused.outcome is commands.Outcome.NOT_RUN
    assert datetime.timedelta() < refused.retry_after < SECOND / 5
    assert "r1" not in core.forwarding.flight_by_request
    soon_over = gateways.begin(core, "/once/1", later, deadline=later + 1.5 * SECOND)
    assert isinstance(soon_over, sends.Forward)


def test_a_leaving_host_refuses_bookings_that_it_may_cut_off(core):
    """Guards against a booking that is cut off with an unknown outcome.

    It arrives right after SIGTERM, and its time limit ends after the host does. A
    lookup or a stream is still accepted: callers can't know yet that the host is
    leaving, and they may repeat such requests.
    """
    core.step(NOW, [events.LeaveRequested(NOW + 7.7 * SECOND)])
    soon = NOW + SECOND
    assert gateways.begin(core, "/once/1", soon).code is commands.Code.SHUTTING_DOWN
    read = gateways.begin(core, "/read/1", soon, request_id="r2")
    assert isinstance(read, sends.Forward)
    assert isinstance(
        gateways.begin(core, "/chat/1", soon, request_id="r3"), sends.Forward
    )


def test_a_second_order_to_leave_does_not_move_the_end(core):
    core.step(NOW, [events.LeaveRequested(NOW + 7.7 * SECOND)])
    first = core.state.departure
    core.step(
        NOW + SECOND,
        [events.LeaveRequested(NOW + 8.5 * SECOND)],
    )
    assert core.state.departure is first


def test_requests_without_a_route_or_known_key_are_refused(core):
    assert gateways.begin(core, "/none/").code is commands.Code.NO_ROUTE
    assert gateways.begin(core, "/once/", key="old").code is commands.Code.UNKNOWN_KEY


def test_without_a_configuration_the_refusal_is_not_ready():
    """Guards against a final refusal by a host that has just started.

    It has no configuration yet. A 404 or 401 would keep the caller from trying the
    next host, which could serve the request.
    """
    me = events.Host("entry-1", "entry", "dc-1", "10.0.0.1:80")
    core = gateway.Gateway(me, gateway.PlatformLimits(budgets.BudgetRule()))
    refused = gateways.begin(core, "/once/1")
    assert refused.code is commands.Code.NOT_READY
    assert refused.outcome is commands.Outcome.NOT_RUN


def test_a_once_only_request_is_never_retried_after_a_lost_answer(core):
    """Guards against a booking that runs twice, or that is reported as not run.

    The target's answer is lost, so it is unknown whether the booking ran. It is not
    sent elsewhere, and the outcome is "unknown".
    """
    gateways.begin(core, "/once/1")
    refused = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_a_request_that_was_turned_away_goes_to_another_target(core):
    first = gateways.begin(core, "/once/1")
    second = core.forwarding.ended("r1", sends.Ending.TURNED_AWAY, now=NOW)
    assert second.target != first.target


def test_a_lookup_is_retried_at_another_target_up_to_max_attempts(core):
    first = gateways.begin(core, "/read/1")
    second = core.forwarding.ended("r1", sends.Ending.FAILED, now=NOW)
    assert second.target != first.target
    last = core.forwarding.ended("r1", sends.Ending.FAILED, now=NOW)
    assert isinstance(last, sends.PassOn)


def test_retries_stay_within_the_shared_budget():
    """Guards against retries that double the load of an overloaded service.

    A service fails all lookups under high load. The retries of one host stay below
    its share of the slack plus the ratio of its own requests.
    """
    core = gateways.make_gateway(slack=10.0)
    core.step(NOW, [targetlist.TargetsListed((gateways.make_target("desk-1"),))])
    repeats = 0
    for number in range(200):
        request_id = f"r{number}"
        gateways.begin(core, "/read/1", request_id=request_id)
        ended = core.forwarding.ended(request_id, sends.Ending.FAILED, now=NOW)
        repeats += isinstance(ended, sends.Forward)
        core.forwarding.close(request_id, now=NOW)
    assert 20 < repeats <= 0.2 * 200 + 10


def test_a_configuration_version_never_goes_back(core):
    newer = gateways.make_configuration(3, routes=())
    core.step(NOW, [gateway.ConfigurationRead(newer)])
    core.step(NOW, [gateway.ConfigurationRead(gateways.make_configuration(2))])
    assert core.forwarding.configuration.version == 3


def test_a_leaving_target_gets_no_new_requests(core):
    leaving = gateways.make_target("desk-1", leaving=True, revision=2)
    core.step(NOW, [targetlist.TargetChanged(leaving)])
    targets = {
        gateways.begin(core, "/read/1", request_id=f"r{number}").target
        for number in range(9)
    }
    assert targets == {"desk-2"}


def test_an_older_record_does_not_restore_a_leaving_target(core):
    core.step(
        NOW,
        [targetlist.TargetChanged(gateways.make_target("desk-1", "desk", True, 5))],
    )
    core.step(
        NOW,
        [targetlist.TargetChanged(gateways.make_target("desk-1", revision=4))],
    )
    assert core.state.targets.get("desk-1").leaving


def test_targets_whose_records_expired_in_an_outage_are_used_until_they_register(core):
    """Guards against refusals after an outage in which all target records expired.

    The first list after the platform's return is empty, although the targets still
    serve. They register again within 2 s; until then the known ones are used.
    """
    core.step(NOW, [targetlist.PlatformAvailable(NOW), targetlist.TargetsListed(())])
    later = NOW + 2 * SECOND
    core.step(later, [events.Tick()])
    assert isinstance(gateways.begin(core, "/read/1", now=later), sends.Forward)
    much_later = NOW + 3 * SECOND
    core.step(much_later, [events.Tick()])
    refused = gateways.begin(core, "/read/1", now=much_later, request_id="r2")
    assert refused.code is commands.Code.NO_TARGET


def prompt(*parts):
    return tuple(kvstores.Part(part_id, tokens) for part_id, tokens in parts)


def send_prompt(core, request_id="c1", now=NOW, account="key-1", parts=None):
    parts = parts or prompt(("a", 100), ("b", 4000), (request_id, 50))
    return gateways.begin(
        core,
        "/chat/1",
        now=now,
        request_id=request_id,
        key=account,
        model="m",
        prompt=parts,
    )


def test_prompts_of_one_context_share_a_target(core):
    targets = set()
    for number in range(12):
        sent = send_prompt(core, f"c{number}")
        targets.add(sent.target)
        core.forwarding.first_byte(f"c{number}", now=NOW)
        core.forwarding.close(f"c{number}", now=NOW)
    assert len(targets) == 1


def test_an_isolated_account_has_its_own_salt():
    """Guards against an engine that serves one account's KV cache to an isolated one.

    Two accounts send the same prompt, and one of them is isolated. With the same
    salt they would share the cache.
    """
    accounts = {
        "key-1": routes.Account("acme"),
        "key-2": routes.Account("bank", isolated=True),
    }
    core = gateways.make_gateway()
    core.step(
        NOW,
        [
            gateway.ConfigurationRead(
                gateways.make_configuration(2, account_by_key=accounts)
            )
        ],
    )
    core.step(
        NOW,
        [
            targetlist.TargetsListed(
                (gateways.make_target("llm-3", "llm", versions={"m": 1}),)
            )
        ],
    )
    assert send_prompt(core, "c1").salt != send_prompt(core, "c2", account="key-2").salt


def test_others_use_nothing_that_an_account_made_before_it_became_isolated(core):
    """Requests of others go on with KV cache of an account that is isolated now."""
    before = send_prompt(core, "c1").salt
    changed = gateways.make_configuration(3, isolated_names=frozenset({"bank"}))
    core.step(NOW, [gateway.ConfigurationRead(changed)])
    assert send_prompt(core, "c2").salt != before


def test_salt_and_expected_version_match_what_the_target_runs(core):
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    sent = send_prompt(core)
    assert sent.version == 1
    assert sent.salt == "1"
    row = core.state.targets.get(sent.target)
    row.learn_version("m", 2)
    sent = send_prompt(core, "c2", NOW + 5 * SECOND)
    assert (sent.target, sent.version, sent.salt) == (row.name, 2, "2")


def test_an_engine_that_refuses_a_version_is_not_assumed_to_run_the_newest(core):
    """Guards against requests that an engine refuses forever for a wrong version.

    A third version is announced while engines run different older ones. An engine
    that has loaded the second refused a request for the first. It was then recorded
    as running the third, peers received that, and it refused all their requests.
    """
    core.step(NOW, [weights.VersionAnnounced("m", 2), weights.VersionAnnounced("m", 3)])
    row = core.state.targets.get("llm-3")
    core.weights.note_refused(row, "m", 1)
    assert core.weights.running(row, "m") == 2
    assert row.version_by_model == {"m": 1}
    core.weights.note_refused(row, "m", 2)
    core.weights.note_refused(row, "m", 3)
    assert core.weights.running(row, "m") == 1


def test_no_prompt_is_sent_to_weights_superseded_too_long_ago(core):
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    refused = send_prompt(core, now=NOW + 7 * SECOND)
    assert isinstance(refused, commands.Refuse)


def test_hosts_of_a_lost_data_centre_do_not_block_the_lease():
    """Guards against a lease that nobody takes after the loss of a data centre.

    Only the first two hosts by rank check the lease. Hosts of a lost data centre
    stay live in the tables of the others, as only hosts of the same data centre
    declare each other dead. If both first hosts were lost, nobody checked the lease,
    and no engine received new weights.
    """
    names = hashing.rank("lease", [f"entry-{number}" for number in range(6)])
    me = events.Host(names[2], "entry", "dc-1", "u", "p", "", 1)
    core = gateway.Gateway(me, gateway.PlatformLimits(budgets.BudgetRule(0.2, 50.0)))
    live = events.HostState.LIVE
    for name in names[:2]:
        core.state.put_entry(
            world.EntryRow(name, "dc-2", f"{name}:80", f"{name}:81", "", 1, live)
        )
    now, held = NOW, False
    for _ in range(300):
        now += SECOND / 10
        for command in core.step(now, [events.Tick()]):
            match command:
                case lease.ReadLease():
                    core.step(now, [lease.LeaseFound(None, places.at(0))])
                case lease.WriteLease():
                    core.step(now, [lease.LeaseWritten(command.record, places.at(1))])
        held = held or core.lease.is_held(now)
    assert not core.membership.is_reachable("dc-2", now)
    assert held
