"""The lease under which one host orders engines."""

import datetime

import pytest

from sesamespindle.decide import events, lease, world

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
DURATION = datetime.timedelta(seconds=3)


def seconds(count):
    return datetime.timedelta(seconds=count)


class Host:
    """One host's lease, and the object store that it writes to."""

    def __init__(self, name, store):
        me = events.Host(name, "entry", "dc-1", "u", "p")
        self.state = world.World(me)
        self.state.put_entry(
            world.EntryRow(name, "dc-1", "u", "p", "", 1, events.HostState.LIVE)
        )
        self.lease = lease.Lease(self.state, DURATION, lambda data_centre, now: True)
        self.store = store
        self.cut_off = False

    def tick(self, now):
        """Tick, and let the store answer at once unless the host is cut off."""
        self.lease.tick(now)
        for command in self.state.take_commands():
            answer = self._answer(command)
            if answer is not None:
                self.lease.take(answer, now)
                self.state.take_commands()

    def sent(self, now):
        """Tick, and return the writes that go out; nobody answers them."""
        self.lease.tick(now)
        out = self.state.take_commands()
        return [command for command in out if isinstance(command, lease.WriteLease)]

    def _answer(self, command):
        if not isinstance(command, lease.ReadLease | lease.WriteLease):
            return None
        if self.cut_off:
            return lease.LeaseUnknown()
        match command:
            case lease.ReadLease():
                return lease.LeaseFound(*self.store)
            case lease.WriteLease():
                record, revision = self.store
                if revision != command.replaces:
                    return lease.LeaseFound(record, revision)
                self.store[:] = [command.record, revision + 1]
                return lease.LeaseWritten(command.record, revision + 1)


@pytest.fixture
def hosts():
    """Give two hosts at one store, of which the first holds the lease."""
    store = [None, 0]
    made = [Host("entry-1", store), Host("entry-2", store)]
    for step in range(3):
        made[0].tick(NOW + seconds(0.1 * step))
    return made


def run(hosts, until, start=0.3, step=0.1):
    """Tick both hosts; return when each was seen to hold the lease, by name."""
    held_at_by_name = {}
    at = start
    while at < until:
        for host in hosts:
            host.tick(NOW + seconds(at))
            if host.lease.is_held(NOW + seconds(at)):
                held_at_by_name.setdefault(host.state.me.name, []).append(at)
        at += step
    return held_at_by_name


def test_one_host_holds_it_for_as_long_as_it_renews(hosts):
    assert set(run(hosts, 20)) == {"entry-1"}


def test_a_paused_holder_does_not_act_when_it_wakes_up(hosts):
    """The holder is paused for five seconds and wakes up.

    Others took the lease meanwhile. The first thing it does must not be an
    order under the old epoch.
    """
    run(hosts, 1)
    run(hosts[1:], 8, start=1)
    assert not hosts[0].lease.is_held(NOW + seconds(8))
    assert hosts[1].lease.is_held(NOW + seconds(8))
    hosts[0].tick(NOW + seconds(8))
    assert not hosts[0].lease.is_held(NOW + seconds(8))


def test_two_holders_acts_lie_a_lease_time_apart(hosts):
    """The holder is cut off from the store while it gives orders.

    The next one waits until the last order under the old epoch is a whole
    lease time old, with or without word from the old holder.
    """
    run(hosts, 2)
    hosts[0].cut_off = True
    held = run(hosts, 12, start=2)
    assert held["entry-2"][0] - held["entry-1"][-1] >= DURATION.total_seconds()
    assert hosts[1].lease.epoch == 2


def test_a_holder_that_tells_that_it_stopped_is_followed_sooner(hosts):
    """The holder is cut off from the store but reaches its peer.

    It says that it gives up its epoch, and when it acted last. The wait counts
    from that act, not from the last renewal that the peer saw.
    """
    run(hosts, 2)
    hosts[0].lease.note_act(NOW + seconds(2))
    hosts[0].cut_off = True
    at = 2.0
    while not hosts[1].lease.is_held(NOW + seconds(at)):
        hosts[0].tick(NOW + seconds(at))
        hosts[1].state.lease_release = hosts[0].state.lease_release
        hosts[1].tick(NOW + seconds(at))
        at += 0.1
        assert at < 12
    assert DURATION.total_seconds() <= at - 2.0 < 4.5


def test_a_released_epoch_is_never_acted_under_again(hosts):
    """A renewal takes effect although its answer came too late.

    The holder has given the epoch up by then and told so; the late answer must
    not make it the holder again.
    """
    run(hosts, 1)
    late = NOW + seconds(5)
    hosts[0].lease.tick(late)
    hosts[0].state.take_commands()
    record, revision = hosts[0].store
    hosts[0].lease.take(lease.LeaseWritten(record, revision + 1), late)
    assert not hosts[0].lease.is_held(late)


def test_a_renewal_with_a_lost_answer_counts_from_when_it_was_sent(hosts):
    """A renewal takes effect at once, but its answer is lost.

    The holder asks 0.7 s later and finds its renewal. Others may have seen it
    0.7 s ago and count from then; a holder that counts from its question acts
    until 2.6 s before the next one does, where a lease time must lie between.
    """
    run(hosts, 1)
    holder = hosts[0]
    sent_at = 1.0
    while not (writes := holder.sent(NOW + seconds(sent_at))):
        sent_at += 0.1
    _, revision = holder.store
    holder.store[:] = [writes[0].record, revision + 1]
    late = NOW + seconds(sent_at + 0.7)
    holder.lease.take(lease.LeaseUnknown(), late)
    holder.lease.take(lease.LeaseFound(*holder.store), late)
    assert holder.lease.is_held(NOW + seconds(sent_at + 1.4))
    assert not holder.lease.is_held(NOW + seconds(sent_at + 1.6))


def test_a_lease_that_comes_to_a_leaving_host_is_released_at_once():
    """A host is told to leave while its write that takes the lease is under way.

    The write took effect, and the host that was to end held the lease for half
    of its time: engines got no orders from the next one until long after.
    """
    store = [None, 0]
    leaving, following = Host("entry-1", store), Host("entry-2", store)
    taking = None
    at = 0.0
    while taking is None:
        now = NOW + seconds(at)
        leaving.lease.tick(now)
        for command in leaving.state.take_commands():
            match command:
                case lease.ReadLease():
                    leaving.lease.take(lease.LeaseFound(*store), now)
                case lease.WriteLease():
                    taking = command.record
        at += 0.1
        assert at < 3
    now = NOW + seconds(at)
    leaving.lease.give_back(now)
    store[:] = [taking, 1]
    leaving.lease.take(lease.LeaseWritten(taking, 1), now)
    assert not leaving.lease.is_held(now)
    following.state.lease_release = leaving.state.lease_release
    held = run([leaving, following], at + 3, start=at)
    assert set(held) == {"entry-2"}
    assert held["entry-2"][0] - at < 1.5
