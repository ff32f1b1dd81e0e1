"""Gossip messages between daemons: members, declarations, targets and KV stores.

Times in these records are by the clock of the host that has the record. On the wire a
time is an age, which the receiver subtracts from a time by its own clock.
"""

import dataclasses
import datetime

from sesamespindle.decide import (
    announcements,
    events,
    freshness,
    incarnations,
    revisions,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One daemon's record of another, or of itself.

    Attributes
    ----------
    heartbeat : int
        Rises with every gossip round that the member itself starts.
    revision : int
        The revision of the member's active configuration.
    unreached : tuple of str
        The services of which the member reaches no target, as it says itself.
    capacity : int
        What the member can carry, in thousandths of a core; 0 if it doesn't say.
    """

    name: str
    data_centre: str
    url: str
    peer_address: str
    admin_url: str
    incarnation: int
    heartbeat: int
    state: events.HostState
    revision: int
    unreached: tuple[str, ...] = ()
    capacity: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDigest:
    """The age of a member's record, by which peers see whose copy is newer.

    Attributes
    ----------
    revision : int
        As in `Member`; 0 in a message that doesn't adopt heartbeats.
    """

    name: str
    incarnation: int
    heartbeat: int
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreDigest:
    """A hash of all member records of a data centre, and its pulse.

    Attributes
    ----------
    pulse : int
        Rises with every gossip round that any member of the data centre starts, and
        stops rising when the data centre is lost.
    """

    name: str
    digest: int
    pulse: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingTarget:
    """An incarnation of a target that must get no new work.

    Where the platform doesn't tell start times, the address tells incarnations apart:
    the message applies only to a target that is still at `url`.
    """

    incarnation: incarnations.TargetIncarnation
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRevision:
    """The revision of the latest change to a kind of object that the sender saw.

    Daemons of earlier releases read it; others use `GossipMessage.known`. They know
    of no eras, so it is the number of the revision alone.
    """

    kind: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """The weight version that a target was seen to run.

    Attributes
    ----------
    revision : revisions.Revision
        The platform's revision at the last change of the target's record that the
        sender knew.
    """

    incarnation: incarnations.TargetIncarnation
    model: str
    version: int
    revision: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWork:
    """The load that the sender's requests put on a target.

    Attributes
    ----------
    tokens : int
        Prompt tokens that wait for prefill.
    held_tokens : int
        Tokens of KV cache that the sender's requests need until they end.
    """

    incarnation: incarnations.TargetIncarnation
    tokens: int
    held_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimit:
    """The limit on requests that a target last told a host.

    Attributes
    ----------
    limit : float
        Requests per second from all hosts together; infinite if the limit has ended.
    told_at : datetime.datetime
        When the target told it.
    """

    incarnation: incarnations.TargetIncarnation
    limit: float
    told_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class BrittleService:
    """What targets of a service last reported to a host of how brittle they are.

    Attributes
    ----------
    rejections : float
        How many requests a target may turn away in a second before it falls over;
        infinite if they are no longer brittle.
    told_at : datetime.datetime
        When a target reported it.
    """

    service: str
    rejections: float
    told_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRelease:
    """A holder's promise that it never acts under a lease's epoch again.

    Attributes
    ----------
    last_act_at : datetime.datetime
        When the holder last acted.
    """

    epoch: int
    last_act_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWord:
    """The sender's position in the changes of a KV store, and the store's status.

    Attributes
    ----------
    boot : int
        Identifies the start of the store that `position` counts from.
    position : int
        The store's latest change that the sender knows.
    checked_at : datetime.datetime
        When the sender or another host last found out whether the store responds.
    is_silent : bool
        Whether the store did not respond then.
    clock_lead : float or None
        Milliseconds by which the engines' clock is ahead of this host's; None if
        unknown.
    answered_ms : float or None
        The engines' clock, in milliseconds, at the latest answer of that start of the
        store whose changes the sender knows; None if unknown.
    """

    store: str
    boot: int
    position: int
    checked_at: datetime.datetime
    is_silent: bool
    clock_lead: float | None = None
    answered_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNews:
    """The changes of a KV store that the receiver lacks.

    Attributes
    ----------
    boot : int
        Identifies the start of the store that the positions count from.
    since : int
        The position after which the changes follow; 0 if `whole_list` is set.
    position : int
        The position that the receiver reaches by these changes.
    whole_list : bool
        Whether `parts` is all that the store holds.
    parts : tuple of storerows.PartEvent
        What has changed, or all that the store holds.
    """

    store: str
    boot: int
    since: int
    position: int
    whole_list: bool
    parts: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCrash:
    """An incarnation of a target that ended with requests in flight.

    Attributes
    ----------
    at : datetime.datetime
        When it ended.
    suspects : tuple of str
        The fingerprints of the requests that were in flight there.
    is_refuted : bool
        Whether the incarnation turned out to be still running.
    """

    incarnation: incarnations.TargetIncarnation
    service: str
    at: datetime.datetime
    suspects: tuple[str, ...]
    is_refuted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedRequest:
    """A request that is known to have crashed no target until a given time.

    Attributes
    ----------
    at : datetime.datetime
        That time; crashes before it don't count against the request.
    """

    fingerprint: str
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is refused because it crashes targets.

    Attributes
    ----------
    decided_at : datetime.datetime
        When it was quarantined.
    crashes : int
        The number of targets that it had crashed then.
    tries : int
        How often it was let through since then, to see whether the fault is fixed.
    revision : revisions.Revision
        The revision of its record on the platform; `revisions.NEVER` while none is
        known there.
    """

    fingerprint: str
    decided_at: datetime.datetime
    crashes: int
    tries: int = 0
    revision: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """What the sender knows of requests that crash targets."""

    crashes: tuple[TargetCrash, ...] = ()
    cleared: tuple[ClearedRequest, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareSeen:
    """That targets of a service had a software version.

    Attributes
    ----------
    seen_at : datetime.datetime
        When a host last had such a target in its table.
    """

    service: str
    software: str
    seen_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One message of a gossip round: the caller's request or the peer's reply.

    Attributes
    ----------
    wanted : tuple of str
        Names of the members whose records the sender asks the receiver for.
    revision : int
        The revision of the sender's active configuration.
    brief : bool
        Whether the message carries only pending work and `known`, between two rounds.
    known : tuple of freshness.KnownKind
        Up to which revision, and as of when, the sender knows each kind of platform
        object. Proofs count only in an answer, as a request may have been delayed.
    store_era : int
        The highest era of the platform's store that the sender knows of.
    adopts_heartbeats : bool
        Whether the sender adopts heartbeats from `digests` where nothing else differs,
        and so needs no records for them. Daemons of earlier releases don't.
    """

    sender: str
    data_centre: str
    digests: tuple[MemberDigest, ...] = ()
    data_centres: tuple[DataCentreDigest, ...] = ()
    members: tuple[Member, ...] = ()
    wanted: tuple[str, ...] = ()
    leaving_targets: tuple[LeavingTarget, ...] = ()
    revision: int = 0
    seen: tuple[SeenRevision, ...] = ()
    target_versions: tuple[TargetVersion, ...] = ()
    lease_release: LeaseRelease | None = None
    pending: tuple[PendingWork, ...] = ()
    brief: bool = False
    named: tuple[announcements.Naming, ...] = ()
    store_words: tuple[StoreWord, ...] = ()
    store_news: tuple[StoreNews, ...] = ()
    crash_news: CrashNews = CrashNews()
    target_limits: tuple[TargetLimit, ...] = ()
    known: tuple[freshness.KnownKind, ...] = ()
    store_era: int = 0
    brittle: tuple[BrittleService, ...] = ()
    software_seen: tuple[SoftwareSeen, ...] = ()
    adopts_heartbeats: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReceived:
    """A peer's gossip message arrived; a `commands.GossipReply` must follow."""

    exchange_id: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class GossipAnswered:
    """A peer replied to this daemon's gossip message."""

    peer_address: str
    message: GossipMessage
