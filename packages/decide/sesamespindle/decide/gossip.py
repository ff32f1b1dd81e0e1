"""What daemons tell each other of themselves, the platform and targets."""

import dataclasses
import datetime

from sesamespindle.decide import events, lives, namings


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What one daemon says of another, or of itself.

    Attributes
    ----------
    heartbeat : int
        Rises with every round of gossip of the member itself.
    revision : int
        The revision of the declarations that the member has in force.
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


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDigest:
    """The age of a record, by which peers see whose is newer."""

    name: str
    incarnation: int
    heartbeat: int


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreDigest:
    """All records of a data centre in one number.

    Attributes
    ----------
    pulse : int
        Rises with every round of any of its members, and stands still when the
        data centre is lost.
    """

    name: str
    digest: int
    pulse: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingTarget:
    """A life of a target that must get no new work.

    Where lives aren't told a new address makes a target new again.
    """

    life: lives.Life
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRevision:
    """The revision of the latest change of a kind of object that was seen."""

    kind: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """The weight version that a target was seen to run.

    Attributes
    ----------
    revision : int
        The platform's revision at the last change of the target's record that the
        sender knew.
    """

    life: lives.Life
    model: str
    version: int
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWork:
    """What the sender's requests take of a target.

    Attributes
    ----------
    tokens : int
        Prompt tokens that wait to be read.
    held_tokens : int
        Tokens of memory that its requests need until they end.
    """

    life: lives.Life
    tokens: int
    held_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRelease:
    """A holder will never act under a lease's epoch again.

    Attributes
    ----------
    last_act_at : datetime.datetime
        When it last acted, by the clock of whoever has this record.
    """

    epoch: int
    last_act_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWord:
    """Up to where the sender knows a KV store.

    Attributes
    ----------
    boot : int
        The start of the store that `position` is of.
    told_at : datetime.datetime
        When it was last known whether the store answers.
    is_silent : bool
        Whether it didn't then.
    clock_lead : float or None
        Milliseconds by which the engines' clock is ahead.
    """

    store: str
    boot: int
    position: int
    told_at: datetime.datetime
    is_silent: bool
    clock_lead: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNews:
    """What the receiver lacks of a KV store.

    Attributes
    ----------
    since : int
        The position from which changes are told; 0 with a whole list.
    parts : tuple of kvstores.PartEvent
        What has changed, or all that it holds.
    """

    store: str
    boot: int
    since: int
    position: int
    whole_list: bool
    parts: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCrash:
    """A life of a target that ended with requests under way.

    Attributes
    ----------
    at : datetime.datetime
        By the clock of whoever has this record.
    suspects : tuple of str
        The fingerprints of requests that were under way there.
    is_refuted : bool
        Whether the life was seen to go on after all.
    """

    life: lives.Life
    service: str
    at: datetime.datetime
    suspects: tuple[str, ...]
    is_refuted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedRequest:
    """A request did no harm up to a time, by the clock of whoever has this record."""

    fingerprint: str
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is refused because targets crash under it.

    Attributes
    ----------
    decided_at : datetime.datetime
        By the clock of whoever has this record.
    crashes : int
        Targets that had crashed under it then.
    tries : int
        How often it was let through since then, to see whether its cause is mended.
    revision : int
        Of its record on the platform; 0 while it isn't known to be there.
    """

    fingerprint: str
    decided_at: datetime.datetime
    crashes: int
    tries: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """What the sender knows of requests that crash targets."""

    crashes: tuple[TargetCrash, ...] = ()
    cleared: tuple[ClearedRequest, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One half of a round of gossip.

    Attributes
    ----------
    brief : bool
        Whether it tells of pending work only, between two rounds.
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
    named: tuple[namings.Naming, ...] = ()
    store_words: tuple[StoreWord, ...] = ()
    store_news: tuple[StoreNews, ...] = ()
    crash_news: CrashNews = CrashNews()


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReceived:
    """A peer began a round; a `commands.GossipReply` follows."""

    exchange_id: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class GossipAnswered:
    """A peer answered our half of a round."""

    peer_address: str
    message: GossipMessage
