"""The attempts that began streams, as one host of each data centre records them.

What the hosts remember of streams is lost if all of them are lost at once. While a
service has several software versions, the host that begins a stream therefore tells
the recorder of its data centre, which puts the attempts of the last moments into an
object of the platform's store. Each object holds a segment of a few seconds. When there
are enough of them the oldest is used again, so that nothing has to be removed.
"""

import dataclasses
import datetime

from sesamespindle.decide import hashing, revisions, streamversions

KEY_BYTES = 8
# The objects of a data centre. As many segments cover more than the time in which a
# stream may be taken up.
SLOTS = 64
# Attempts that began within this time may be lost with their hosts. All data centres
# together write no more often than the store easily bears.
_SHORTEST_INTERVAL = datetime.timedelta(milliseconds=100)
_MOST_WRITES_PER_SECOND = 40
_RETRY_AFTER = datetime.timedelta(seconds=1)
# How long a segment is written anew with what came since, and up to how many attempts.
_SEGMENT_TIME = streamversions.SEEN_FOR / (SLOTS - 4)
_MOST_IN_SEGMENT = 400
# Attempts that wait while the store is away; later ones aren't recorded.
_MOST_WAITING = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class OriginSegment:
    """Attempts that began streams.

    Attributes
    ----------
    keys_by_origin : dict of streamorigins.Origin to bytes
        The keys of the attempts, `KEY_BYTES` each.
    """

    keys_by_origin: dict


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOrigins:
    """Write a segment to the store; `OriginsWritten` follows, or `OriginsNotWritten`.

    Attributes
    ----------
    number : int
        The segment's number. Another one needs another object.
    """

    number: int
    segment: OriginSegment


@dataclasses.dataclass(frozen=True, slots=True)
class OriginsWritten:
    """The segment of the last command was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class OriginsNotWritten:
    """The segment of the last command was not written, or that isn't known."""


def choose_slot(revision_by_slot):
    """Return the number of the object for a new segment: a new one, or the oldest.

    Parameters
    ----------
    revision_by_slot : dict of int to revisions.Revision
        The revisions of the data centre's objects that exist.
    """
    return min(
        range(SLOTS),
        key=lambda slot: (revision_by_slot.get(slot, revisions.NEVER), slot),
    )


def holds(keys, key):
    """Return whether a key is among keys that are joined to one text of bytes."""
    place = keys.find(key)
    while place > 0 and place % KEY_BYTES:
        place = keys.find(key, place + 1)
    return place >= 0


class OriginRecords:
    """Collects the attempts that this host records, and has them written.

    Parameters
    ----------
    state : world.World
        The shared tables.
    is_stored : bool
        Whether the platform stores such objects.
    """

    def __init__(self, state, is_stored):
        self._state = state
        self._is_stored = is_stored
        self._number = 0
        self._began_at = None
        # The attempts of the present segment, those that aren't written yet included.
        self._origin_by_key = {}
        self._has_unwritten = self._is_writing = False
        # How many of the attempts are in the last write.
        self._sent = 0
        self._not_before = None
        self._recorder = None
        self._recorder_view = None

    def handle(self, event, now):
        """Handle one of this module's events; return whether it was one."""
        match event:
            case OriginsWritten():
                self._is_writing = False
                self._end_segment_if_due(now)
            case OriginsNotWritten():
                self._is_writing = False
                self._has_unwritten = True
                self._not_before = now + _RETRY_AFTER
            case _:
                return False
        return True

    def recorder(self):
        """Return the address of the host that records for this data centre.

        Returns
        -------
        address : str
            Its peer address, which may be this host's; empty where nothing is recorded.
        """
        if not self._is_stored:
            return ""
        if self._recorder_view != self._state.view:
            self._recorder_view = self._state.view
            self._recorder = self._choose_recorder()
        return self._recorder

    def _choose_recorder(self):
        me = self._state.me
        address_by_name = {me.name: me.peer_address} | {
            row.name: row.peer_address
            for row in self._state.live_entries()
            if row.data_centre == me.data_centre and row.peer_address
        }
        return address_by_name[hashing.first("origins", address_by_name)]

    def add(self, key, origin, now):
        """Have an attempt recorded that began a stream."""
        if self._is_stored and len(self._origin_by_key) < _MOST_WAITING:
            self._origin_by_key[key] = origin
            self._has_unwritten = True
            self.write_if_due(now)

    def write_if_due(self, now):
        """Have the segment written if it has grown since the last write."""
        if self._is_writing or not self._has_unwritten:
            return
        if self._not_before is not None and now < self._not_before:
            return
        self._began_at = self._began_at or now
        self._not_before = now + self._interval()
        self._has_unwritten, self._is_writing = False, True
        self._sent = len(self._origin_by_key)
        self._state.emit(WriteOrigins(self._number, self._segment()))

    def _interval(self):
        """Return the shortest time between two writes of this host."""
        data_centres = len(list(self._state.entries.keys_of("data_centre")))
        shared = datetime.timedelta(seconds=data_centres / _MOST_WRITES_PER_SECOND)
        return max(shared, _SHORTEST_INTERVAL)

    def _end_segment_if_due(self, now):
        """Begin another segment, with what has come since the last write."""
        is_old = now - self._began_at >= _SEGMENT_TIME
        if not is_old and self._sent < _MOST_IN_SEGMENT:
            return
        self._number += 1
        self._began_at = None
        for key in list(self._origin_by_key)[: self._sent]:
            del self._origin_by_key[key]

    def _segment(self):
        keys_by_origin = {}
        for key, origin in self._origin_by_key.items():
            keys_by_origin.setdefault(origin, []).append(key)
        return OriginSegment(
            {origin: b"".join(keys) for origin, keys in keys_by_origin.items()}
        )
