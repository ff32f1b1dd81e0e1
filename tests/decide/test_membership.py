"""Which daemons watch the platform, as membership has it."""

import datetime

from sesamespindle.decide import events, membership, world

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


def test_another_daemon_watches_when_a_watcher_falls_silent():
    """A watcher is paused, and with it all that its data centre would learn.

    The others suspect it after a while; one of them takes its place.
    """
    silent = watchers()[0]
    for name in NAMES:
        if name == silent:
            continue
        made, state = make_membership(name)
        for row in state.entries:
            row.heard_at = NOW + 2 * state.policy.suspect_after
        state.entries.get(silent).heard_at = NOW
        made.tick(NOW + 2 * state.policy.suspect_after)
        assert state.entries.get(silent).state is not events.HostState.LIVE
    left = [name for name in NAMES if name != silent]
    assert len(watchers(left)) == membership.WATCHERS
