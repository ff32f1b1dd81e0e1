"""What a host holds for its callers, and which of them give way if that is too much.

All that callers can make a process hold counts in one quota: heads and bodies that have
arrived, requests that wait for their answers, and answers that nobody reads. A single
connection has no limit of its own beside it.
"""

import collections
import dataclasses
import datetime
import enum

# What a connection takes by itself: its objects, and some bytes that aren't read yet.
CONNECTION_BYTES = 16 * 1024
# What the kernel may hold of one connection, and how many times the quota all of them
# may hold so: they are read before they hold that much, unless all send at once.
_UNREAD_BYTES = 36 * 1024
_UNREAD_SHARE = 1.5
# What a request takes beside its bytes until it has its answer.
REQUEST_BYTES = 16 * 1024
# Connections that hold no more than this are the ordinary ones.
_ORDINARY_BYTES = CONNECTION_BYTES + REQUEST_BYTES + 32 * 1024
# The share of the quota that is left to ordinary ones alone.
_ORDINARY_SHARE = 0.25
# Beyond the quota this share of it is freed at once, so that it isn't searched for each
# piece that arrives.
_FREED_SHARE = 0.05
# The share of what the process may grow by that its callers may hold. The rest is for
# what it knows of the fleet, for copies, and for what the kernel holds of connections
# that aren't accepted yet.
_CALLER_SHARE = 0.4
# The least quota, with which the largest requests are passed on piece by piece.
_MIN_QUOTA_BYTES = 4 * 1024 * 1024
# The share of the quota that one body may take to be held whole.
_WHOLE_BODY_SHARE = 0.25
# The part of the descriptors that is for the store, peers and probes. The others are
# shared by callers' connections and as many to targets.
_OWN_DESCRIPTOR_SHARE = 0.25
_MIN_CONNECTIONS = 8


class Stage(enum.StrEnum):
    """What a connection is at."""

    # No request has begun to arrive.
    IDLE = "idle"
    # The head of a request has begun to arrive.
    HEAD = "head"
    # The body of a request isn't whole yet.
    BODY = "body"
    # A request is whole and has no answer yet, or one that its caller reads.
    SERVING = "serving"
    # Another request has arrived before the one that is served has its answer.
    PIPELINING = "pipelining"
    # Bytes of an answer wait, as the caller doesn't read them.
    ANSWERING = "answering"
    # It gave way, and is closed as soon as its caller has been told so.
    LEAVING = "leaving"


class Cause(enum.StrEnum):
    """Why a connection gives way."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEADER_TIMEOUT = "header_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    UNREAD = "unread"


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a host may hold for its callers.

    Attributes
    ----------
    memory_bytes : int
        All that is held for them, connections included.
    connections : int
        The connections of callers, on all ports.
    """

    memory_bytes: int
    connections: int

    @property
    def whole_body_bytes(self):
        """The longest body that is held whole."""
        return int(self.memory_bytes * _WHOLE_BODY_SHARE)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    Attributes
    ----------
    header : datetime.timedelta
        From the first byte of a head to its last.
    idle : datetime.timedelta
        How long a connection may be idle, and an answer unread.
    header_bytes : int
        How long a head may be.
    """

    header: datetime.timedelta
    idle: datetime.timedelta
    header_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class GiveWay:
    """Command to close a connection, and to refuse its request if that isn't whole."""

    connection_id: int
    stage: Stage
    cause: Cause
    held_bytes: int


@dataclasses.dataclass(slots=True)
class _Connection:
    """A connection of a caller.

    Attributes
    ----------
    since : datetime.datetime
        When its stage began.
    progress_at : datetime.datetime
        When its caller last read some of an answer that waits, or its stage began.
    """

    port: str
    stage: Stage
    since: datetime.datetime
    progress_at: datetime.datetime
    held_bytes: int


# In the order in which they make room for a new connection.
_CLOSED_FOR_NEW = (
    Stage.LEAVING,
    Stage.IDLE,
    Stage.HEAD,
    Stage.BODY,
    Stage.ANSWERING,
    Stage.PIPELINING,
)
# Those that make room for bytes, if their callers are to blame for what they hold.
_UNFINISHED = (Stage.HEAD, Stage.BODY, Stage.ANSWERING, Stage.PIPELINING)


def allowance(memory_bytes, resting_bytes, sockets):
    """Return the `Allowance` of a process.

    Parameters
    ----------
    memory_bytes : int
        The memory beyond which the process is killed.
    resting_bytes : int
        The memory that it has without callers.
    sockets : int
        How many sockets it may have.
    """
    free = (memory_bytes - resting_bytes) * _CALLER_SHARE
    quota_bytes = max(int(free), _MIN_QUOTA_BYTES)
    by_sockets = sockets * (1 - _OWN_DESCRIPTOR_SHARE) / 2
    by_memory = quota_bytes * _UNREAD_SHARE / _UNREAD_BYTES
    return Allowance(
        quota_bytes, max(int(min(by_sockets, by_memory)), _MIN_CONNECTIONS)
    )


def peer_connections(sockets):
    """Return how many connections peers may have to a process."""
    return max(int(sockets * _OWN_DESCRIPTOR_SHARE / 2), _MIN_CONNECTIONS)


class CallerQuota:
    """Keeps what is held for callers below an allowance.

    Guards against a process that the platform kills for its memory, or that can open no
    connection to a target, since some callers hold very much and never finish. Those
    that hold much for long give way before those that hold little, so ordinary callers
    are served beside them.

    Parameters
    ----------
    allowance : Allowance
        What may be held.

    Attributes
    ----------
    held_bytes : int
        What is held, without connections that give way.
    gave_way : collections.Counter
        How many connections gave way, by stage and cause.
    """

    def __init__(self, allowance):
        self.allowance = allowance
        self.held_bytes = 0
        self.gave_way = collections.Counter()
        self._by_id = {}
        self._ids_by_stage = {stage: {} for stage in Stage}

    def __len__(self):
        return len(self._by_id)

    def open(self, connection_id, port, now):
        """Add a connection, and return the `GiveWay` of those that give way to it.

        Parameters
        ----------
        connection_id : int
            Names the connection; new ones have higher numbers.
        port : str
            The name of the port, for metrics.
        now : datetime.datetime
            The current time.

        Returns
        -------
        commands : list of GiveWay
            May include the connection itself.
        """
        added = _Connection(port, Stage.IDLE, now, now, CONNECTION_BYTES)
        self._by_id[connection_id] = added
        self._ids_by_stage[Stage.IDLE][connection_id] = None
        self.held_bytes += CONNECTION_BYTES
        gone = []
        if len(self._by_id) > self.allowance.connections:
            oldest = self._oldest_that_may_close(connection_id)
            gone.append(self._give_way(oldest, Cause.CONNECTIONS))
        return gone + self._fit(connection_id, now)

    def update(self, connection_id, stage, held_bytes, now):
        """Record what a connection is at; return the `GiveWay` that follow.

        Parameters
        ----------
        connection_id : int
            The connection; one that gives way is left as it is.
        stage : Stage
            What it is at.
        held_bytes : int
            What it holds, without `CONNECTION_BYTES`.
        now : datetime.datetime
            The current time.

        Returns
        -------
        commands : list of GiveWay
            May include the connection itself.
        """
        row = self._by_id.get(connection_id)
        if row is None or row.stage is Stage.LEAVING:
            return ()
        held_bytes += CONNECTION_BYTES
        grown = held_bytes - row.held_bytes
        if stage is not row.stage:
            del self._ids_by_stage[row.stage][connection_id]
            self._ids_by_stage[stage][connection_id] = None
            row.stage = stage
            row.since = row.progress_at = now
        elif grown < 0:
            row.progress_at = now
        row.held_bytes = held_bytes
        self.held_bytes += grown
        return self._fit(connection_id, now) if grown > 0 else ()

    def close(self, connection_id):
        """Remove a connection that is closed."""
        if connection_id in self._by_id:
            self._remove(connection_id)

    def has_room(self, connection_id):
        """Return whether the request of a connection may be served.

        Guards against whole requests that nobody can give way to any more.
        """
        row = self._by_id.get(connection_id)
        return row is not None and self.held_bytes <= self._limit_of(row.held_bytes)

    def may_hold(self, more_bytes):
        """Return whether an answer may take more memory."""
        return self.held_bytes + more_bytes <= self._limit_of(_ORDINARY_BYTES + 1)

    def expire(self, now, limits):
        """Return the `GiveWay` of the connections whose callers take too long.

        Parameters
        ----------
        now : datetime.datetime
            The current time.
        limits : ClientLimits
            How long they may take.
        """
        late = self._ids_before(Stage.IDLE, now - limits.idle)
        gone = [self._give_way(one, Cause.IDLE_TIMEOUT) for one in late]
        late = self._ids_before(Stage.HEAD, now - limits.header)
        gone += [self._give_way(one, Cause.HEADER_TIMEOUT) for one in late]
        unread = [
            one
            for one in self._ids_by_stage[Stage.ANSWERING]
            if self._by_id[one].progress_at < now - limits.idle
        ]
        return gone + [self._give_way(one, Cause.UNREAD) for one in unread]

    def ids_at(self, stage):
        """Return the ids of the connections at a stage, the longest there first."""
        return tuple(self._ids_by_stage[stage])

    def held_by_stage(self):
        """Return the bytes that connections hold, by stage."""
        held = dict.fromkeys(Stage, 0)
        for row in self._by_id.values():
            held[row.stage] += row.held_bytes
        return held

    def connections_by_port_and_stage(self):
        """Return the number of connections, by port and stage."""
        rows = self._by_id.values()
        return collections.Counter((row.port, row.stage) for row in rows)

    def _fit(self, connection_id, now):
        """Return the `GiveWay` that bring what is held within the allowance."""
        row = self._by_id.get(connection_id)
        if row is None or self.held_bytes <= self._limit_of(row.held_bytes):
            return []
        limit = self._limit_of(row.held_bytes)
        goal = limit - self.allowance.memory_bytes * _FREED_SHARE
        is_ordinary = row.held_bytes <= _ORDINARY_BYTES
        gone = []
        for one in self._unfinished(row.held_bytes, now):
            if is_ordinary and one == connection_id:
                continue
            gone.append(self._give_way(one, Cause.MEMORY))
            if self.held_bytes <= goal:
                return gone
        for one in list(self._ids_by_stage[Stage.IDLE]) if is_ordinary else ():
            if self.held_bytes <= limit:
                return gone
            if one != connection_id:
                gone.append(self._give_way(one, Cause.MEMORY))
        if self.held_bytes > limit and self._may_give_way(connection_id):
            gone.append(self._give_way(connection_id, Cause.MEMORY))
        return gone

    def _limit_of(self, held_bytes):
        """Return the most that may be held in all, to one that holds so much."""
        if held_bytes <= _ORDINARY_BYTES:
            return self.allowance.memory_bytes
        return self.allowance.memory_bytes * (1 - _ORDINARY_SHARE)

    def _unfinished(self, held_bytes, now):
        """Return the ids of unfinished connections, those that hold most first.

        What counts is the bytes times the time for which they have been held, so that
        a body that is nearly whole goes on, and one that stays gives way, be it that
        it still gets a byte now and then.

        Parameters
        ----------
        held_bytes : int
            What the connection holds that needs room. One that holds much gets it from
            those alone that hold much too.
        """
        least = _ORDINARY_BYTES if held_bytes > _ORDINARY_BYTES else CONNECTION_BYTES
        ids = [
            one
            for stage in _UNFINISHED
            for one in self._ids_by_stage[stage]
            if self._by_id[one].held_bytes > least
        ]
        return sorted(ids, key=lambda one: self._burden(one, now), reverse=True)

    def _burden(self, connection_id, now):
        row = self._by_id[connection_id]
        return row.held_bytes * (now - row.since).total_seconds(), row.held_bytes

    def _may_give_way(self, connection_id):
        row = self._by_id.get(connection_id)
        return row is not None and row.stage not in (Stage.SERVING, Stage.LEAVING)

    def _oldest_that_may_close(self, connection_id):
        """Return which connection makes room for a new one; itself if none can."""
        for stage in _CLOSED_FOR_NEW:
            for one in self._ids_by_stage[stage]:
                if one != connection_id:
                    return one
        return connection_id

    def _ids_before(self, stage, time):
        ids = []
        for one in self._ids_by_stage[stage]:
            if self._by_id[one].since >= time:
                break
            ids.append(one)
        return ids

    def _give_way(self, connection_id, cause):
        row = self._by_id[connection_id]
        command = GiveWay(connection_id, row.stage, cause, row.held_bytes)
        self.gave_way[row.stage, cause] += 1
        self._remove(connection_id)
        if row.stage is Stage.BODY and cause is Cause.MEMORY:
            # Its caller is told so, for which the connection stays a moment.
            self._by_id[connection_id] = row
            self._ids_by_stage[Stage.LEAVING][connection_id] = None
            row.stage = Stage.LEAVING
            row.held_bytes = CONNECTION_BYTES
            self.held_bytes += CONNECTION_BYTES
        return command

    def _remove(self, connection_id):
        row = self._by_id.pop(connection_id)
        del self._ids_by_stage[row.stage][connection_id]
        self.held_bytes -= row.held_bytes
