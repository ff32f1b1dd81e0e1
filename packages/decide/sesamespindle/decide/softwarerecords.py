"""Which software versions each service has had lately, as the platform's store has it.

What hosts alone remember is lost if all of them are lost at once. A record of each
service outlives them, so that hosts that start know which versions began the streams
that callers take up again. It is written only as the versions change, a few times a
day. It holds no times: a version stays in it until a host has not seen it for as long
as a stream may be taken up.

A version begins no stream before it is recorded, as long as a recorded one is there or
the store answers. So while a record names one version, that one began every stream.
"""

import dataclasses
import datetime

from sesamespindle.decide import hashing, revisions

# Each host waits this much longer than the host ranked before it until it writes a
# record. Several calls to the store fit into this time.
_WRITE_TURN = datetime.timedelta(seconds=1)
# After a write that failed, and after one whose answer is missing.
_RETRY_AFTER = datetime.timedelta(seconds=1)
# A service with more versions in one minute has targets that name a new one each time.
MAX_VERSIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareRecord:
    """The software versions that a service has had lately.

    Attributes
    ----------
    revision : revisions.Revision
        The revision of the record; `revisions.NEVER` while the store has none.
    """

    service: str
    versions: tuple[str, ...]
    revision: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareListed:
    """All records that the store has."""

    records: tuple[SoftwareRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareRead:
    """One record was read, or written by this host."""

    record: SoftwareRecord


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSoftware:
    """Write a record; `SoftwareRead` follows, or `SoftwareWriteFailed`."""

    record: SoftwareRecord


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareWriteFailed:
    """A write of a service's record failed, or its result is unknown."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records were read or written, and streams that wait for them may begin."""


class SoftwareRecords:
    """Keeps the records, and has them written as versions come and go.

    Parameters
    ----------
    state : world.World
        The shared tables.
    kind : str
        The platform's name for the kind of the records; empty if it stores none.
    """

    def __init__(self, state, kind):
        self._state = state
        self._kind = kind
        self._record_by_service = {}
        # Since when a record differs from what is seen here.
        self._differs_since = {}
        self._not_before_by_service = {}

    def handle(self, event, now):
        """Handle one of this module's events.

        Returns
        -------
        records : tuple of SoftwareRecord or None
            The records of the event; None if it isn't one of this module's.
        """
        match event:
            case SoftwareListed():
                self._record_by_service = {
                    record.service: record for record in event.records
                }
                self._state.emit(RecordsRead())
                return event.records
            case SoftwareRead():
                return self._read(event.record)
            case SoftwareWriteFailed():
                self._not_before_by_service[event.service] = now + _RETRY_AFTER
                return ()
        return None

    def _read(self, record):
        known = self._record_by_service.get(record.service)
        # A record that was removed has no versions, and its revision is unknown.
        if known is None or not record.versions or record.revision >= known.revision:
            self._record_by_service[record.service] = record
        self._not_before_by_service.pop(record.service, None)
        self._state.emit(RecordsRead())
        return (record,)

    def is_known(self):
        """Return whether the records were read, from the store or from a peer."""
        return not self._kind or self._kind in self._state.freshness.knowledge_by_kind

    def has(self, service, software):
        """Return whether a version is recorded, or the platform records none."""
        if not self._kind:
            return True
        record = self._record_by_service.get(service)
        return record is not None and software in record.versions

    def sole(self, service):
        """Return the only version of a service that is recorded.

        Returns
        -------
        software : str or None
            None if no version is recorded, or several are.
        """
        record = self._record_by_service.get(service)
        if record is None or len(record.versions) != 1:
            return None
        return record.versions[0]

    def tick(self, versions_by_service, now):
        """Have the records written that differ from what is to be recorded.

        Parameters
        ----------
        versions_by_service : dict of str to collection of str
            The versions of each service that are to be recorded.
        """
        if not self._kind or not self.is_known():
            return
        # Another writer's record of a target may name a service that doesn't exist.
        for service in self._state.service_names & versions_by_service.keys():
            versions = versions_by_service[service]
            self._write_if_due(service, tuple(sorted(versions)[:MAX_VERSIONS]), now)

    def _write_if_due(self, service, versions, now):
        known = self._record_by_service.get(service)
        if known is not None and known.versions == versions:
            self._differs_since.pop(service, None)
            return
        since = self._differs_since.setdefault(service, now)
        not_before = self._not_before_by_service.get(service)
        if not_before is not None and now < not_before:
            return
        if now - since < _WRITE_TURN * self._rank(service):
            return
        self._not_before_by_service[service] = now + _RETRY_AFTER
        revision = known.revision if known is not None else revisions.NEVER
        self._state.emit(WriteSoftware(SoftwareRecord(service, versions, revision)))

    def _rank(self, service):
        """Return this host's place in the order of those that write a record."""
        names = {row.name for row in self._state.live_entries()}
        names.add(self._state.me.name)
        return hashing.rank(f"software {service}", names).index(self._state.me.name)
