"""Which parts are fetched from KV stores, saved to them and freed there."""

import datetime

import pytest

from sesamespindle.decide import (
    events,
    gossip,
    kvstores,
    routes,
    storefrees,
    storerows,
    world,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
ENGINES = routes.Engines(("m",), 8, 100_000, 1000, 8e9)
PROMPT = tuple(
    kvstores.Part(part_id, tokens)
    for part_id, tokens in (("a", 100), ("b", 2000), ("own", 50))
)


def seconds(count):
    return datetime.timedelta(seconds=count)


def make_engine(name):
    return world.TargetRow(name, "llm", None, "dc-1", False, f"{name}:80")


@pytest.fixture
def stores():
    """Return the knowledge of one managed store, which has answered and is empty."""
    state = world.World(events.Host("entry-1", "entry", "dc-1", "u"))
    made = kvstores.KvStores(state)
    store = routes.KvStore("s:1", "dc-1", 4000, 8e9, seconds(0), True)
    made.adopt(
        routes.Configuration(
            1, service_by_name={"s": routes.Service("s", 0, None, store)}
        )
    )
    report_parts(made, now=NOW - seconds(60))
    report_parts(made)
    return made


def report_parts(stores, *parts, boot=1, now=NOW, whole_list=False, has_clock=True):
    part_events = tuple(storerows.PartEvent("1", *part) for part in parts)
    clock_ms = 5000.0 + (now - NOW) / seconds(0.001) if has_clock else None
    stores.handle(
        kvstores.StoreChanged("s", boot, part_events, whole_list, clock_ms), now
    )


def report_settled(stores, *parts):
    """Have the store report parts, and answer again once they may be fetched."""
    report_parts(stores, *parts, now=NOW - storerows.SETTLED_AFTER)
    report_parts(stores)


def plan(stores, now=NOW, preferred=None):
    return stores.plan(ENGINES, make_engine("e1"), preferred, "1", PROMPT, now)


def test_saves_what_no_store_holds_but_never_the_prompts_own_part(stores):
    assert plan(stores).save_to == ("s:1", "s:1", None)
    assert plan(stores).fetch_from == (None, None, None)


def test_a_part_that_is_being_written_is_neither_fetched_nor_saved_again(stores):
    """A part is still being saved when the next prompt with it arrives.

    A fetch now would get an incomplete part. The part is usable only once the store
    has reported that it is complete.
    """
    plan(stores)
    assert plan(stores).save_to == (None, None, None)
    assert not any(plan(stores).fetch_from)
    report_parts(stores, ("a", 100), ("b", 2000))
    later = NOW + storerows.SETTLED_AFTER
    report_parts(stores, now=later)
    assert plan(stores, later).fetch_from == ("s:1", "s:1", None)


def test_an_incomplete_part_is_not_fetched(stores):
    report_settled(stores, ("a", 100), ("b", 1999))
    assert plan(stores).fetch_from == ("s:1", None, None)


def test_a_store_that_started_anew_holds_nothing(stores):
    report_settled(stores, ("a", 100), ("b", 2000))
    report_parts(stores, boot=2)
    assert not any(plan(stores).fetch_from)


def test_an_unavailable_store_is_not_used(stores):
    """A store dies. An engine that fetches from it waits for some hundred ms."""
    report_settled(stores, ("a", 100), ("b", 2000))
    assert plan(stores, NOW + seconds(3)).fetch_from == (None, None, None)
    assert not any(plan(stores, NOW + seconds(3)).save_to)


def test_a_part_that_does_not_fit_is_not_saved(stores):
    report_parts(stores, ("x", 2500))
    assert plan(stores).save_to == ("s:1", None, None)


def test_what_no_store_holds_is_fetched_from_the_preferred_engine(stores):
    transfers = plan(stores, preferred=make_engine("e2"))
    assert transfers.fetch_from == ("e2:80", "e2:80", None)


def test_a_fetch_ends_in_time_on_the_engines_clock(stores):
    report_settled(stores, ("a", 100), ("b", 2000))
    transfers = plan(stores)
    assert 5000 < transfers.until_ms < 5200


def free(stores, kept, at):
    stores.frees.free_unused(lambda salt: None if salt in kept else seconds(2), at)
    made = stores._state.take_commands()
    return [item for item in made if isinstance(item, storefrees.FreeParts)]


def test_parts_of_weights_that_nobody_runs_are_freed_after_a_while(stores):
    report_parts(stores, ("a", 100))
    assert free(stores, {"2"}, NOW) == []
    later = NOW + seconds(2)
    report_parts(stores, now=later)
    (command,) = free(stores, {"2"}, later)
    assert command.parts == (("1", "a"),)
    assert command.boot == 1
    assert free(stores, {"2"}, later) == []


def test_parts_of_running_weights_are_never_freed(stores):
    report_parts(stores, ("a", 100))
    for step in range(10):
        at = NOW + seconds(step)
        report_parts(stores, now=at)
        assert free(stores, {"1"}, at) == []


def test_a_store_that_only_refuses_requests_is_not_considered_dead(stores):
    """Many hosts follow a store, which refuses this one's requests for a while.

    The store still serves fetches. If it were considered dead, engines would
    recompute its parts.
    """
    report_settled(stores, ("b", 2000))
    stores.handle(kvstores.StoreRefused("s"), NOW + seconds(2))
    assert plan(stores, NOW + seconds(3.9)).fetch_from == (None, "s:1", None)
    assert plan(stores, NOW + seconds(5)).fetch_from == (None, None, None)


def test_a_restarted_store_gets_no_part_saved_while_peers_may_fetch_it(stores):
    """A peer that hasn't heard of the restart fetches the part as it is written."""
    report_settled(stores, ("a", 100))
    report_parts(stores, boot=2, now=NOW)
    almost = NOW + storerows.LEASE - seconds(0.1)
    report_parts(stores, boot=2, now=almost)
    assert not any(plan(stores, almost).save_to)
    assert stores.saves_held_back > 0
    after = NOW + storerows.LEASE
    report_parts(stores, boot=2, now=after)
    assert plan(stores, after).save_to == ("s:1", "s:1", None)


def test_a_part_that_was_dropped_is_not_saved_while_peers_may_fetch_it(stores):
    """A peer that hasn't heard that the part is gone fetches it as it is written."""
    report_settled(stores, ("a", 100))
    report_parts(stores, ("a", 0))
    assert plan(stores).save_to == (None, "s:1", None)
    after = NOW + storerows.LEASE
    report_parts(stores, now=after)
    assert plan(stores, after).save_to[0] == "s:1"


def test_a_fetch_ends_within_the_lease_of_its_store(stores):
    """A fetch goes on after another host has the part saved again after a restart."""
    report_settled(stores, ("a", 100))
    stores.handle(kvstores.StoreRefused("s"), NOW + seconds(2))
    late = NOW + storerows.LEASE - seconds(0.05)
    transfers = plan(stores, late, make_engine("e2"))
    assert transfers.fetch_from[0] == "s:1"
    assert transfers.until_ms == 9000


def test_a_late_answer_of_an_earlier_start_is_ignored(stores):
    """A list asked for before a restart, read after it, counts as the current one."""
    report_parts(stores, boot=2, now=NOW + seconds(1))
    report_parts(stores, ("a", 100), boot=1, now=NOW + seconds(0.5))
    assert stores.rows.get("s").boot == 2
    assert not stores.rows.get("s").tokens_by_part


def test_a_part_is_not_fetched_before_saves_by_ignorant_hosts_have_begun(stores):
    """A host that doesn't know the part saves it just after the store's restart."""
    report_parts(stores, ("a", 100))
    almost = NOW + storerows.SETTLED_AFTER - seconds(0.1)
    report_parts(stores, now=almost)
    transfers = plan(stores, almost, make_engine("e2"))
    assert transfers.fetch_from[0] == "e2:80"
    assert transfers.save_to[0] is None


def test_parts_of_a_list_without_a_clock_are_fetched_in_time(stores):
    """Lists tell no clock: a host that has just started would fetch nothing of them."""
    listed_at = NOW - storerows.SETTLED_AFTER
    report_parts(stores, ("a", 100), now=listed_at, whole_list=True, has_clock=False)
    report_parts(stores, now=listed_at)
    report_parts(stores)
    assert plan(stores).fetch_from[0] == "s:1"


def test_a_clock_that_was_wrong_once_makes_no_lease_without_an_end(stores):
    """A store tells a clock an hour ahead, then restarts: no later answer counts."""
    ahead = kvstores.StoreChanged("s", 1, (), False, 5000.0 + 3_600_000)
    stores.handle(ahead, NOW)
    report_parts(stores, now=NOW + seconds(1))
    assert stores.rows.get("s").lease_end_ms() == 10_000
    stores.handle(ahead, NOW + seconds(2))
    report_parts(stores, boot=2, now=NOW + seconds(3))
    assert stores.rows.get("s").boot == 2


def test_a_peers_word_from_the_future_renews_no_lease(stores):
    """One host had a wrong clock from a store, and its peers tell it on for ever."""
    before = stores.rows.get("s").lease_end_ms()
    word = gossip.StoreWord("s", 1, 0, NOW, False, None, 5000.0 + 3_600_000)
    stores.relay.merge(gossip.GossipMessage("e", "dc-1", store_words=(word,)), NOW)
    assert stores.rows.get("s").lease_end_ms() == before


def merge_word(stores, answered_ms, now):
    word = gossip.StoreWord("s", 1, 0, now, False, None, answered_ms)
    stores.relay.merge(gossip.GossipMessage("e", "dc-1", store_words=(word,)), now)


def test_a_peers_older_word_does_not_date_what_a_list_without_a_clock_shows(stores):
    """A part that was made after the peer's word is fetched before it may be."""
    report_parts(stores, ("a", 100), whole_list=True, has_clock=False)
    merge_word(stores, 4000.0, NOW)
    report_parts(stores, now=NOW + seconds(0.5))
    assert plan(stores, NOW + seconds(0.5)).fetch_from[0] is None


def test_a_peer_that_was_frozen_ends_no_lease(stores):
    """Its old word has engines read prompts again that a store holds."""
    before = stores.rows.get("s").lease_end_ms()
    merge_word(stores, 5000.0 - 10_000.0, NOW)
    assert stores.rows.get("s").lease_end_ms() == before
