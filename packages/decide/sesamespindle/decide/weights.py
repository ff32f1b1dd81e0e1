"""Tracks the weight version that each model is to run, and which targets run it.

An operator announces a version of a model's weights on the platform; an announcement is
called a naming here. Targets load the version a few at a time. Within a time allowed
after the announcement, runs may still begin on the superseded weights.
"""

import dataclasses
import datetime

from sesamespindle.decide import announcements, commands

# Share of the time allowed after which no run is sent to superseded weights. The rest
# covers the way to the target, and the delay until this host learned of the version
# that the platform had accepted.
_SEND_SHARE = 0.8
# Share of the time allowed after which a run that still waits at a target is withdrawn.
# The rest, 0.8 s of 8 s, covers a tick of 0.1 s, the way to the target of the closed
# connection, and the delay until this host learned of the version.
_BEGIN_SHARE = 0.9
# For this long after an announcement a run on the superseded weights keeps its full
# value. Operators allow 1.5 s from when the platform accepted the announcement.
_FULL_VALUE_FOR = datetime.timedelta(seconds=1.3)
# Share of its value that such a run loses at once after that. The share rises linearly
# to 1 at the end of the time allowed.
_INITIAL_COST = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnnounced:
    """A weight version of a model has just been announced, for all targets."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionFound:
    """A weight version was read that had been announced before.

    Attributes
    ----------
    model : str
        The model.
    version : int
        The announced version.
    not_named_at : datetime.datetime or None
        The latest time at which the version is known not to have been announced;
        None if it may have been announced at any time.
    """

    model: str
    version: int
    not_named_at: datetime.datetime | None


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """The version that superseded another one first, and the deadlines from that.

    Attributes
    ----------
    version : int
        The newer version.
    at : datetime.datetime or None
        When it was announced; None if that may have been at any time.
    send_until : datetime.datetime
        From then on no run is sent to targets with the superseded version.
    begun_by : datetime.datetime
        Runs on the superseded version that haven't begun by then are withdrawn.
    """

    version: int
    at: datetime.datetime | None
    send_until: datetime.datetime
    begun_by: datetime.datetime

    def describe_age(self, now):
        """Return how long ago the newer version was announced, for the log."""
        if self.at is None:
            return "an unknown time"
        return f"{(now - self.at) / datetime.timedelta(milliseconds=1):.0f} ms"


class Weights:
    """Keeps the announced version of each model, which only rises.

    Guards against prompts on weights that were superseded too long ago, by a host that
    missed the announcement: if a version's age counted from when a host reads of it
    after a start or a pause, the host would send prompts to weights superseded 11 s
    before, where 8 s are allowed. So the age counts from when any host received the
    announcement, which hosts gossip. If none did, it counts from a time at which the
    version hadn't been announced yet.

    Parameters
    ----------
    state : world.World
        The shared tables.
    max_superseded_age : datetime.timedelta
        The time allowed: how long after an announcement runs may begin on older
        versions.
    contact_time : datetime.timedelta
        For this long after its start a host that doesn't know when a version was
        announced may still begin runs on older versions.
    """

    def __init__(self, state, max_superseded_age, contact_time):
        self._state = state
        self._weights_within = max_superseded_age
        self._contact_time = contact_time

    def handle(self, event, now):
        """Process an event of this module; return False for any other event."""
        match event:
            case VersionAnnounced(model, version):
                replaces = self._predecessor(model, version)
                self._learn(
                    announcements.Naming(model, version, replaces, now, True), now
                )
            case VersionFound(model, version, not_named_at):
                replaces = (
                    0 if not_named_at is None else self._predecessor(model, version)
                )
                self._learn(
                    announcements.Naming(model, version, replaces, not_named_at, False),
                    now,
                )
            case _:
                return False
        return True

    def merge(self, received, now):
        """Merge the `announcements.Naming` records that a peer has sent."""
        for naming in received:
            self._learn(naming, now)

    def tick(self, now):
        """Stop the gossip about versions that were announced too long ago to matter."""
        gossiped_for = self._weights_within + self._contact_time
        self._state.announcements.gossip_only_after(now - gossiped_for)

    def models(self):
        """Return the models of which a version has been announced."""
        return self._state.announcements.models()

    def named(self, model):
        """Return the version that all targets are to run; 1 until one is announced."""
        return self._state.announcements.newest(model)

    def running(self, row, model):
        """Return the version that a target is thought to run, known or guessed."""
        return row.guessed_version or row.version_by_model.get(model, 1)

    def is_behind(self, row, model):
        """Return whether a target is thought to run a superseded version."""
        return bool(model) and self.running(row, model) < self.named(model)

    def any_behind(self, rows, model):
        """Return whether any target is thought to run a superseded version."""
        if not model:
            return False
        named = self.named(model)
        return any(self.running(row, model) < named for row in rows)

    def cost(self, row, model, now):
        """Return the cost of a target's superseded weights, as a share of the value.

        Returns
        -------
        cost : float
            From 0 for a run of full value to 1 for a run without value.
        """
        newer = self.replacement(self.running(row, model), model)
        if newer is None:
            return 0.0
        if newer.at is None:
            return 1.0
        age = now - newer.at
        if age < _FULL_VALUE_FOR:
            return 0.0
        share = (age - _FULL_VALUE_FOR) / (self._weights_within - _FULL_VALUE_FOR)
        return min(1.0, _INITIAL_COST + (1.0 - _INITIAL_COST) * share)

    def may_begin(self, row, model, now):
        """Return whether a run may still be sent to a target with its weights."""
        newer = self.replacement(self.running(row, model), model)
        return newer is None or now < newer.send_until

    def replacement(self, version, model):
        """Return the `Replacement` of a version, or None while it is the newest.

        The time of the announcement counts as unknown also if this host lacks the
        record of a version announced in between: that one superseded the version at
        an earlier time. If no host knows a time, because all have restarted, the
        deadlines count from the start of this process and allow for `contact_time`.
        Targets load the new weights meanwhile; without that time all callers would be
        refused.
        """
        naming = self._state.announcements.first_above(model, version)
        if naming is None:
            return None
        at, allowed = naming.at, self._weights_within
        if not 0 < naming.replaces <= version:
            at = None
        since = at
        if at is None:
            since, allowed = self._state.pauses.started_at, self._contact_time
        return Replacement(
            naming.version,
            at,
            since + allowed * _SEND_SHARE,
            since + allowed * _BEGIN_SHARE,
        )

    def note_seen(self, row, model, version):
        """Record a weight version that an answer or a peer says a target runs.

        Guards against a target of which a version is expected that it never had, as
        one answer was spoiled: targets load only versions that were announced.

        Parameters
        ----------
        row : world.TargetRow
            The target.
        model : str
            The model.
        version : int
            The version.
        """
        if version <= self.named(model):
            row.learn_version(model, version)
            return
        if version != row.disbelieved_version:
            row.disbelieved_version = version
            detail = f"{version} of {model}, which is not known to be announced"
            self._state.emit(commands.Note("version_disbelieved", row.name, detail))

    def note_refused(self, row, model, refused):
        """Guess the version of a target that refused a request for its version.

        The answer doesn't say which version the target runs. It can only have loaded
        a newer one, so the guess is the next version. After the newest version the
        guesses start again from the version that the target was last known to run. If
        that is the one that it has refused, it is no longer believed.

        Parameters
        ----------
        row : world.TargetRow
            The target.
        model : str
            The model.
        refused : int
            The version that the request expected.
        """
        if refused < self.named(model):
            row.guessed_version = refused + 1
        else:
            row.guessed_version = None
            row.doubt_version(model, refused)

    def _predecessor(self, model, version):
        """Return the version that was active when a given one was announced.

        Guards against a version that seems to supersede itself, when a host learns of
        it twice, from a peer and by its own watch. All hosts would then consider the
        older weights too old at once and refuse requests that they could serve, as
        seen in 5 of 24 random simulations of 12 hosts and a slow store. Only lower
        versions are considered, so a version is never its own predecessor.
        """
        return self._state.announcements.newest_below(model, version)

    def _learn(self, naming, now):
        known = self._state.announcements.get(naming.model, naming.version)
        learned = self._state.announcements.learn(naming)
        if known is None or known.is_sure != learned.is_sure:
            detail = f"{learned.version}, {_describe_age(learned, now)}"
            self._state.emit(commands.Note("version_named", learned.model, detail))


def _describe_age(naming, now):
    """Return how long ago a version was announced, for the log."""
    if naming.at is None:
        return "named at a time that isn't known"
    seconds = (now - naming.at).total_seconds()
    return f"named {'' if naming.is_sure else 'at most '}{seconds:.1f} s ago"
