"""Routes, services and client accounts of an operator's configuration."""

import dataclasses
import datetime
import enum
import functools


class Repeats(enum.Enum):
    """Whether a route's requests may run again after a run that may have begun."""

    # Runs may be repeated.
    IDEMPOTENT = "idempotent"
    # A request runs at most once, also if that run fails.
    ONCE = "once"
    # A stream that another target can continue after the last complete event.
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service of a route, and its weight among the route's services."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The route of requests for one host and path prefix.

    Attributes
    ----------
    public : bool
        Whether requests need no API key.
    timeout : datetime.timedelta
        The longest time from a request's arrival to its complete answer.
    latency_goal : datetime.timedelta
        The time within which an answer has its full value to the caller.
    max_attempts : int
        The most runs of one request that targets may begin.
    rank : int
        Urgency of its requests; 0 is the most urgent.
    shares : tuple of Share
        The services that the requests are split among.
    """

    name: str
    host: str
    prefix: str
    repeats: Repeats
    streaming: bool
    timeout: datetime.timedelta
    latency_goal: datetime.timedelta
    max_attempts: int
    rank: int
    shares: tuple[Share, ...]
    public: bool = False

    def draw_service(self, rng, begun_by=None, able=()):
        """Return the name of one of its services, drawn by weight.

        A stream that is taken up stays at the service that began it.

        Parameters
        ----------
        rng : random.Random
            The source of randomness.
        begun_by : str or None
            The service that began the stream; None if none has.
        able : collection of str
            The services at which a stream may go on; empty for any.
        """
        if any(share.service == begun_by for share in self.shares):
            return begun_by
        if len(self.shares) == 1:
            return self.shares[0].service
        shares = [share for share in self.shares if share.service in able]
        shares = shares or self.shares
        weights = [share.weight for share in shares]
        return rng.choices(shares, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """Properties shared by all engines of a service.

    Attributes
    ----------
    slots : int
        Runs that an engine can have at once.
    kv_capacity : int
        Tokens whose KV cache fits into an engine's memory.
    kv_token_bytes : int
        Bytes of KV cache for one token.
    link_bits_per_second : float
        The rate at which an engine sends or receives KV cache.
    """

    models: tuple[str, ...]
    slots: int
    kv_capacity: int
    kv_token_bytes: int
    link_bits_per_second: float

    def can_hold(self, tokens):
        """Return whether the KV cache of so many tokens fits into an empty engine."""
        return not self.kv_capacity or tokens <= self.kv_capacity

    def most_held(self, tokens):
        """Return how many of a prompt's tokens an engine holds at most."""
        return min(tokens, self.kv_capacity) if self.kv_capacity else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class KvStore:
    """A store of KV cache that keeps its contents until it is ordered to free them.

    Attributes
    ----------
    capacity : int
        Tokens whose KV cache it can hold.
    first_byte : datetime.timedelta
        Latency of each transfer before its first byte, besides the time on the link.
    followers : int
        Long polls for its changes that it keeps open at once; it refuses more.
    """

    address: str
    data_centre: str
    capacity: int
    link_bits_per_second: float
    first_byte: datetime.timedelta
    managed: bool
    followers: int = 12


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """The warm-up of targets that have just started.

    Attributes
    ----------
    lasts : datetime.timedelta
        How long a target is cold after its start.
    per_second : float
        Requests per second that a cold target can serve, from all hosts together.
    """

    lasts: datetime.timedelta
    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets, or a KV store.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_start : ColdStart or None
        The warm-up of its targets; None if they have full capacity from the start.
    """

    name: str
    max_connections: int
    engines: Engines | None = None
    kv_store: KvStore | None = None
    cold_start: ColdStart | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    rank : int or None
        Urgency of its requests; 0 is the most urgent. It takes precedence over the
        rank of the route.
    isolated : bool
        Whether its KV cache is kept apart from that of all other accounts.
    """

    name: str
    rank: int | None = None
    isolated: bool = False


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete version of an operator's configuration.

    Attributes
    ----------
    isolated_names : frozenset of str
        The accounts that share KV cache with no other, also those without any key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    account_by_key: dict[str, Account] = dataclasses.field(default_factory=dict)
    needs_keys: bool = False
    max_body_bytes: int = 4 << 20
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    max_header_bytes: int = 64 << 10
    isolated_names: frozenset[str] = frozenset()

    @functools.cached_property
    def _route_by_prefix_by_host(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return by_host

    @functools.cached_property
    def cold_start_by_service(self):
        """The `ColdStart` of each service whose targets need a warm-up."""
        return {
            name: service.cold_start
            for name, service in self.service_by_name.items()
            if service.cold_start is not None
        }

    def match(self, host, path):
        """Return the route whose prefix is the longest that a path has, or None.

        Parameters
        ----------
        host : str
            The host name in the request, without a port.
        path : str
            The path as it was sent, without the query. It is compared without any
            normalisation, since targets receive it unchanged.

        Returns
        -------
        route : Route or None
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if route_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
