"""What hosts tell each other of targets: pending work, weight versions, leaving."""

from sesamespindle.decide import commands, gossip, world

MAX_LEAVING_TARGETS = 256
MAX_TARGET_VERSIONS = 256
MAX_PENDING = 64


class TargetNews:
    """Collects what peers must know of targets, and adopts what they tell.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        # The rows of targets at which a peer has pending work, by the peer's name.
        self._loaded_rows_by_peer = {}

    def pending(self):
        """Return this daemon's pending work at targets, by falling prompt tokens."""
        pending = [
            gossip.PendingWork(
                row.incarnation,
                sum(work.tokens for work in row.sent_by_request.values()),
                sum(row.held_by_request.values()),
            )
            for row in self._state.targets
            if row.sent_by_request or row.held_by_request
        ]
        pending.sort(key=lambda item: -item.tokens)
        return tuple(pending[:MAX_PENDING])

    def versions(self):
        """Return the weight versions of targets that were learned in recent rounds.

        To send the versions of all targets in every message would be most of the work
        of an idle daemon. A peer that missed an update learns the version from the
        target's record on the platform, or from the target when it refuses a request.
        """
        versions = [
            gossip.TargetVersion(row.incarnation, model, version, row.revision)
            for row in self._state.targets
            if row.version_rounds
            for model, version in row.version_by_model.items()
        ]
        return tuple(versions[:MAX_TARGET_VERSIONS])

    def leaving(self):
        """Return the targets that must get no new work."""
        leaving = [
            gossip.LeavingTarget(row.incarnation, row.url)
            for row in self._state.targets
            if row.leaving
        ]
        return tuple(leaving[:MAX_LEAVING_TARGETS])

    def note_round(self):
        """Count a gossip round for the versions that are told in a few rounds."""
        for row in self._state.targets:
            if row.version_rounds:
                row.version_rounds -= 1

    def merge(self, message, now):
        """Adopt what a peer tells of targets."""
        for leaving in message.leaving_targets:
            self._merge_leaving(leaving)
        for running in message.target_versions:
            self._merge_version(running)
        self.merge_pending(message, now)

    def merge_pending(self, message, now):
        """Replace the sender's pending work at each target by that in its message."""
        sender = message.sender
        for row in self._loaded_rows_by_peer.pop(sender, ()):
            row.peer_work_by_entry.pop(sender, None)
        loaded = []
        for item in message.pending:
            row = self._state.target_in(item.incarnation)
            if row is not None:
                work = world.SentWork(now, item.tokens, item.held_tokens)
                row.peer_work_by_entry[sender] = work
                loaded.append(row)
        if loaded:
            self._loaded_rows_by_peer[sender] = loaded

    def _merge_leaving(self, leaving):
        row = self._state.target_in(leaving.incarnation)
        if row is not None and not row.leaving and row.url == leaving.url:
            row.leaving = True
            self._state.must_start_round = True
            self._state.emit(commands.Note("target_leaving", row.name, "heard"))

    def _merge_version(self, running):
        """Learn a target's version, unless its record has listed an older one since.

        Guards also against a version that one host was wrongly told, and that all
        would expect: nothing runs what was never announced.
        """
        row = self._state.target_in(running.incarnation)
        if row is None or running.revision < row.fell_at_revision:
            return
        if running.version <= self._state.announcements.newest(running.model):
            row.learn_version(running.model, running.version)
