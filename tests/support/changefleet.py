"""Real daemons in several data centres, and how late each of them learns of changes.

Each daemon reaches the store by a link of its own, which a test can disturb. As a
program it plays rounds of disturbances and changes, and prints the worst host of each.
"""

import argparse
import asyncio
import collections
import contextlib
import itertools
import re

import standins

# From this long after the end of a disturbance the time limits hold for all hosts.
CONTACT_SECONDS = 3.0
# How long after its acknowledgement a change of the configuration or of a target must
# be in force.
CHANGE_SECONDS = 2.0
# The same for the evacuation of a data centre.
EVACUATION_SECONDS = 5.0
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
_PAUSE_SECONDS = 0.05
# How many daemons start at the same time: each takes a second of a core to start.
_STARTED_AT_ONCE = 12
# How many changes are lost when the store comes back from an older copy, how long it is
# away meanwhile, and how soon the operator and targets write again what they wrote.
LOST_CHANGES = 30
AWAY_SECONDS = 0.5
REWRITTEN_SECONDS = 0.5
_LEASE_TAKEN = re.compile(r"lease_taken (?P<holder>\S+)\. epoch (?P<epoch>\d+)")
# How many requests each host must handle by the new state after its first such.
_CONFIRMATIONS = 3


class Fleet:
    """Daemons with a link each, and the operator's changes.

    Attributes
    ----------
    hosts : list of standins.Daemon
        The daemons; their data centres alternate.
    link_by_host : dict of str to sesamespindle.lab.proxy.Proxy
        The link of each daemon to the store, by the daemon's name.
    disturbed_until : float
        The event loop's time of the end of the last disturbance.
    """

    def __init__(self, world):
        self.world = world
        self.hosts = []
        self.link_by_host = {}
        self.disturbed_until = 0.0
        self._version = 1
        self._ids = itertools.count()

    @property
    def _now(self):
        return asyncio.get_running_loop().time()

    async def start_host(self):
        """Start one more daemon without waiting until it is ready."""
        link = await self.world.add_link()
        seeds = tuple(host.ip for host in self.hosts[:3])
        first = len(self.hosts) % len(DATA_CENTRES)
        own_first = DATA_CENTRES[first:] + DATA_CENTRES[:first]
        host = await self.world.start_daemon(
            seeds, store_address=link.address, data_centres=own_first
        )
        self.hosts.append(host)
        self.link_by_host[host.name] = link
        return host

    async def disturb(self, hosts=None, **faults):
        """Set faults of the links of some hosts, or of all."""
        for host in hosts if hosts is not None else self.hosts:
            await self.link_by_host[host.name].apply(faults)
        self.disturbed_until = self._now

    def hosts_of(self, data_centre):
        """Return the hosts of a data centre."""
        return [host for host in self.hosts if host.data_centre == data_centre]

    # The store comes back from an older copy.

    @contextlib.asynccontextmanager
    async def lost_span(self, changes=LOST_CHANGES, away=AWAY_SECONDS, knows=True):
        """Restore the store to how it was on entry, and so lose what is written inside.

        Parameters
        ----------
        changes : int
            How many further changes are lost, by which the revision goes back.
        away : float
            The seconds for which the store doesn't answer.
        knows : bool
            Whether the hosts have time to learn of what will be lost.
        """
        store = self.world.store
        store.keep_copy()
        yield
        await store.advance(changes)
        if knows:
            await asyncio.sleep(CHANGE_SECONDS)
        await self.restore_now(away)

    async def restore_now(self, away=AWAY_SECONDS):
        """Let the store be away for some seconds, and come back from its copy."""
        store = self.world.store
        store.is_away = True
        await asyncio.sleep(away)
        store.restore()
        store.is_away = False
        self.disturbed_until = self._now

    async def write_again(self, after=REWRITTEN_SECONDS):
        """Have the operator and targets write again what was lost, a moment later."""
        await asyncio.sleep(after)
        await self.world.store.write_again()

    def epochs(self):
        """Return who has taken the lease under each epoch, by the hosts' own logs."""
        holders_by_epoch = collections.defaultdict(set)
        for host in self.hosts:
            for line in host.lines():
                found = _LEASE_TAKEN.search(line)
                if found:
                    holders_by_epoch[int(found["epoch"])].add(found["holder"])
        return holders_by_epoch

    # The operator's changes. Each returns the time of its acknowledgement.

    async def change_configuration(self, **changed):
        """Write the next version; the arguments replace fields of the usual one."""
        self._version += 1
        manifest = standins.make_manifest(self._version, **changed)
        await self.world.store.put("config", "main", manifest)
        return self._now

    async def add_route(self, prefix):
        """Write a version with one more route to the plain service."""
        manifest = standins.make_manifest()
        added = manifest["Routes"][1] | {"Name": prefix, "PathPrefix": prefix}
        return await self.change_configuration(Routes=[*manifest["Routes"], added])

    async def say_leaving(self, target):
        """Write that a target leaves."""
        await self.world.store.put("servers", target.name, target.entry("draining"))
        return self._now

    # How late the hosts are.

    async def ask(self, host, path, **headers):
        """Send a request to a host; return its status."""
        status, _, _ = await self.world.ask(
            host, path, f"{host.name}.{next(self._ids)}", **headers
        )
        return status

    async def lateness(self, acknowledged, is_old, hosts=None, limit=CHANGE_SECONDS):
        """Return by how much each host handles requests by old knowledge too late.

        Parameters
        ----------
        acknowledged : float
            When the change was acknowledged.
        is_old : callable
            A coroutine function that sends a host a request, and returns whether it
            was handled as only the state before the change allows.
        hosts : list of standins.Daemon, optional
            The hosts to judge; all by default.
        limit : float
            The seconds in which the change must be in force.

        Returns
        -------
        late_by_host : dict of str to float
            Seconds beyond the time limit; negative if a host was in time.
        """
        due = max(acknowledged + limit, self.disturbed_until + CONTACT_SECONDS)
        judged = hosts if hosts is not None else self.hosts
        last_old = await asyncio.gather(
            *(self._last_old(host, is_old, acknowledged) for host in judged)
        )
        return {
            host.name: round(at - due, 2)
            for host, at in zip(judged, last_old, strict=True)
        }

    async def _last_old(self, host, is_old, acknowledged):
        """Return when the last request was sent that was handled by old knowledge."""
        last = acknowledged
        confirmed = 0
        async with asyncio.timeout(2 * standins.PATIENCE_SECONDS):
            while confirmed < _CONFIRMATIONS:
                sent = self._now
                if await is_old(host):
                    last, confirmed = sent, 0
                else:
                    confirmed += 1
                await asyncio.sleep(_PAUSE_SECONDS)
        return last

    def is_served(self, path, **headers):
        """Return a coroutine function for `lateness`: what was removed is served."""

        async def is_old(host):
            return await self.ask(host, path, **headers) == 200

        return is_old

    def lacks_line(self, text):
        """Return a coroutine function for `lateness`: a host hasn't logged a text."""

        async def is_old(host):
            return not any(text in line for line in host.lines())

        return is_old

    def is_refused(self, path):
        """Return a coroutine function for `lateness`: a new route isn't served."""

        async def is_old(host):
            return await self.ask(host, path) in (401, 403, 404)

        return is_old

    def reaches(self, target, path):
        """Return a coroutine function for `lateness`: a request reaches a target."""

        async def is_old(host):
            before = len(target.arrivals)
            await self.ask(host, path)
            names = {arrival.host for arrival in target.arrivals[before:]}
            return host.name in names

        return is_old


@contextlib.asynccontextmanager
async def fleet(world, hosts=9, targets=3):
    """Yield a `Fleet` whose hosts are ready."""
    for number in range(targets):
        await world.add_target(f"desk-{number + 1}")
    made = Fleet(world)
    while len(made.hosts) < hosts:
        count = min(_STARTED_AT_ONCE, hosts - len(made.hosts))
        started = [await made.start_host() for _ in range(count)]
        for host in started:
            await world.until(lambda host=host: world.is_ready(host))
    yield made


async def _play_rounds(hosts, rounds):
    async with standins.World() as world, fleet(world, hosts) as played:
        await asyncio.sleep(CONTACT_SECONDS)
        for number in range(rounds):
            for what, wait in (("undisturbed", 0.0), ("silent", 0.0), ("silent", 2.9)):
                if what == "silent":
                    await played.disturb(silence=True)
                    await asyncio.sleep(wait)
                await _print_round(played, number, f"{what} for {wait} s")
            await played.disturb(mode="drop_answers")
            await asyncio.sleep(5.0)
            await played.disturb(mode="pass", silence=True)
            await asyncio.sleep(CONTACT_SECONDS)
            await _print_round(played, number, "5 s without a store, 3 s with one")


async def _print_round(played, number, what):
    prefix = f"/{what}-{number}/".replace(" ", "-")
    calls = played.world.store.reads
    began = played._now
    acknowledged = await played.add_route(prefix)
    late = await played.lateness(acknowledged, played.is_refused(f"{prefix}1"))
    seconds = sorted(value + CHANGE_SECONDS for value in late.values())
    since = max(acknowledged + CHANGE_SECONDS, played.disturbed_until + CONTACT_SECONDS)
    offset = since - acknowledged - CHANGE_SECONDS
    per_second = (played.world.store.reads - calls) / (played._now - began)
    print(
        f"{what}: last old answer {seconds[0] + offset:.2f} to "
        f"{seconds[-1] + offset:.2f} s after the acknowledgement; "
        f"latest {max(late.values()):+.2f} s of the limit; {per_second:.1f} reads/s",
        flush=True,
    )
    await asyncio.sleep(1.0)


def main():
    """Play rounds of disturbances with a number of daemons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--rounds", type=int, default=2)
    chosen = parser.parse_args()
    asyncio.run(_play_rounds(chosen.hosts, chosen.rounds))


if __name__ == "__main__":
    main()
