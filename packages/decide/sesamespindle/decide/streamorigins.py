"""Which software version began a stream that a caller takes up again.

A caller comes back to any host with the id of the attempt that brought its first event.
While a service has several software versions, the host that begins a stream tells two
keepers, which rendezvous hashing names for each attempt, and hosts that are to continue
it ask them. It also tells the recorder of its data centre; see `originrecords`. Of what
it began while there was one version it tells them as a second one appears. What nobody
knows began at the only version that is recorded, if there is but one; otherwise it
isn't continued.
"""

import collections
import dataclasses
import datetime
import hashlib
import itertools

from sesamespindle.decide import (
    hashing,
    originrecords,
    routehistory,
    routes,
    streamversions,
)

_KEEPERS = 2
# Hosts that are asked at once: the keepers, and those that took their place while hosts
# came and went.
_ASKED = 6
# Hosts among which the second keeper is sought in another data centre.
_COMPARED = 8
# Bounds the memory, 3 MB. A host keeps 2,500 at 7,600 streams a second of 370 hosts.
_MOST_KEPT = 20_000
# Attempts that are dropped in one tick at most.
_FORGOTTEN_AT_ONCE = 200
# The shortest time after which a caller is to come back whose stream's origin the store
# may know, while it doesn't answer.
_STORE_AWAY_RETRY_AFTER = datetime.timedelta(seconds=1)
# Attempts of earlier that peers are told of in one tick at most.
_TOLD_AT_ONCE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began."""

    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginTold:
    """A peer tells where an attempt's stream began.

    Attributes
    ----------
    is_to_be_recorded : bool
        Whether this host is told as the recorder of its data centre.
    """

    key: bytes
    origin: Origin
    is_to_be_recorded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TellOrigin:
    """Tell peers where an attempt's stream began.

    Attributes
    ----------
    addresses : tuple of str
        The addresses of the keepers, as ``host:port``.
    recorder : str
        The address of the recorder; empty if this host is it, or there is none.
    """

    key: bytes
    origin: Origin
    addresses: tuple[str, ...]
    recorder: str = ""


def key_of(account, attempt):
    """Return the key of an attempt; another account's attempt has another one."""
    text = f"{account}\0{attempt}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=originrecords.KEY_BYTES).digest()


def resumable_services(configuration, request):
    """Return the services of a request for a stream that may be resumed.

    Parameters
    ----------
    configuration : routes.Configuration or None
        The active configuration.
    request : flights.Request
        The caller's request.

    Returns
    -------
    services : tuple of str
        Empty if its route is unknown, or its streams can't be resumed.
    """
    route = _resumable_route(configuration, request)
    if route is None:
        return ()
    return tuple(share.service for share in route.shares)


def _resumable_route(configuration, request):
    """Return the route of a stream that may be resumed, or None."""
    if configuration is None:
        return None
    route = configuration.match(request.host, request.path)
    if route is None or route.repeats is not routes.Repeats.RESUMABLE:
        return None
    return route


class StreamOrigins:
    """Remembers where streams began, and knows who else does.

    Parameters
    ----------
    state : world.World
        The shared tables.
    versions : streamversions.StreamVersions
        Which services have several software versions.
    records : originrecords.OriginRecords
        Has attempts recorded in the platform's store.
    store_checks : storechecks.StoreChecks
        Whether the platform's store answers.
    """

    def __init__(self, state, versions, records, store_checks):
        self._state = state
        self._store_checks = store_checks
        self._versions = versions
        self._records = records
        # (origin, until when it is kept), oldest first.
        self._kept_by_key = {}
        # The same of attempts that began here while their service had one version.
        self._untold_by_service = collections.defaultdict(dict)
        self._mixed_services = set()
        self._history = routehistory.RouteHistory()
        self._peer_by_name = {}
        self._peers_of_view = None

    def handle(self, event, now):
        """Handle one of this module's events; return whether it was one."""
        if not isinstance(event, OriginTold):
            return self._records.handle(event, now)
        self._keep(event.key, event.origin, now)
        if event.is_to_be_recorded:
            self._records.add(event.key, event.origin, now)
        return True

    def tick(self, flights, now):
        """Tell keepers of earlier streams as their service becomes mixed.

        Those under way are first. Guards against streams that are refused as their
        callers left just before their service got a second version.

        Parameters
        ----------
        flights : collection of flights.Flight
            The requests in flight.
        """
        self._forget(now)
        self._records.write_if_due(now)
        mixed = self._services_to_tell_of(now)
        newly_mixed = mixed - self._mixed_services
        self._mixed_services = mixed
        if newly_mixed:
            for flight in flights:
                if flight.service in newly_mixed:
                    self.begun(flight, now)
        if mixed:
            self._note_under_way(flights, mixed, now)
        for service in mixed & self._untold_by_service.keys():
            self._tell_earlier(self._untold_by_service[service], now)

    def _note_under_way(self, flights, mixed, now):
        """Have the versions count that write streams of mixed services."""
        for flight in flights:
            if flight.service in mixed and flight.has_begun and flight.software:
                self._versions.note_under_way(flight.service, flight.software, now)

    def _services_to_tell_of(self, now):
        """Return the services whose streams may be taken up where versions differ.

        These are the mixed ones, and those of routes whose services, the earlier ones
        included, differ in version.
        """
        names = self._versions.mixed_services()
        for route in self._history.divided:
            services = self.services(route, now)
            if self.matters(services):
                names.update(services)
        return names

    def _tell_earlier(self, untold_by_key, now):
        """Tell keepers of attempts that began while their service had one version."""
        for key in list(itertools.islice(untold_by_key, _TOLD_AT_ONCE)):
            origin, _ = untold_by_key.pop(key)
            self.learned(key, origin, now)

    def begun(self, flight, now):
        """Remember where a stream began, if it may matter, and have keepers told."""
        if flight.route.repeats is not routes.Repeats.RESUMABLE or not flight.software:
            return
        if flight.request.passport is not None:
            return
        account = flight.account.name if flight.account is not None else ""
        key = key_of(account, flight.request.request_id)
        origin = Origin(flight.service, flight.software)
        untold_by_key = self._untold_by_service[flight.service]
        is_mixed = self.matters(self.services(flight.route, now))
        if is_mixed or flight.service in self._mixed_services:
            untold_by_key.pop(key, None)
            self.learned(key, origin, now)
        elif len(untold_by_key) < _MOST_KEPT:
            untold_by_key[key] = (origin, now + streamversions.SEEN_FOR)

    def learned(self, key, origin, now):
        """Remember where an attempt's stream began, and have keepers told."""
        self._keep(key, origin, now)
        addresses = _addresses(self._ordered(key)[:_KEEPERS])
        recorder = self._records.recorder()
        if recorder == self._state.me.peer_address:
            self._records.add(key, origin, now)
            recorder = ""
        self._state.emit(TellOrigin(key, origin, addresses, recorder))

    def known(self, key, now):
        """Return the `Origin` that is remembered for a key, or None."""
        for kept_by_key in (self._kept_by_key, *self._untold_by_service.values()):
            kept = kept_by_key.get(key)
            if kept is not None and now <= kept[1]:
                return kept[0]
        return None

    def sole(self, services):
        """Return the `Origin` of a stream of which nobody knows where it began.

        Parameters
        ----------
        services : tuple of str
            The services that may have begun it.

        Returns
        -------
        origin : Origin or None
            None if more than one version may have. See `StreamVersions.sole_version`
            for what must be proved.
        """
        if len(services) != 1:
            return None
        software = self._versions.sole_version(services[0])
        return Origin(services[0], software) if software is not None else None

    def matters(self, services):
        """Return whether a stream of these services must go on where it began.

        Guards against a stream that begins at one service of a route and goes on at
        another one, whose targets all have another version.
        """
        return self._versions.is_mixed(*services)

    def is_informed(self, now):
        """Return whether this host would know of another software version."""
        return self._versions.is_informed(now)

    def note_change(self, before, after, now):
        """Adopt a change of the configuration; see `RouteHistory.note_change`."""
        self._history.note_change(before, after, now)

    def services(self, route, now):
        """Return the services that may have begun a stream of a route.

        Guards against a stream that its first service began at one version, and that
        goes on at the service which its route was moved to, at another one.
        """
        return self._history.services(route, now)

    def taken_up(self, configuration, request, now):
        """Return the services and the account of a stream that a caller takes up.

        Parameters
        ----------
        configuration : routes.Configuration or None
            The active configuration.
        request : flights.Request
            The caller's request.
        now : datetime.datetime
            The current time.

        Returns
        -------
        services : tuple of str
            Those that may have begun it.
        account : str
            Empty if the route needs none.

        None if the request takes up no stream, or its route or key is unknown.
        """
        if not request.takes_up or request.passport is not None:
            return None
        route = _resumable_route(configuration, request)
        if route is None:
            return None
        services = self.services(route, now)
        if not configuration.needs_keys or route.public:
            return services, ""
        account = configuration.account_by_key.get(request.key or "")
        return (services, account.name) if account is not None else None

    def must_refuse(self, request, route, now):
        """Return whether a caller's stream can't go on for lack of knowledge."""
        if not request.takes_up or request.origin is not None:
            return False
        if request.passport is not None:
            return False
        if route.repeats is not routes.Repeats.RESUMABLE:
            return False
        services = self.services(route, now)
        return not self.is_informed(now) or self.matters(services)

    def only_version(self, route, now):
        """Return the version at which a stream goes on whose origin needn't be asked.

        Guards against a stream that a caller takes up while its service has one
        version, and that is sent again, or sent late, once there is another.

        Returns
        -------
        software : str
            Empty if the stream may go on anywhere, or no version is known.
        """
        if route.repeats is not routes.Repeats.RESUMABLE:
            return ""
        return self._versions.only_seen_version(*self.services(route, now))

    def earliest_return(self):
        """Return after how long a caller is to come back; None if that doesn't matter.

        Guards against callers that use up their tries while nobody can tell them more.
        """
        is_answering = self._store_checks.is_store_answering()
        return None if is_answering else _STORE_AWAY_RETRY_AFTER

    def addresses_to_ask(self, key):
        """Return the addresses of the peers that may remember a key."""
        return _addresses(self._ordered(key)[:_ASKED])

    def _keep(self, key, origin, now):
        if len(self._kept_by_key) < _MOST_KEPT:
            until = now + streamversions.SEEN_FOR
            self._kept_by_key.setdefault(key, (origin, until))

    def _forget(self, now):
        """Drop the oldest attempts, some at a time, once their time is over."""
        for kept_by_key in (self._kept_by_key, *self._untold_by_service.values()):
            oldest = itertools.islice(kept_by_key.items(), _FORGOTTEN_AT_ONCE)
            for key in [key for key, (_, until) in oldest if until < now]:
                del kept_by_key[key]

    def _ordered(self, key):
        """Return the peers that may remember an attempt, its keepers first.

        The keepers are the first two in the attempt's rendezvous order, the second of
        them in another data centre if one of the next few is.
        """
        row_by_name = self._peers()
        names = hashing.top(key.hex(), row_by_name, _COMPARED)
        rows = [row_by_name[name] for name in names]
        for place, row in enumerate(rows):
            if row.data_centre != rows[0].data_centre:
                rows.insert(1, rows.pop(place))
                break
        return rows

    def _peers(self):
        """Return the rows of the other live hosts by name, made anew on a change."""
        if self._peers_of_view != self._state.view:
            self._peers_of_view = self._state.view
            self._peer_by_name = {
                row.name: row
                for row in self._state.live_entries()
                if row.name != self._state.me.name and row.peer_address
            }
        return self._peer_by_name


def _addresses(rows):
    return tuple(row.peer_address for row in rows)
