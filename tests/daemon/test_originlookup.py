"""Questions to peers about which software version began a stream."""

import gateways
import pytest

from sesamespindle.daemon import driver, eventlog, measures, originlookup
from sesamespindle.decide import softwarerecords, streamorigins
from sesamespindle.wire import clock

ORIGIN = streamorigins.Origin("llm", "v1")
KEY = streamorigins.key_of("acme", "a0")
PEERS = ("entry-2", "entry-3", "entry-4")


class FakePeers:
    """Peers that lose the first datagrams to them, and answer the later ones.

    Parameters
    ----------
    origin_by_address : dict of str to streamorigins.Origin or None
        What each peer answers; one that isn't here never does.
    lost : int
        How many questions to each peer are lost.
    """

    def __init__(self, origin_by_address, lost=0):
        self._origin_by_address = origin_by_address
        self._lost = lost
        self._receive = None
        self.sent = []

    def set_origin_receiver(self, receive):
        self._receive = receive

    def receive(self, *args):
        self._receive(*args)

    def send_origin(self, kind, key, origin, address):
        self.sent.append((kind, address, origin))
        asked = sum(sent[:2] == ("asked", address) for sent in self.sent)
        if kind != "asked" or address not in self._origin_by_address:
            return
        if asked > self._lost:
            answer = self._origin_by_address[address]
            self._receive("answered", key, answer, address)


class FakeProofs:
    """A store that proves, or not, that this host knows all records.

    Parameters
    ----------
    proves : bool
        Whether it does.
    """

    def __init__(self, proves):
        self._proves = proves
        self.asked = []

    async def prove(self, kind, since):
        self.asked.append((kind, since))
        return self._proves


@pytest.fixture
def find(go):
    """Return a function that looks a stream's origin up with given peers."""

    def run(
        peers, mixed=True, informed=True, recorded=(), store_proofs=None, **changed
    ):
        system_clock = clock.SystemClock()
        core = gateways.make_gateway()
        for name in PEERS:
            core.state.put_entry(gateways.make_entry(name))
        if informed:
            core.stream_versions.merge((), system_clock.now())
        for software in ("v1", "v2")[: 2 if mixed else 1]:
            now = system_clock.now()
            core.stream_versions._note("llm", software, now, now)
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(system_clock), 1)
        lookup = originlookup.OriginLookup(
            driver.Driver(core, system_clock, log),
            measures.Measures(),
            proofs=store_proofs,
            kind="software",
        )
        lookup.use_peers(peers)
        record = softwarerecords.SoftwareRecord("llm", recorded)
        core.step(system_clock.now(), [softwarerecords.SoftwareListed((record,))])
        fields = {"resumes": "a0", "last_event_id": "3"} | changed
        request = gateways.make_request("/chat/1", **fields)
        return go(lookup.find(request)).origin

    return run


def test_the_first_peer_that_knows_decides(find):
    peers = FakePeers({"entry-2:81": None, "entry-3:81": ORIGIN})
    assert find(peers) == ORIGIN


def test_a_lost_question_is_asked_again(find):
    """Guards against callers that are refused for a lost datagram."""
    assert find(FakePeers({"entry-3:81": ORIGIN}, lost=1)) == ORIGIN


def test_silent_peers_hold_a_caller_up_only_for_a_moment(find):
    """Guards against callers that wait for hosts which are gone."""
    assert find(FakePeers({})) is None


def test_nothing_is_asked_once_all_have_said_that_they_do_not_know(find):
    peers = FakePeers({f"{name}:81": None for name in PEERS})
    assert find(peers) is None
    assert len(peers.sent) == len(PEERS)


@pytest.mark.parametrize("changed", [{"mixed": False}, {"resumes": ""}])
def test_nothing_is_asked_where_no_answer_could_help(find, changed):
    """Guards against a price for fleets of one version, and for nameless attempts."""
    peers = FakePeers({"entry-3:81": ORIGIN})
    assert find(peers, **changed) is None
    assert not peers.sent


def test_a_stream_that_nobody_knows_goes_on_at_the_only_recorded_version(find):
    """Guards against streams that are refused although one version began them all."""
    peers = FakePeers({f"{name}:81": None for name in PEERS})
    assert find(peers, recorded=("v1",), store_proofs=FakeProofs(True)) == ORIGIN
    told = [origin for kind, _, origin in peers.sent if kind == "told"]
    assert told == [ORIGIN, ORIGIN]


@pytest.mark.parametrize(
    ("recorded", "proves"), [(("v1",), False), (("v1", "v2"), True), ((), True)]
)
def test_a_stream_that_several_versions_may_have_begun_stays_unknown(
    find, recorded, proves
):
    """Guards against a guess where a wrong one mixes two versions."""
    peers = FakePeers({f"{name}:81": None for name in PEERS})
    assert find(peers, recorded=recorded, store_proofs=FakeProofs(proves)) is None


def test_the_store_is_not_asked_where_a_peer_knows(find):
    """Guards against calls to the store for each stream that is taken up."""
    store_proofs = FakeProofs(True)
    peers = FakePeers({"entry-3:81": ORIGIN})
    assert find(peers, recorded=("v1",), store_proofs=store_proofs) == ORIGIN
    assert not store_proofs.asked


def test_a_host_out_of_touch_asks_peers_before_it_concludes(find):
    """Guards against a conclusion where a keeper knows what began a stream."""
    other = streamorigins.Origin("llm", "v2")
    peers = FakePeers({"entry-3:81": other})
    proved = FakeProofs(True)
    found = find(
        peers, mixed=False, informed=False, recorded=("v1",), store_proofs=proved
    )
    assert found == other
