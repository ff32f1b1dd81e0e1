"""Membership: gossip between daemons, dead hosts, and who watches the platform."""

import dataclasses
import datetime

from sesamespindle.decide import (
    catalogue,
    commands,
    core,
    events,
    gossip,
    memberrecords,
    membership,
    startupprobes,
    world,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
NAMES = [f"entry-{number}" for number in range(20)]


def make_membership(name, names=NAMES, elsewhere=()):
    me = events.Host(name, "entry", "dc-1", f"{name}:80", f"{name}:81", "", 1)
    state = world.World(me)
    for other in (*names, *elsewhere):
        data_centre = "dc-2" if other in elsewhere else "dc-1"
        state.put_entry(
            world.EntryRow(
                other,
                data_centre,
                f"{other}:80",
                f"{other}:81",
                "",
                1,
                events.HostState.LIVE,
                heard_at=NOW,
            )
        )
    return membership.Membership(state), state


def watchers(names=NAMES):
    return [name for name in names if make_membership(name, names)[0].is_watcher()]


def test_two_daemons_of_a_data_centre_watch_whatever_its_size():
    assert len(watchers()) == membership.WATCHERS
    assert len(watchers(NAMES[:3])) == membership.WATCHERS
    assert len(watchers(NAMES[:1])) == 1


def test_daemons_of_other_data_centres_do_not_count():
    alone, _ = make_membership("entry-0", ["entry-0"], NAMES[1:])
    assert alone.is_watcher()


def test_another_daemon_watches_when_a_watcher_does_not_respond():
    """Guards against a data centre that learns no changes while its watcher is paused.

    The others suspect the paused watcher after `suspect_after`, and one of them takes
    its place.
    """
    silent = watchers()[0]
    for name in NAMES:
        if name == silent:
            continue
        daemon, state = make_membership(name)
        for row in state.entries:
            row.heard_at = NOW + 2 * state.policy.suspect_after
        state.entries.get(silent).heard_at = NOW
        daemon.tick(NOW + 2 * state.policy.suspect_after)
        assert state.entries.get(silent).state is not events.HostState.LIVE
    left = [name for name in NAMES if name != silent]
    assert len(watchers(left)) == membership.WATCHERS


ROUND = datetime.timedelta(milliseconds=400)
NEW_INCARNATION = 1_770_000_000_000


def make_daemon(name, data_centre, incarnation=1, url=None):
    """Return a membership and its tables, which hold its own entry with `url`."""
    url = f"{name}:80" if url is None else url
    me = events.Host(name, "entry", data_centre, url, f"{name}:81", "", incarnation)
    state = world.World(me)
    live = events.HostState.LIVE
    state.put_entry(
        world.EntryRow(name, data_centre, url, f"{name}:81", "", incarnation, live)
    )
    return membership.Membership(state), state


def introduce(state, other):
    """Copy a daemon's record of itself into another daemon's table."""
    row = other.entries.get(other.me.name)
    state.put_entry(dataclasses.replace(row))


def run_round(caller, answerer, now):
    """Have a daemon start a gossip round, and another reply to it."""
    daemon, state = caller
    other, other_state = answerer
    state.take_commands()
    daemon.start_round(now)
    for command in state.take_commands():
        if not isinstance(command, commands.GossipTo):
            continue
        other_state.take_commands()
        other.receive(gossip.GossipReceived("1", command.message), now)
        for reply in other_state.take_commands():
            if isinstance(reply, commands.GossipReply):
                address = other_state.me.peer_address
                daemon.receive_reply(gossip.GossipAnswered(address, reply.message), now)


def test_an_address_that_becomes_known_reaches_other_data_centres():
    """Guards against callers that are sent to leaving hosts although others are live.

    A host gossips its record without an address until it can serve. If the digest of
    its data centre doesn't cover the address, other data centres never receive it and
    can't give the host to callers.
    """
    here, there = make_daemon("a", "dc-1"), make_daemon("b", "dc-2", url="")
    introduce(here[1], there[1])
    introduce(there[1], here[1])
    run_round(here, there, NOW)
    assert here[1].entries.get("b").url == ""
    there[1].entries.get("b").url = "b:80"
    there[1].note_view_change()
    run_round(there, here, NOW + ROUND)
    run_round(here, there, NOW + 2 * ROUND)
    assert here[1].entries.get("b").url == "b:80"


def test_a_data_centre_stays_reachable_when_its_hosts_start_anew():
    """Guards against a data centre that seems unreachable after planned restarts.

    A data centre counts as reachable while its pulse rises. A pulse computed from
    heartbeats, which start at zero in a restarted host, stays below the known value
    for many seconds, and callers get none of the data centre's hosts.
    """
    here, there = make_daemon("a", "dc-1"), make_daemon("b", "dc-2")
    introduce(here[1], there[1])
    introduce(there[1], here[1])
    now = NOW
    for _ in range(50):
        now += ROUND
        run_round(there, here, now)
    again = make_daemon("b", "dc-2", incarnation=1000)
    introduce(again[1], here[1])
    for _ in range(30):
        now += ROUND
        run_round(again, here, now)
        assert here[0].is_reachable("dc-2", now)


def test_a_data_centre_whose_pulse_stops_is_not_reachable():
    here, there = make_daemon("a", "dc-1"), make_daemon("b", "dc-2")
    third = make_daemon("c", "dc-3")
    for one in (here, there, third):
        for other in (here, there, third):
            if one is not other:
                introduce(one[1], other[1])
    run_round(there, here, NOW)
    run_round(there, third, NOW)
    assert here[0].is_reachable("dc-2", NOW + ROUND)
    now = NOW
    for _ in range(30):
        now += ROUND
        run_round(here, third, now)
        run_round(third, here, now)
    assert not here[0].is_reachable("dc-2", now)
    assert here[0].is_reachable("dc-3", now)


def leave_and_start_again(data_centre, before, after):
    """Return a daemon, and another that it knows as left and that has restarted.

    Parameters
    ----------
    data_centre : str
        The data centre of the daemon that restarts.
    before, after : int
        The incarnations of that daemon before and after its restart.
    """
    here = make_daemon("a", "dc-1")
    there = make_daemon("b", data_centre, incarnation=before)
    introduce(here[1], there[1])
    introduce(there[1], here[1])
    run_round(there, here, NOW)
    there[0].announce_departure(NOW)
    run_round(here, there, NOW + ROUND)
    assert here[1].entries.get("b").state is events.HostState.LEFT
    again = make_daemon("b", data_centre, incarnation=after)
    introduce(again[1], here[1])
    return here, again


def test_a_host_whose_clock_was_set_back_is_live_again_after_its_restart():
    """Guards against a live host that callers don't get for ten minutes.

    The host's clock was set back between two starts, so its new incarnation is lower
    than that of the process that left. Peers ignore its records as outdated unless it
    raises its incarnation above the one that they remember.
    """
    here, again = leave_and_start_again("dc-1", before=5000, after=4000)
    now = NOW + ROUND
    for _ in range(10):
        now += ROUND
        run_round(again, here, now)
        # The records that the peer asked for follow in a separate message.
        for command in again[1].take_commands():
            if isinstance(command, commands.GossipTo):
                here[0].receive(gossip.GossipReceived("2", command.message), now)
    assert here[1].entries.get("b").state is events.HostState.LIVE


def test_a_data_centre_stays_reachable_when_its_one_host_of_newer_code_leaves():
    """Guards against a data centre that seems unreachable for good during a rollout.

    Hosts of older code send the sum of heartbeats as the pulse. If a host of newer code
    sends its start time in milliseconds, the older hosts never reach that value once it
    has left.
    """
    here, newer = make_daemon("a", "dc-1"), make_daemon("b", "dc-2", NEW_INCARNATION)
    introduce(here[1], newer[1])
    introduce(newer[1], here[1])
    run_round(newer, here, NOW)
    now = NOW
    for heartbeats in range(100, 160):
        now += ROUND
        digest = gossip.DataCentreDigest("dc-2", 1, heartbeats)
        older = gossip.GossipMessage("c", "dc-2", data_centres=(digest,))
        here[0].receive(gossip.GossipReceived("1", older), now)
    assert here[0].is_reachable("dc-2", now)


def test_hosts_that_come_back_after_all_of_their_data_centre_left_are_found():
    """Guards against a restarted data centre that stays unknown elsewhere.

    All its hosts announced that they left, and other data centres would not contact
    hosts that have left. The restarted hosts contact the others, but a gossip request
    carries no records of the sender's own data centre, so they stay unknown.
    """
    here, again = leave_and_start_again("dc-2", before=1, after=2)
    now = NOW + ROUND
    for _ in range(10):
        now += ROUND
        run_round(again, here, now)
        run_round(here, again, now)
    assert here[1].entries.get("b").state is events.HostState.LIVE


def with_long_prompt(name="entry-0", elsewhere=()):
    """Return the membership and tables of a daemon that has just sent a long prompt."""
    daemon, state = make_membership(name, NAMES[:3], elsewhere)
    daemon.tick(NOW)
    state.take_commands()
    row = world.TargetRow("llm-1", "llm", None, "dc-1", False, "llm-1:80")
    row.sent_by_request["r"] = world.SentWork(NOW, 15_000)
    state.targets.add(row)
    state.must_announce_pending = True
    return daemon, state


def gossip_of(daemon, state, now):
    daemon.tick(now)
    return [
        item for item in state.take_commands() if isinstance(item, commands.GossipTo)
    ]


def test_a_long_prompt_is_announced_inside_the_data_centre_before_the_next_round():
    """Guards against two long prompts that queue at one engine while others idle.

    Two hosts receive a long prompt each within a tenth of a second. If the second host
    learns of the first prompt only in the next gossip round, it picks the same engine.
    """
    daemon, state = with_long_prompt(elsewhere=["entry-9"])
    sent_messages = gossip_of(daemon, state, NOW + ROUND / 4)
    assert {item.peer_address for item in sent_messages} == {"entry-1:81", "entry-2:81"}
    message = sent_messages[0].message
    assert message.brief
    (pending,) = message.pending
    assert (pending.incarnation.name, pending.tokens) == ("llm-1", 15_000)
    assert gossip_of(daemon, state, NOW + ROUND / 2) == []


def test_a_brief_message_is_answered_with_pending_work_only():
    daemon, state = make_membership("entry-1", NAMES[:3])
    row = world.TargetRow("llm-1", "llm", None, "dc-1", False, "llm-1:80")
    state.targets.add(row)
    sender, _ = with_long_prompt()
    message = sender._brief_message()
    daemon.receive(gossip.GossipReceived("x", message), NOW)
    (reply,) = state.take_commands()
    assert reply.message == gossip.GossipMessage("entry-1", "dc-1", brief=True)
    assert row.peer_work_by_entry["entry-0"].tokens == 15_000


def test_a_lost_host_is_dead_soon_also_to_a_peer_that_started_after_its_loss():
    """Guards against a lost host that callers get for more than 6 s after its loss.

    The only other host of its data centre, the only one that may call it dead, restarts
    just then and learns of it from another data centre. If the silence counts from that
    moment, the lost host stays live too long.
    """
    lost_at = NOW
    started = lost_at + datetime.timedelta(seconds=1.7)
    daemon, state = make_membership("entry-0", ["entry-0"], ["entry-9"])
    lost = gossip.Member(
        "entry-1", "dc-1", "u", "p", "", 1, 9, events.HostState.LIVE, 0
    )
    message = gossip.GossipMessage("entry-9", "dc-2", members=(lost,))
    daemon.receive_reply(gossip.GossipAnswered("entry-9:81", message), started)
    now = started
    while now < lost_at + datetime.timedelta(seconds=5):
        now += ROUND / 4
        daemon.tick(now)
    assert state.entries.get("entry-1").state is events.HostState.DEAD


def test_a_listed_host_that_is_lost_is_dead_soon_to_a_peer_that_started_after():
    """Guards against a lost host that callers get because the platform still lists it.

    The only other host of its data centre starts and reads the list. If the silence
    counts from that read, a host that was lost long before stays live too long.
    """
    daemon, state = make_membership("entry-0", ["entry-0"])
    lost = events.Host("entry-1", "entry", "dc-1", "u", "p", "", 1)
    catalogue.Catalogue(state).list_entries([lost], NOW)
    now = NOW
    while now < NOW + state.policy.suspect_after:
        now += ROUND / 4
        daemon.tick(now)
    assert state.entries.get("entry-1").state is events.HostState.DEAD


def test_another_data_centre_gets_the_record_of_a_host_that_says_what_it_can_carry():
    """Guards against a host that counts as the mean elsewhere, as it was only listed.

    A host that says nothing of it has the digest that earlier releases know.
    """
    entries = make_daemon("entry-1", "dc-1")[1].entries
    silent = memberrecords.digest_by_data_centre(entries)
    entries.get("entry-1").capacity = 250
    assert memberrecords.digest_by_data_centre(entries) != silent
    entries.get("entry-1").capacity = 0
    assert memberrecords.digest_by_data_centre(entries) == silent


TICK = ROUND / 4
# The gossip interval of the daemons of `make_daemon`, which have the default policy.
INTERVAL = world.Policy().suspect_after / membership.ROUNDS_BEFORE_SUSPICION
ENOUGH_ROUNDS = startupprobes.UNANSWERED_ROUNDS * INTERVAL + 2 * TICK


def send_record(daemon, name, now, heartbeat=9, incarnation=1, data_centre="dc-2"):
    """Send a daemon a record of a host in "dc-1" from a peer of another data centre."""
    record = gossip.Member(
        name,
        "dc-1",
        f"{name}:80",
        f"{name}:81",
        "",
        incarnation,
        heartbeat,
        events.HostState.LIVE,
        0,
    )
    message = gossip.GossipMessage("elsewhere", data_centre, members=(record,))
    daemon[0].receive_reply(gossip.GossipAnswered("elsewhere:81", message), now)


def answer(other, message, now):
    """Return a daemon's reply, and keep the other commands that it had emitted."""
    daemon, state = other
    kept = state.take_commands()
    daemon.receive(gossip.GossipReceived("1", message), now)
    (reply,) = [
        item for item in state.take_commands() if isinstance(item, commands.GossipReply)
    ]
    for item in kept:
        state.emit(item)
    return reply.message


def exchange(daemons, cut, now):
    """Deliver the gossip of all daemons, except over links that are cut."""
    daemon_by_address = {row[1].me.peer_address: row for row in daemons}
    for daemon, state in daemons:
        for command in state.take_commands():
            if not isinstance(command, commands.GossipTo):
                continue
            address = command.peer_address
            other = daemon_by_address.get(address)
            if other is None or {state.me.name, other[1].me.name} in cut:
                continue
            message = answer(other, command.message, now)
            daemon.receive_reply(gossip.GossipAnswered(address, message), now)


def play(daemons, now, duration, cut=()):
    """Let daemons tick and gossip; return the time and all names ever called dead.

    Parameters
    ----------
    cut : collection of set
        Pairs of names whose link is cut.
    """
    until = now + duration
    dead_names = set()
    while now < until:
        now += TICK
        for daemon, _ in daemons:
            daemon.tick(now)
        exchange(daemons, cut, now)
        for _, state in daemons:
            dead_names |= {
                row.name for row in state.entries if row.state is events.HostState.DEAD
            }
    return now, dead_names


def state_of(daemon, name):
    return daemon[1].entries.get(name).state


def test_live_hosts_that_start_together_do_not_call_each_other_dead():
    """Guards against live hosts that call each other dead after a common restart.

    All hosts of a data centre lose power and restart together. Other data centres and
    the platform's list still have their earlier incarnations, so each host learns of
    its peers by outdated records.
    """
    names = ["a", "b", "c", "d", "e", "f"]
    daemons = [make_daemon(name, "dc-1", incarnation=2) for name in names]
    for daemon in daemons:
        for name in names:
            if name != daemon[1].me.name:
                send_record(daemon, name, NOW, heartbeat=500)
    _, dead_names = play(daemons, NOW, 10 * INTERVAL)
    assert dead_names == set()
    for daemon in daemons:
        assert {row.incarnation for row in daemon[1].entries} == {2}


def test_a_peer_that_is_slow_for_two_rounds_is_not_called_dead():
    here, slow = make_daemon("a", "dc-1"), make_daemon("b", "dc-1")
    slow[1].entries.get("b").heartbeat = 9
    send_record(here, "b", NOW)
    now, dead_names = play([here], NOW, 2 * INTERVAL)
    assert dead_names == set()
    _, dead_names = play([here, slow], now, 10 * INTERVAL)
    assert dead_names == set()


def test_a_peer_that_was_frozen_is_live_with_its_first_message():
    """Guards against a live host that stays dead in a peer's table after a pause.

    A host starts while its peer is frozen, and calls it dead. Once the peer wakes up,
    its first message makes it live again, as its heartbeat is above that of the record
    that calls it dead.
    """
    here, frozen = make_daemon("a", "dc-1"), make_daemon("b", "dc-1")
    frozen[1].entries.get("b").heartbeat = 9
    introduce(frozen[1], here[1])
    send_record(here, "b", NOW)
    now, _ = play([here], NOW, ENOUGH_ROUNDS)
    assert state_of(here, "b") is events.HostState.DEAD
    play([here, frozen], now, INTERVAL + TICK)
    assert state_of(here, "b") is events.HostState.LIVE


def test_a_host_that_wakes_from_a_pause_reads_replies_before_it_judges_peers():
    """Guards against a live peer that is called dead although its replies have arrived.

    A host starts, contacts its peer and is paused while the replies come. When it wakes
    up, all its rounds are over, and it judges the peer at its first tick, before it has
    read the replies.
    """
    here = make_daemon("a", "dc-1")
    send_record(here, "b", NOW)
    now, _ = play([here], NOW, (startupprobes.UNANSWERED_ROUNDS - 1) * INTERVAL + TICK)
    now += 2 * INTERVAL
    here[0].tick(now)
    assert state_of(here, "b") is events.HostState.LIVE
    _, dead_names = play([here], now, INTERVAL + TICK)
    assert dead_names == {"b"}


def test_rounds_within_an_interval_count_as_one():
    """Guards against a live peer that fails because rounds follow too fast.

    A host that starts has updates to send, so it starts a round at every tick. If each
    counted, its peer would have to reply to three within a third of a second.
    """
    here = make_daemon("a", "dc-1")
    send_record(here, "b", NOW)
    now = NOW
    for _ in range(2 * startupprobes.UNANSWERED_ROUNDS):
        now += TICK
        here[0].request_round()
        here[0].tick(now)
    assert state_of(here, "b") is events.HostState.LIVE


def test_a_peer_that_was_never_heard_from_is_contacted_in_each_round():
    """Guards against live peers that are called dead without ever being contacted.

    A round goes to two of twenty hosts, chosen at random. A host that starts must also
    contact all peers that it hasn't heard from; the others are chosen at random again.
    """
    here = make_daemon("a", "dc-1")
    for name in NAMES:
        send_record(here, name, NOW)
    sent_messages = gossip_of(*here, NOW + TICK)
    assert {item.peer_address for item in sent_messages} >= {
        f"{name}:81" for name in NAMES
    }
    for name in NAMES:
        message = gossip.GossipMessage(name, "dc-1")
        here[0].receive_reply(gossip.GossipAnswered(f"{name}:81", message), NOW + TICK)
    sent_messages = gossip_of(*here, NOW + TICK + INTERVAL)
    assert len(sent_messages) == membership.PEERS_INSIDE


def test_a_peer_that_was_heard_from_keeps_the_usual_timeout():
    here, there = make_daemon("a", "dc-1"), make_daemon("b", "dc-1")
    send_record(here, "b", NOW)
    now, _ = play([here, there], NOW, 2 * INTERVAL)
    now, dead_names = play([here], now, here[1].policy.suspect_after)
    assert dead_names == set()
    _, dead_names = play([here], now, here[1].policy.suspect_after + ROUND)
    assert dead_names == {"b"}


def test_a_peer_that_only_others_of_its_data_centre_reach_is_not_called_dead():
    """Guards against a live peer that is called dead because of one broken link.

    The link between a host that has just started and its peer is cut. A third host of
    the data centre reaches both and gossips the peer's heartbeats.
    """
    here, peer, third = (make_daemon(name, "dc-1") for name in "abc")
    peer[1].entries.get("b").heartbeat = 9
    introduce(third[1], peer[1])
    introduce(peer[1], third[1])
    introduce(here[1], third[1])
    send_record(here, "b", NOW)
    _, dead_names = play([here, peer, third], NOW, 10 * INTERVAL, cut=[{"a", "b"}])
    assert dead_names == set()


def test_a_dead_host_is_not_made_live_by_an_old_record_from_elsewhere():
    """Guards against a dead host that callers get again.

    Data centres know different heartbeats of a lost host. A record with a higher
    heartbeat than that of the record which calls it dead would make it live again.
    """
    here = make_daemon("a", "dc-1")
    send_record(here, "b", NOW)
    now, _ = play([here], NOW, ENOUGH_ROUNDS)
    assert state_of(here, "b") is events.HostState.DEAD
    send_record(here, "b", now, heartbeat=12, data_centre="dc-3")
    row = here[1].entries.get("b")
    assert (row.state, row.heartbeat) == (events.HostState.DEAD, 12)
    send_record(here, "b", now, heartbeat=1, incarnation=2)
    assert state_of(here, "b") is events.HostState.LIVE
    _, dead_names = play([here], now, INTERVAL)
    assert dead_names == set()


def test_a_wrong_record_of_a_death_loses_to_a_higher_heartbeat():
    """Guards against a live host that spreads as dead because of one broken link.

    A host that starts behind a cut link calls a live peer dead. A third host, which
    knows a higher heartbeat of the peer, keeps it live and corrects the first host.
    """
    here, third = make_daemon("a", "dc-1"), make_daemon("c", "dc-1")
    peer = make_daemon("b", "dc-1")
    peer[1].entries.get("b").heartbeat = 20
    introduce(third[1], peer[1])
    send_record(here, "b", NOW)
    now, _ = play([here], NOW, ENOUGH_ROUNDS)
    assert state_of(here, "b") is events.HostState.DEAD
    introduce(here[1], third[1])
    third[1].entries.get("b").heard_at = now
    run_round(here, third, now)
    assert state_of(third, "b") is events.HostState.LIVE
    assert state_of(here, "b") is events.HostState.LIVE


def test_where_a_death_frees_slices_a_peer_is_not_called_dead_early():
    """Guards against slices of an account that add up to more than its limit.

    A new owner counts the slices of all entries that aren't dead. An entry that is cut
    off for some seconds still uses its slice until the grant expires, so it must not be
    called dead before that.
    """
    me = events.Host("a", "entry", "dc-1", "a:80", "a:81", "", 1)
    daemon = core.Core(me)
    here = (daemon.membership, daemon.state)
    send_record(here, "b", NOW)
    _, dead_names = play([here], NOW, daemon.state.policy.grant_lifetime)
    assert dead_names == set()


def test_a_new_version_of_a_target_is_sent_in_a_few_rounds():
    """Guards against versions that cost an idle daemon half its work, or get lost.

    A daemon sees an engine answer on new weights and announces the version. The
    versions of 40 engines in every message were half of an idle daemon's work; sent
    only once, the version would not reach a peer that misses the message.
    """
    daemon, state = make_membership("entry-0")
    row = world.TargetRow("llm-1", "llm", None, "dc-1", False)
    state.targets.add(row)
    row.learn_version("m", 2)
    announced = []
    for number in range(world.VERSION_ROUNDS + 2):
        state.take_commands()
        daemon.start_round(NOW + number * ROUND)
        sent = [
            item
            for item in state.take_commands()
            if isinstance(item, commands.GossipTo)
        ]
        announced.append(bool(sent[0].message.target_versions))
    assert announced == [True] * world.VERSION_ROUNDS + [False, False]


def test_few_daemons_of_a_large_data_centre_gossip_outside():
    """Guards against needless traffic between data centres.

    Forty daemons start a round every 0.4 s. If each also gossiped with another data
    centre, updates would arrive no sooner than with a few of them. In a data centre of
    few daemons each one must.
    """
    for count, low, high in ((4, 200, 200), (40, 20, 60)):
        names = [f"entry-{number}" for number in range(count)]
        daemon, state = make_membership("entry-0", names, ["far-1"])
        begun = 0
        for number in range(200):
            state.take_commands()
            daemon.start_round(NOW + number * ROUND)
            begun += sum(
                item.peer_address == "far-1:81" for item in state.take_commands()
            )
        assert low <= begun <= high


def test_a_peer_of_a_data_centre_that_is_not_known_is_asked_for_its_record():
    """Guards against a host that knows its peers, which never learn of it."""
    daemon = make_membership("entry-0", ["entry-0"])
    reply = answer(daemon, gossip.GossipMessage("far", "dc-9"), NOW)
    assert reply.wanted == ("far",)
    known = make_membership("entry-0", ["entry-0"], ["far"])
    reply = answer(known, gossip.GossipMessage("far", "dc-2"), NOW)
    assert reply.wanted == ()


def meet_with_old_heartbeats():
    """Return two daemons whose tables differ only in the heartbeats of themselves."""
    here, there = (make_membership(name, NAMES[:3]) for name in NAMES[:2])
    for _, state in (here, there):
        state.entries.get(state.me.name).heartbeat = 7
        state.entries.get(state.me.name).revision = 3
        state.revision = 3
    return here, there


def known_heartbeats(pair):
    return [
        (state.entries.get(name).heartbeat, state.entries.get(name).revision)
        for state, name in zip((pair[0][1], pair[1][1]), NAMES[1::-1], strict=True)
    ]


def test_heartbeats_alone_are_sent_without_records():
    """Guards against the records of all members in every message."""
    here, there = meet_with_old_heartbeats()
    there[1].entries.get(NAMES[0]).state = events.HostState.SUSPECT
    asked = here[0]._message(True, NOW)
    reply = answer(there, asked, NOW + ROUND)
    assert (reply.members, reply.wanted) == ((), ())
    assert [item.name for item in reply.digests] == [NAMES[1]]
    here[0].receive_reply(gossip.GossipAnswered("b:81", reply), NOW + ROUND)
    assert known_heartbeats((here, there)) == [(7, 3), (7, 3)]
    assert there[1].entries.get(NAMES[0]).heard_at == NOW + ROUND
    assert there[1].entries.get(NAMES[0]).state is events.HostState.LIVE


def test_a_host_of_an_earlier_release_gets_and_is_asked_for_records():
    """Guards against hosts that are suspected while a release replaces another."""
    here, there = meet_with_old_heartbeats()
    asked = dataclasses.replace(here[0]._message(True, NOW), adopts_heartbeats=False)
    reply = answer(there, asked, NOW + ROUND)
    assert [item.name for item in reply.members] == [NAMES[1]]
    assert reply.wanted == (NAMES[0],)
    old_reply = dataclasses.replace(reply, adopts_heartbeats=False)
    here[1].take_commands()
    here[0].receive_reply(gossip.GossipAnswered("b:81", old_reply), NOW + ROUND)
    [sent] = here[1].take_commands()
    answer(there, sent.message, NOW + ROUND)
    assert known_heartbeats((here, there)) == [(7, 3), (7, 3)]
