"""Records when weight versions were announced, as far as a host can know.

An operator announces a version of a model's weights on the platform; all targets are
then to load it. An announcement is called a naming here.
"""

import dataclasses
import datetime

# Number of versions of a model that are kept. More than two are in use at once only if
# versions are announced faster than targets load them.
_MAX_VERSIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
    """The announcement of a version of a model's weights.

    Attributes
    ----------
    model : str
        The model.
    version : int
        The announced version.
    replaces : int
        The version that was announced before it; 0 if unknown.
    at : datetime.datetime or None
        With `is_sure` the time of the announcement, by the clock of the host that has
        this record. Otherwise the latest known time at which the version wasn't
        announced yet, or None if no such time is known. The version's age counts from
        here in both cases.
    is_sure : bool
        Whether a host received the announcement just when it was made.
    """

    model: str
    version: int
    replaces: int
    at: datetime.datetime | None
    is_sure: bool


class Announcements:
    """The announced weight versions of all models."""

    def __init__(self):
        self._naming_by_version_by_model = {}
        self._gossiped_after = None

    def learn(self, naming):
        """Merge a `Naming`, and return the merged record of its version."""
        by_version = self._naming_by_version_by_model.setdefault(naming.model, {})
        known = by_version.get(naming.version)
        merged = _merge(known, naming) if known is not None else naming
        by_version[naming.version] = merged
        for version in sorted(by_version)[:-_MAX_VERSIONS]:
            del by_version[version]
        return merged

    def gossip_only_after(self, time):
        """Limit `told` to versions that were announced after a time."""
        self._gossiped_after = time

    @property
    def told(self):
        """The records whose age is gossiped, each as soon as it is known here.

        Guards against peers that refuse the older weights too early: a peer learns by
        gossip that there is a change and reads the new version by way of this host.
        Until it also receives the age, it has to assume that the version may be of any
        age. So the age is sent from the same moment on as the change.
        """
        return tuple(
            naming
            for by_version in self._naming_by_version_by_model.values()
            for naming in by_version.values()
            if naming.at is not None and self._is_gossiped(naming.at)
        )

    def _is_gossiped(self, at):
        return self._gossiped_after is None or at > self._gossiped_after

    def models(self):
        """Return the models of which a version has been announced."""
        return list(self._naming_by_version_by_model)

    def newest(self, model):
        """Return the version that all targets are to run; 1 until one is announced."""
        return max(self._naming_by_version_by_model.get(model, ()), default=1)

    def newest_below(self, model, version):
        """Return the newest known version below a given one, or 1 if none is known."""
        known = self._naming_by_version_by_model.get(model, ())
        return max((item for item in known if item < version), default=1)

    def get(self, model, version):
        """Return the `Naming` of a version, or None."""
        return self._naming_by_version_by_model.get(model, {}).get(version)

    def first_above(self, model, version):
        """Return the `Naming` of the next known version above a given one, or None."""
        by_version = self._naming_by_version_by_model.get(model, {})
        above = min((item for item in by_version if item > version), default=None)
        return by_version.get(above)


def _merge(known, other):
    """Return the merged record of two records of the same version.

    Of the times at which two hosts received the announcement just when it was made, the
    earlier is closer to the actual time. Of two times at which it hadn't been made yet,
    the later is closer.
    """
    if known.is_sure != other.is_sure:
        return known if known.is_sure else other
    replaces = max(known.replaces, other.replaces)
    if known.is_sure:
        at = min(known.at, other.at)
    else:
        at = max((item.at for item in (known, other) if item.at), default=None)
    return dataclasses.replace(known, replaces=replaces, at=at)
