"""How recent and how complete a host's knowledge of the platform's objects is.

Silence proves nothing: a watch that says nothing looks the same whether nothing has
changed or its connection is dead. So a host keeps for each kind of object up to which
revision it knows all changes, and when that was last proved to be all that there is.
"""

import dataclasses
import datetime

from sesamespindle.decide import eras, revisions


@dataclasses.dataclass(frozen=True, slots=True)
class Kinds:
    """The kinds of object that a host follows, by the platform's names for them.

    Attributes
    ----------
    bound_by_kind : dict of str to datetime.timedelta
        How long after its acknowledgement a change of each kind must be in force.
    configuration, targets : str
        The kinds that requests depend on.
    software : str
        The kind of the records of software versions; empty if there are none.
    """

    bound_by_kind: dict[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    configuration: str = "configuration"
    targets: str = "targets"
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What a host knows of one kind of object.

    Attributes
    ----------
    revision : revisions.Revision
        The platform's revision up to which all changes are known.
    digest : int
        A hash of the names and revisions of all objects of the kind.
    changed_at_revision : revisions.Revision
        The revision at which a change of the content was last read.
    proved_at : datetime.datetime or None
        The latest time at which the platform is known to have had no later change;
        None if no such time is known.
    source : str
        What the knowledge was last read from, for the log.
    refused_at_revision : revisions.Revision
        The revision of a change that was read and refused as invalid, so that the
        content is older; `revisions.NEVER` if there is none.
    lapsed_at : datetime.datetime or None
        The time of the last proof of an earlier era, which proves nothing any more;
        None if there is a later proof, or if there was none.
    """

    revision: revisions.Revision
    digest: int
    changed_at_revision: revisions.Revision
    proved_at: datetime.datetime | None
    source: str
    refused_at_revision: revisions.Revision = revisions.NEVER
    lapsed_at: datetime.datetime | None = None

    def describe(self, now):
        """Return the revision, source and age as text, for the log."""
        age = "of unknown age"
        if self.proved_at is not None:
            age = f"{(now - self.proved_at).total_seconds():.2f} s old"
        refused = ""
        if self.refused_at_revision != revisions.NEVER:
            refused = f", an invalid one of {self.refused_at_revision} was refused"
        return (
            f"from {self.source}, complete up to revision {self.revision}{refused}, "
            f"{age}"
        )

    def is_proved(self, revision, at):
        """Return whether a proof for a revision, as of a time, tells nothing new."""
        if self.proved_at is None or self.revision < revision:
            return False
        return at is None or at <= self.proved_at

    def for_peers(self, kind, version):
        """Return what this host may call itself complete for, as a `KnownKind`.

        `version` is that of the content that is in force.

        Guards against a refused change that seems to be in force everywhere: the host
        has the content of before the change, so it tells of no later revision, and of
        no proof.
        """
        if self.refused_at_revision != revisions.NEVER:
            complete = self.refused_at_revision.before()
            return KnownKind(kind, complete, self.digest, None, version)
        return KnownKind(kind, self.revision, self.digest, self.proved_at, version)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownKind:
    """What a host tells its peers of its `Knowledge` of a kind.

    Attributes
    ----------
    version : int
        The version of the content that is in force, the highest that was ever read; 0
        if none is, or for a kind whose content has none.
    """

    kind: str
    revision: revisions.Revision
    digest: int
    proved_at: datetime.datetime | None
    version: int = 0


class Freshness:
    """Records up to which revision, and as of when, each kind of object is known.

    Parameters
    ----------
    store_eras : eras.Eras, optional
        The era that the platform's store is in; it never changes if left out.

    Attributes
    ----------
    knowledge_by_kind : dict of str to Knowledge
        A kind that was never read has no entry.
    """

    def __init__(self, store_eras=None):
        self._eras = store_eras or eras.Eras()
        self.knowledge_by_kind: dict[str, Knowledge] = {}
        self._refused_revision_by_kind = {}
        self._version_by_kind = {}
        self._version_in_force_by_kind = {}
        # The highest version that a peer has told.
        self._told_version_by_kind = {}
        # What peers are told; None once it has changed.
        self._for_peers = None

    def revision(self, kind):
        """Return the revision up to which a kind is known.

        It is `revisions.NEVER` if the kind was never read.
        """
        known = self.knowledge_by_kind.get(kind)
        return known.revision if known is not None else revisions.NEVER

    def note_read(self, kind, revision, digest, proved_at, source):
        """Record that a kind was read, from the platform or from a peer.

        Parameters
        ----------
        kind : str
            The kind of object.
        revision : revisions.Revision
            The revision up to which its changes are now known.
        digest : int
            The digest of the content that is now known.
        proved_at : datetime.datetime or None
            A time at which the platform had no later change; None if unknown.
        source : str
            What it was read from.

        Returns
        -------
        has_changed : bool
            Whether the content differs from what was known before.
        """
        known = self.knowledge_by_kind.get(kind)
        has_changed = known is None or known.digest != digest
        changed_at = revision if has_changed else known.changed_at_revision
        if known is not None:
            revision = max(revision, known.revision)
            proved_at = _latest(proved_at, known.proved_at)
        refused_at = self._refused_revision_by_kind.get(kind, revisions.NEVER)
        if has_changed and refused_at < changed_at:
            self._refused_revision_by_kind.pop(kind, None)
            refused_at = revisions.NEVER
        lapsed_at = known.lapsed_at if known is not None and proved_at is None else None
        self._for_peers = None
        self.knowledge_by_kind[kind] = Knowledge(
            revision, digest, changed_at, proved_at, source, refused_at, lapsed_at
        )
        return has_changed

    def note_refused(self, kind, revision):
        """Record that a change of a kind was refused as invalid.

        `note_read` must follow, with the digest of the content that stays.

        Parameters
        ----------
        kind : str
            The kind of object.
        revision : revisions.Revision
            The revision of the change.
        """
        self._refused_revision_by_kind[kind] = revision

    def prove(self, kind, revision, at):
        """Record that nothing of a kind has changed up to a revision, as of a time."""
        known = self.knowledge_by_kind[kind]
        if known.is_proved(revision, at):
            return
        self._for_peers = None
        self.knowledge_by_kind[kind] = dataclasses.replace(
            known,
            revision=max(revision, known.revision),
            proved_at=_latest(at, known.proved_at),
            lapsed_at=None,
        )

    def void_proofs(self):
        """Note that the store has come back older: no proof counts, content stays.

        Guards against a store whose revisions have gone back, so that what it no longer
        has seems to be proved by its lower revisions.
        """
        self._for_peers = None
        for kind, known in self.knowledge_by_kind.items():
            self.knowledge_by_kind[kind] = dataclasses.replace(
                known,
                proved_at=None,
                lapsed_at=_latest(known.proved_at, known.lapsed_at),
            )

    def merge(self, theirs):
        """Take over a peer's proof if this host knows the same content.

        Guards against knowledge that seems fresh because a message was late: the time
        of a peer's proof may count back only from when this host asked for it.

        Parameters
        ----------
        theirs : KnownKind
            What a peer knows, from its answer to this host.
        """
        known = self.knowledge_by_kind.get(theirs.kind)
        if theirs.proved_at is None or theirs.revision.era < self._eras.current:
            return
        if theirs.version > self.version(theirs.kind):
            return
        if known is not None and known.digest == theirs.digest:
            self.prove(theirs.kind, theirs.revision, theirs.proved_at)

    def version(self, kind):
        """Return the highest version of a kind that was read; 0 if it has none."""
        return self._version_by_kind.get(kind, 0)

    def note_version(self, kind, version):
        """Record the version of a kind's content; a lower one changes nothing.

        Guards against content that comes back older with the platform's store. Hosts
        that have read the higher version keep it, and tell it to those that haven't.
        """
        self._version_by_kind[kind] = max(version, self.version(kind))

    def note_in_force(self, kind, version):
        """Record the version of a kind that this host works by, to tell it to peers."""
        self._for_peers = None
        self._version_in_force_by_kind[kind] = version

    def told_version(self, kind):
        """Return the highest version that a peer works by; 0 if none has told any."""
        return self._told_version_by_kind.get(kind, 0)

    def is_behind(self, theirs):
        """Return whether a peer knows changes that this host doesn't.

        Parameters
        ----------
        theirs : KnownKind
            What the peer knows.
        """
        kind = theirs.kind
        told = max(self.told_version(kind), theirs.version)
        self._told_version_by_kind[kind] = told
        known = self.knowledge_by_kind.get(kind)
        if known is None or theirs.version > self.version(kind):
            return True
        return known.digest != theirs.digest and known.revision < theirs.revision

    def for_peers(self):
        """Return a `KnownKind` for each kind that was read."""
        if self._for_peers is None:
            versions = self._version_in_force_by_kind
            self._for_peers = tuple(
                known.for_peers(kind, versions.get(kind, 0))
                for kind, known in self.knowledge_by_kind.items()
            )
        return self._for_peers

    def age(self, kind, now):
        """Return how long ago a kind was last proved complete; None if it never was."""
        known = self.knowledge_by_kind.get(kind)
        if known is None or known.proved_at is None:
            return None
        return now - known.proved_at

    def describe(self, kind, now):
        """Return what is known of a kind as text, for the log."""
        known = self.knowledge_by_kind.get(kind)
        return known.describe(now) if known is not None else "never read"


def _latest(*times):
    return max((time for time in times if time is not None), default=None)
