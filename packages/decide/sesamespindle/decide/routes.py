"""Routes, services and client accounts as an operator's configuration has them."""

import dataclasses
import datetime
import enum
import functools


class Repeats(enum.Enum):
    """What a route's requests allow after a run that may have begun."""

    # Runs may be repeated freely.
    IDEMPOTENT = "idempotent"
    # At most one run, whatever happens.
    ONCE = "once"
    # A stream that another target can continue after the last whole event.
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service of a route, and its weight among the route's services."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes
    ----------
    public : bool
        Whether requests need no API key.
    timeout : datetime.timedelta
        The longest that a request may be kept without its whole answer.
    latency_goal : datetime.timedelta
        The time within which an answer is of full use to its caller.
    max_attempts : int
        Targets that may begin to run one request.
    rank : int
        Urgency, 0 first.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """What the engines of a service have in common.

    Attributes
    ----------
    kv_capacity : int
        Tokens that an engine's memory holds.
    kv_token_bytes : int
        Bytes of one token of KV cache.
    link_bits_per_second : float
        The rate at which an engine sends or receives KV cache.
    """

    models: tuple[str, ...]
    slots: int
    kv_capacity: int
    kv_token_bytes: int
    link_bits_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class KvStore:
    """A store of KV cache that keeps what it has until it is told to free it.

    Attributes
    ----------
    capacity : int
        Tokens that it holds.
    first_byte : datetime.timedelta
        What each transfer waits besides its time on the link.
    followers : int
        Questions for its changes that it holds at once; more are refused.
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
    """What targets bear that have just started.

    Attributes
    ----------
    lasts : datetime.timedelta
        How long a target is cold after its start.
    per_second : float
        Requests that it bears meanwhile, from all hosts together.
    """

    lasts: datetime.timedelta
    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equal targets, or a KV store.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_start : ColdStart or None
        None where targets bear as much as ever from their start on.
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
        Goes before the rank of the route.
    isolated : bool
        Whether it shares no KV cache with any other account.
    """

    name: str
    rank: int | None = None
    isolated: bool = False


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of an operator's configuration, whole."""

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    account_by_key: dict[str, Account] = dataclasses.field(default_factory=dict)
    needs_keys: bool = False
    max_body_bytes: int = 4 << 20
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)

    @functools.cached_property
    def _route_by_prefix_by_host(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return by_host

    @functools.cached_property
    def cold_start_by_service(self):
        """The `ColdStart` of each service whose targets are cold at first."""
        return {
            name: service.cold_start
            for name, service in self.service_by_name.items()
            if service.cold_start is not None
        }

    def match(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            The host that the caller asked for, without a port.
        path : str
            The path as it was sent, without the query. It is compared as it
            stands, since targets get it as it stands.
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
