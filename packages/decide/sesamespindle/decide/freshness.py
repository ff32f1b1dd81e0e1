"""How recent and how complete a host's knowledge of the platform's objects is."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Kinds:
    """The platform's names for the kinds of object that decisions depend on."""

    configuration: str = "configuration"
    targets: str = "targets"


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What this host knows of one kind of object.

    Attributes
    ----------
    revision : int
        The platform's revision up to which all changes are known.
    proved_at : datetime.datetime or None
        The latest time at which the platform is known to have had no later change;
        None if no such time is known.
    source : str
        What the knowledge was last read from, for the log.
    """

    revision: int
    proved_at: datetime.datetime | None
    source: str

    def describe(self, now):
        """Return the revision, source and age as text, for the log."""
        age = "of unknown age"
        if self.proved_at is not None:
            age = f"{(now - self.proved_at).total_seconds():.2f} s old"
        return f"from {self.source}, complete up to revision {self.revision}, {age}"


class Freshness:
    """Records up to which revision, and as of when, each kind of object is known.

    Attributes
    ----------
    knowledge_by_kind : dict of str to Knowledge
        A kind that was never read has no entry.
    """

    def __init__(self):
        self.knowledge_by_kind: dict[str, Knowledge] = {}

    def revision(self, kind):
        """Return the revision up to which a kind is known; 0 if it was never read."""
        known = self.knowledge_by_kind.get(kind)
        return known.revision if known is not None else 0

    def note_read(self, kind, revision, proved_at, source):
        """Record that a kind was read, from the platform or from a peer.

        Parameters
        ----------
        kind : str
            The kind of object.
        revision : int
            The revision up to which its changes are now known.
        proved_at : datetime.datetime or None
            A time at which the platform had no later change; None if unknown.
        source : str
            What it was read from.
        """
        known = self.knowledge_by_kind.get(kind)
        if known is not None:
            revision = max(revision, known.revision)
            times = [at for at in (proved_at, known.proved_at) if at is not None]
            proved_at = max(times, default=None)
        self.knowledge_by_kind[kind] = Knowledge(revision, proved_at, source)

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
