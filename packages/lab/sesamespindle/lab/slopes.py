"""Measurements of how the costs of the decision logic grow with its tables.

The logic runs alone: without processes, network or platform.
"""

import dataclasses
import datetime
import gc
import statistics
import time
import tracemalloc

from sesamespindle.daemon import peermessages
from sesamespindle.decide import commands, core, declared, events, gossip

_START = datetime.datetime(2026, 12, 7, 9, tzinfo=datetime.UTC)
_MODELS = 11
_REPEATS = 5
_TOKENS = 4000


@dataclasses.dataclass(frozen=True)
class Size:
    """The size of a fleet.

    Attributes
    ----------
    entries, data_centres, targets, accounts : int
        The number of entry hosts, data centres, targets and accounts.
    """

    entries: int
    data_centres: int
    targets: int
    accounts: int


@dataclasses.dataclass(frozen=True)
class Cost:
    """The cost of one operation.

    Attributes
    ----------
    microseconds : float
        Processor time of one operation, the median of several series.
    message_bytes : float
        Bytes of the messages sent and received, without transport overhead.
    """

    microseconds: float
    message_bytes: float = 0.0


class DecisionBenchmark:
    """The decision logic of one daemon, filled with a fleet of a given size.

    Parameters
    ----------
    size : Size
        The size of the fleet.
    """

    def __init__(self, size):
        self.size = size
        self.now = _START
        self.me = _entry(0, size)
        self.core = core.Core(self.me, seed=1)
        self.step(events.DeclarationsAdopted(1, declarations(size)))
        self.step(events.HostsListed(_hosts(size)))
        members = tuple(
            _member(number, size, heartbeat=1) for number in range(1, size.entries)
        )
        self.step(
            gossip.GossipAnswered(
                "peer", gossip.GossipMessage("entry-1", "dc-1", members=members)
            )
        )

    def step(self, *new_events):
        """Run one step of the logic on events; return the commands it gives."""
        return self.core.step(self.now, new_events)

    def prompt_cost(self):
        """Return the `Cost` of one prompt, from its arrival to its end."""
        self._grant_slices()
        return Cost(_microseconds(self._run_prompt, 400))

    def gossip_cost(self):
        """Return the `Cost` of one gossip round started here and answered by a peer.

        It includes the work of both daemons.
        """
        peer = DecisionBenchmark.__new__(DecisionBenchmark)
        peer.__init__(self.size)
        sizes = []

        def run():
            self.now += datetime.timedelta(milliseconds=500)
            peer.now = self.now
            membership = self.core.membership
            membership.start_round(self.now)
            for command in self.core.state.take_commands():
                if isinstance(command, commands.GossipTo):
                    sizes.append(self._exchange_gossip(peer, command))
                    return

        cost = _microseconds(run, 40)
        return Cost(cost, statistics.mean(sizes) if sizes else 0.0)

    def tick_cost(self):
        """Return the `Cost` of one tick between gossip rounds."""
        self._grant_slices()
        self.step(events.Tick())

        def run():
            self.step(events.Tick())

        return Cost(_microseconds(run, 100))

    def slice_cost(self):
        """Return the `Cost` of a slice request and its grant at the account's owner.

        A slice is a lease on a share of an account's limit. One entry host owns the
        account and grants slices to the others.
        """
        owned_accounts = [
            row.name
            for row in self.core.state.accounts
            if self.core.state.owner(row.name).name == self.me.name
        ]
        account = owned_accounts[0] if owned_accounts else "account-0"
        request_numbers = iter(range(1, 1_000_000))
        holders = [f"entry-{number}" for number in range(1, 4)]
        for holder in holders:
            self._request_slice(account, holder, next(request_numbers))
        # Every entry host reports that it holds no slice of the account.
        for name in holders + [f"entry-{n}" for n in range(self.size.entries)]:
            self.step(events.HoldingsReported(name, 1, (account,), (), True))

        def run():
            number = next(request_numbers)
            self._request_slice(account, holders[number % 3], number)

        ask = events.SliceAsk(account, events.Resource.PROMPTS, 1, 2, 2, 1)
        size = sum(item.ByteSize() for item in peermessages.asks_to_wire([ask]))
        return Cost(_microseconds(run, 300), 2.0 * size)

    def _request_slice(self, account, holder, number):
        ask = events.SliceAsk(account, events.Resource.PROMPTS, 1, 2, 2, 1)
        self.step(events.SlicesAsked(str(number), holder, 1, number, (ask,)))

    def _exchange_gossip(self, peer, command):
        """Deliver a gossip message to a peer and the replies back; return the bytes."""
        size = peermessages.gossip_to_wire(command.message, 1, self.now).ByteSize()
        for reply in peer.step(gossip.GossipReceived("x", command.message)):
            if isinstance(reply, commands.GossipReply):
                size += peermessages.gossip_to_wire(
                    reply.message, 1, self.now
                ).ByteSize()
                self.step(gossip.GossipAnswered("peer", reply.message))
        return size

    def _grant_slices(self):
        for index in range(min(self.size.accounts, 15)):
            name = f"account-{index}"
            resource = events.Resource.PROMPTS
            self.core.slices.request_larger_slice_if_short(name, resource, self.now)
            grant = events.SliceGrant(name, resource, 50, 1)
            self.step(events.SlicesGranted(self.now, (), (grant,)))

    def _run_prompt(self):
        request_id = f"r{self.core.state.random.random()}"
        account = f"account-{hash(request_id) % min(self.size.accounts, 15)}"
        arrival = events.PromptArrived(
            request_id,
            account,
            "model-0",
            f"{request_id} " * 40,
            _TOKENS,
            100,
            self.now + datetime.timedelta(minutes=1),
        )
        for command in self.step(arrival):
            if isinstance(command, commands.SendPrompt):
                attempt = command.attempt
                self.step(events.FirstToken(request_id, 0, _TOKENS))
                self.step(
                    events.AttemptEnded(request_id, attempt, events.Ending.COMPLETED)
                )


def declarations(size):
    """Return declarations for a fleet of a given size."""
    pools = [f"pool-{index}" for index in range(_MODELS)]
    return declared.Declarations(
        contracts=tuple(
            declared.Contract(f"account-{n}", 50, 4, 5, 100_000, ("0" * 64,), ())
            for n in range(size.accounts)
        ),
        models=tuple(
            declared.Model(f"model-{n}", pool, "v1", 200_000)
            for n, pool in enumerate(pools)
        ),
        pools=tuple(
            declared.Pool(pool, declared.TargetKind.ENGINE, 100_000) for pool in pools
        ),
        targets=tuple(
            declared.Target(
                f"engine-{n}", pools[n % _MODELS], f"dc-{n % size.data_centres}", True
            )
            for n in range(size.targets)
        ),
        data_centres=tuple(
            declared.DataCentre(f"dc-{n}", f"region-{n % 7}")
            for n in range(size.data_centres)
        ),
    )


def allocated_bytes(make):
    """Return the memory, in bytes, allocated by the result of `make()`."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return after - before


def _microseconds(run, count):
    """Return the processor time of one run, as the median of several series."""
    series = []
    for _ in range(_REPEATS):
        started_at = time.process_time()
        for _ in range(count):
            run()
        series.append((time.process_time() - started_at) / count * 1e6)
    return statistics.median(series)


def _entry(number, size):
    name = f"entry-{number}"
    data_centre = f"dc-{number % size.data_centres}"
    return events.Host(
        name,
        "entry",
        data_centre,
        f"http://10.0.{number // 250}.{number % 250}:8080",
        f"10.0.{number // 250}.{number % 250}:8081",
        f"http://10.0.{number // 250}.{number % 250}:8082",
        incarnation=1,
    )


def _member(number, size, heartbeat):
    host = _entry(number, size)
    return gossip.Member(
        host.name,
        host.data_centre,
        host.url,
        host.peer_address,
        host.admin_url,
        host.incarnation,
        heartbeat,
        events.HostState.LIVE,
        1,
    )


def _hosts(size):
    return tuple(
        events.Host(
            f"engine-{n}", "engine", f"dc-{n % size.data_centres}", f"http://e{n}:80"
        )
        for n in range(size.targets)
    )
