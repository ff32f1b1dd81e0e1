"""What hosts learn by gossip of KV stores that their peers follow."""

import datetime

import pytest

from sesamespindle.decide import (
    budgets,
    catalogue,
    commands,
    events,
    gateway,
    gossip,
    kvstores,
    routes,
    storerows,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
TERMS = gateway.PlatformLimits(budgets.BudgetRule())
STORES = 21
MAX_REQUESTS = 12


def seconds(count):
    return datetime.timedelta(seconds=count)


def make_hosts(count, data_centres=1, stores=STORES):
    """Return gateways, by host name, that all know each other and the stores."""
    hosts = [
        events.Host(
            f"entry-{number}",
            "entry",
            f"dc-{number % data_centres}",
            f"entry-{number}:80",
            f"entry-{number}:81",
            "",
            1,
        )
        for number in range(count)
    ]
    service_by_name = {
        f"store-{number}": routes.Service(
            f"store-{number}",
            0,
            None,
            routes.KvStore(
                f"s-{number}:1", "dc-0", 100_000, 8e9, seconds(0), True, MAX_REQUESTS
            ),
        )
        for number in range(stores)
    }
    made = {}
    for seed, host in enumerate(hosts):
        core = gateway.Gateway(host, TERMS, seed=seed)
        for other in hosts:
            if other.name != host.name:
                core.state.put_entry(catalogue.own_entry_row(other))
            core.state.entries.get(other.name).heard_at = NOW
        core.state.entries.get(host.name).url = host.url
        core.state.note_view_change()
        core.state.knows_entries = True
        core.stores.adopt(routes.Configuration(1, service_by_name=service_by_name))
        made[host.name] = core
    return made


def followers_of(hosts, store):
    return [
        name for name, core in hosts.items() if store in core.stores.relay.followed()
    ]


def report_parts(core, *parts, since, position, boot=1, whole_list=False, now=NOW):
    part_events = tuple(storerows.PartEvent("1", *part) for part in parts)
    clock_ms = 5000.0 + (now - NOW) / seconds(0.001)
    core.stores.handle(
        kvstores.StoreChanged(
            "store-0", boot, part_events, whole_list, clock_ms, since, position
        ),
        now,
    )


def run_round(hosts, now):
    """Have each host start one gossip round, and have its peers answer."""
    core_by_address = {core.state.me.peer_address: core for core in hosts.values()}
    for core in hosts.values():
        core.state.take_commands()
        core.membership.start_round(now)
        for command in core.state.take_commands():
            if isinstance(command, commands.GossipTo):
                answer(core, core_by_address[command.peer_address], command, now)


def answer(core, peer, command, now):
    peer.state.take_commands()
    peer.membership.receive(gossip.GossipReceived("1", command.message), now)
    for reply in peer.state.take_commands():
        if isinstance(reply, commands.GossipReply):
            address = peer.state.me.peer_address
            core.membership.receive_reply(
                gossip.GossipAnswered(address, reply.message), now
            )


def parts_of(core):
    return core.stores.rows.get("store-0").tokens_by_part


@pytest.mark.parametrize("count", [1, 6, MAX_REQUESTS])
def test_each_host_follows_stores_that_hold_requests_of_all(count):
    hosts = make_hosts(count, data_centres=3)
    for number in range(STORES):
        assert len(followers_of(hosts, f"store-{number}")) == count
    assert next(iter(hosts.values())).stores.relay.states_for() == ()


def test_two_hosts_of_each_data_centre_follow_a_store_of_a_large_fleet():
    """195 hosts ask 21 stores that hold 12 requests each, 2,000 times a second.

    Most requests are refused, and each refusal is charged as a probe. So only ten
    hosts follow each store, which are different ones for different stores.
    """
    hosts = make_hosts(195, data_centres=5)
    follows = []
    for number in range(STORES):
        names = followers_of(hosts, f"store-{number}")
        assert len(names) == 10
        assert {hosts[name].state.me.data_centre for name in names} == {
            f"dc-{place}" for place in range(5)
        }
        follows += names
    assert max(follows.count(name) for name in hosts) <= 8
    assert hosts["entry-0"].stores.relay.followers(MAX_REQUESTS) == 10


def test_a_host_that_knows_no_others_yet_follows_nothing():
    """All hosts start at once, and each knows only itself for a moment.

    Each would follow every store until it learns of the others.
    """
    core = make_hosts(1)["entry-0"]
    core.state.knows_entries = False
    assert core.stores.relay.followed() == frozenset()


def test_another_host_follows_in_place_of_a_lost_one():
    hosts = make_hosts(40)
    lost, second = followers_of(hosts, "store-0")
    del hosts[lost]
    for core in hosts.values():
        core.state.entries.get(lost).state = events.HostState.SUSPECT
        core.state.note_view_change()
    names = followers_of(hosts, "store-0")
    assert len(names) == 2
    assert second in names


def test_another_host_follows_in_place_of_one_that_reaches_no_target():
    """Guards against stores that nothing is known of, as their followers are cut."""
    hosts = make_hosts(40)
    cut, second = followers_of(hosts, "store-0")
    for core in hosts.values():
        core.state.entries.get(cut).unreached = ("desk",)
        core.state.note_view_change()
    names = followers_of(hosts, "store-0")
    assert len(names) == 2
    assert second in names
    assert cut not in names


def test_all_hosts_of_a_data_centre_learn_what_a_follower_knows():
    """A context is stored, and its next prompt arrives at a host that doesn't follow.

    That host has to know the parts within 2 s. A host of a large fleet that asked the
    stores itself had to wait as long between two requests.
    """
    hosts = make_hosts(40)
    follower = hosts[followers_of(hosts, "store-0")[0]]
    report_parts(follower, ("a", 100), since=0, position=5, whole_list=True)
    report_parts(follower, ("b", 200), since=5, position=6)
    for number in range(5):
        run_round(hosts, NOW + number * seconds(0.4))
    expected = {("1", "a"): 100, ("1", "b"): 200}
    assert [parts_of(core) for core in hosts.values()] == [expected] * 40


def ask_peer(core, other):
    """Have a host get another's answer in one gossip round."""
    words = core.stores.relay.states_for()
    relay = other.stores.relay
    message = gossip.GossipMessage(
        "e",
        "dc-0",
        store_words=relay.states_for(),
        store_news=relay.updates_for(words),
    )
    core.stores.relay.merge(message, NOW)


@pytest.fixture
def pair():
    """Return two hosts of a large fleet that know a store but don't follow it."""
    hosts = list(make_hosts(40).values())[:2]
    for core in hosts:
        report_parts(core, ("a", 100), since=0, position=5, whole_list=True)
        core.stores.rows.get("store-0").is_followed = False
    return hosts


def test_changes_are_sent_and_not_the_whole_list(pair):
    first, second = pair
    report_parts(second, ("b", 200), since=5, position=7, now=NOW + seconds(1))
    news = second.stores.relay.updates_for(first.stores.relay.states_for())
    assert [(item.whole_list, len(item.parts)) for item in news] == [(False, 1)]


def test_a_part_that_is_gone_does_not_come_back_by_a_peer_that_is_behind(pair):
    """A store drops a part, and a peer learns of it later than this host.

    If this host took the part over from the peer, it would plan fetches that all miss.
    """
    first, second = pair
    report_parts(first, ("a", 0), since=5, position=6, now=NOW + seconds(1))
    ask_peer(first, second)
    assert parts_of(first) == {}
    ask_peer(second, first)
    assert parts_of(second) == {}


def test_older_changes_from_the_store_itself_undo_no_later_news(pair):
    """A peer sends later changes while a host's own request to the store is in flight.

    The store's answer is older and must not bring a removed part back.
    """
    first, second = pair
    report_parts(second, ("a", 0), since=5, position=9, now=NOW + seconds(1))
    ask_peer(first, second)
    report_parts(first, ("a", 100), since=5, position=7, now=NOW + seconds(1.2))
    assert parts_of(first) == {}


def test_a_store_that_started_anew_holds_nothing_of_before(pair):
    """A store restarts empty; one host has noticed it, the other one not yet.

    Whichever host asks the other, both drop the parts of the earlier start.
    """
    first, second = pair
    report_parts(
        first, since=0, position=1, boot=2, whole_list=True, now=NOW + seconds(2)
    )
    ask_peer(first, second)
    assert first.stores.rows.get("store-0").boot == 2
    ask_peer(second, first)
    assert parts_of(first) == parts_of(second) == {}
    assert second.stores.rows.get("store-0").boot == 2


def test_a_gap_is_filled_by_a_peer_and_not_by_the_store(pair):
    first, second = pair
    report_parts(second, ("b", 200), since=20, position=30, now=NOW + seconds(1))
    ask_peer(first, second)
    assert parts_of(first) == {("1", "a"): 100, ("1", "b"): 200}


def test_a_store_is_considered_dead_by_the_age_of_its_last_answer(pair):
    """A store dies, and the time of its last answer still goes round by gossip.

    If its age counted from each arrival, the store would stay in use for as long as
    any host repeats the news.
    """
    first, second = pair
    for number in range(1, 5):
        ask_peer(first, second)
        ask_peer(second, first)
        row = first.stores.rows.get("store-0")
        assert row.is_available(NOW + seconds(number)) == (number < 4)


def test_peers_learn_that_a_store_is_unavailable_and_that_it_is_back(pair):
    first, second = pair
    second.stores.handle(kvstores.StoreUnavailable("store-0"), NOW + seconds(1))
    ask_peer(first, second)
    assert not first.stores.rows.get("store-0").is_available(NOW + seconds(1))
    report_parts(second, since=5, position=5, now=NOW + seconds(2))
    ask_peer(first, second)
    assert first.stores.rows.get("store-0").is_available(NOW + seconds(2))
