"""Finds the targets that a request may be sent to."""

from sesamespindle.decide import commands, placement, targetlist


class Candidates:
    """Leaves out the targets that must not get a request from this host now.

    Parameters
    ----------
    state : world.World
        The shared tables.
    cold_targets : coldtargets.ColdTargets
        Which targets are warming up and can serve only a few requests.
    target_limits : targetlimits.TargetLimits
        Which targets limit the requests from all hosts together.
    held_targets : heldtargets.HeldTargets
        Which targets told this host that they leave, or want a rest.
    prompt_placement : promptplacement.PromptPlacement
        On which engines a prompt can begin in time.
    quarantine : quarantine.Quarantine
        Which requests are suspected of crashing targets.
    service_reach : reach.Reach
        Which targets this host reaches.
    stream_versions : streamversions.StreamVersions
        At which software versions a stream may begin or go on.
    brittle_targets : brittle.BrittleTargets
        Which targets may get no more requests, as they would fall over.
    """

    def __init__(
        self,
        state,
        cold_targets,
        target_limits,
        held_targets,
        prompt_placement,
        quarantine,
        service_reach,
        stream_versions,
        brittle_targets,
    ):
        self._state = state
        self._cold_targets = cold_targets
        self._target_limits = target_limits
        self._held_targets = held_targets
        self._prompt_placement = prompt_placement
        self._quarantine = quarantine
        self._reach = service_reach
        self._stream_versions = stream_versions
        self._brittle = brittle_targets

    def find(self, flight, service, connection_limit, now):
        """Return the targets that can take one more connection from this host.

        Engines on which the prompt can't begin before the deadline of their
        superseded weights are removed first. Guards against a refusal although an
        engine with the new weights exists: if that one was ejected or already tried,
        the later filters would drop it in favour of engines that can't serve.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        service : routes.Service or None
            Its service, if the configuration has it.
        connection_limit : int or None
            The most requests in flight from this host to one target; None for no
            limit.
        now : datetime.datetime
            The current time.

        Returns
        -------
        rows : list of world.TargetRow
        """
        rows = self.staying(flight.service)
        rows = self._at_permitted_versions(rows, flight, now)
        rows = self._held_targets.permitted_targets(rows, now)
        rows = self._target_limits.permitted_targets(rows, now)
        if self._brittle.is_brittle(flight.service):
            # A target that has fallen over must not get what others may not get.
            rows = self._reach.reached_targets(rows)
            rows = self._brittle.permitted_targets(rows, flight.service, now)
        rows = self._cold_targets.permitted_targets(rows, flight.service, now)
        if flight.is_engine_prompt(service):
            rows = self._prompt_placement.engines_in_time(
                flight, service.engines, rows, now
            )
        rows = self._reach.reached_targets(rows)
        rows = placement.usable(rows, now) or rows
        untried = [row for row in rows if row.incarnation not in flight.tried]
        rows = untried or rows
        if connection_limit is not None:
            rows = [row for row in rows if row.running_here < connection_limit]
        return self._quarantine.permitted_targets(flight.keys, rows, now)

    def _at_permitted_versions(self, rows, flight, now):
        """Return the targets at which a stream may begin or go on, by their version.

        Guards against streams that all begin at the last target of a version, which is
        no longer listed, while listed ones of the next version could take them. They
        break off as it ends, and can't go on anywhere. A target that leaves without a
        word counts as one that says so, unless it may be listed again.
        """
        permitted = self._stream_versions.permitted_targets(rows, flight, now)
        if flight.software or any(row.missing_since is None for row in permitted):
            return permitted
        if targetlist.may_be_incomplete(self._state, now):
            return permitted
        listed = [row for row in rows if row.missing_since is None]
        return self._stream_versions.permitted_targets(listed, flight, now) or permitted

    def staying(self, service):
        """Return the targets of a service that are listed and don't leave."""
        return [row for row in self._state.targets.where("pool", service) if row.stays]

    def services_at(self, route, software):
        """Return the services of a route that have a target of a software version.

        Guards against a stream that is drawn to a service where it can't go on, though
        another one of its route has its version.
        """
        return [
            share.service
            for share in route.shares
            if any(row.software == software for row in self.staying(share.service))
        ]

    def code_without(self, flight, now):
        """Return the code of the refusal of a request that no target may get."""
        rows = self.staying(flight.service)
        if rows and not self._stream_versions.permitted_targets(rows, flight, now):
            is_gone = bool(flight.software)
            return commands.Code.VERSION_GONE if is_gone else commands.Code.NOT_READY
        if self._quarantine.possible_crash_count(flight.keys) > 1:
            return commands.Code.SUSPECTED
        if self._held_targets.rest_left(rows, now) is not None:
            return commands.Code.RESTING
        if rows and self._brittle.is_brittle(flight.service):
            return commands.Code.LIMITED
        if rows and all(self._target_limits.is_limited(row) for row in rows):
            return commands.Code.LIMITED
        return commands.Code.NO_TARGET

    def rest_left(self, service, now):
        """Return how long all targets of a service still rest; None if one doesn't."""
        return self._held_targets.rest_left(self.staying(service), now)

    def note_sent(self, row, request_id, now):
        """Note that a request was sent to a target, which limits the rate of sends."""
        self._brittle.note_sent(row, request_id, now)
        self._held_targets.note_sent(row, now)
        self._cold_targets.note_sent(row, now)
        self._target_limits.note_sent(row, now)
