"""Selects the engine of a prompt, and the KV cache that it fetches and saves.

A prompt consists of parts. All but the last are segments that other prompts may share
as a prefix; the last one is the prompt's own.
"""

import dataclasses

from sesamespindle.decide import kvstores, placement, world

# Number of engines that are compared for a prompt: the first ones by the rendezvous
# order of its context, as long as the one chosen has free memory. A comparison of more
# engines would find a shorter queue, but what is known of queues is a second old, and
# all hosts would choose the same engine.
_MAX_COMPARED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The engine that was chosen for a prompt, and what it has to do.

    Attributes
    ----------
    row : world.TargetRow
        The engine.
    effort : placement.Effort
        What it has to do before the first token.
    preferred : world.TargetRow or None
        The preferred engine of the prompt's context.
    """

    row: world.TargetRow
    effort: placement.Effort
    preferred: world.TargetRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The placement of a prompt.

    Attributes
    ----------
    row : world.TargetRow
        The engine.
    version : int
        The weight version that the engine is thought to run.
    salt : str
        Keeps KV cache of other weights and isolated accounts apart.
    transfers : kvstores.Transfers
        Where the engine fetches and saves the prompt's parts.
    prefill_tokens : int
        Tokens that the engine is expected to prefill.
    at_preferred_engine : bool
        Whether the engine is the preferred one of the prompt's context.
    """

    row: world.TargetRow
    version: int
    salt: str
    transfers: kvstores.Transfers
    prefill_tokens: int
    at_preferred_engine: bool


class PromptPlacement:
    """Selects engines by the KV cache that engines and stores hold.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        The announced weight version of each model.
    stores : kvstores.KvStores
        The KV cache that may be fetched from stores.
    salts : cachesalts.CacheSalts
        Tells who shares KV cache.
    """

    def __init__(self, state, weights, stores, salts):
        self._state = state
        self._weights = weights
        self._stores = stores
        self._salts = salts

    def engines_in_time(self, flight, engines, rows, now):
        """Return the engines where a prompt can begin before their weights' deadline.

        Only superseded weights have a deadline, see `weights.Replacement`.

        Guards against runs that begin on superseded weights after the time allowed
        for those: a prompt is sent in time and then waits too long at its engine. An
        engine is left out if its expected wait already goes beyond that time.
        """
        model = flight.request.model
        if not self._weights.any_behind(rows, model):
            return rows
        work = self._work(flight, engines, self._preferred_engine(flight), now)

        def begins_in_time(row):
            running = self._weights.running(row, model)
            newer = self._weights.replacement(running, model)
            if newer is None:
                return True
            if now >= newer.send_until:
                return False
            return placement.latest_begin(row, work, now) <= newer.begun_by

        return [row for row in rows if begins_in_time(row)]

    def choose(self, flight, engines, rows, now):
        """Return the `Choice` for a prompt, or None if `rows` is empty.

        Parameters
        ----------
        flight : flights.Flight
            The prompt.
        engines : routes.Engines
            What the engines of its service have in common.
        rows : list of world.TargetRow
            The engines that may be used.
        now : datetime.datetime
            The current time.
        """
        request = flight.request
        preferred = self._preferred_engine(flight)
        work = self._work(flight, engines, preferred, now)

        def version_cost(row):
            return self._weights.cost(row, request.model, now)

        rows = placement.ranked(rows, request.affinity or request.request_id)
        compared = self._compared(rows, request.model)
        row = placement.choose_engine(compared, work, now, version_cost, preferred)
        if row is None:
            return None
        if not placement.has_free_memory(row, work, now):
            row = placement.choose_engine(rows, work, now, version_cost, preferred)
        return Choice(row, work.effort_at(row), preferred)

    def settle(self, flight, engines, choice, now):
        """Return the `Place` of a prompt that is sent to the engine chosen for it.

        Parameters
        ----------
        flight : flights.Flight
            The prompt.
        engines : routes.Engines
            What the engines of its service have in common.
        choice : Choice
            From `choose`.
        now : datetime.datetime
            The current time.
        """
        request, row, preferred = flight.request, choice.row, choice.preferred
        version = self._weights.running(row, request.model)
        salt = self._salts.make(flight.account, version)
        transfers = self._stores.plan(
            engines, row, preferred, salt, request.prompt, now
        )
        row.note_cached(salt, request.prompt[:-1], engines.kv_capacity)
        tokens = choice.effort.prefill_tokens
        return Place(row, version, salt, transfers, tokens, row is preferred)

    def _compared(self, rows, model):
        """Return the engines to compare, out of all in a context's rendezvous order.

        If any of the first ones runs superseded weights, the first of the rest that
        run the new weights are compared as well.
        """
        compared = rows[:_MAX_COMPARED]
        if not self._weights.any_behind(compared, model):
            return compared
        current = [
            row
            for row in rows[_MAX_COMPARED:]
            if not self._weights.is_behind(row, model)
        ]
        return compared + current[:_MAX_COMPARED]

    def _work(self, flight, engines, preferred, now):
        """Return the `placement.Work` of a prompt."""
        import_times = self._stores.import_times(engines, now)
        tokens = flight.request.prompt_tokens
        return placement.Work(
            engines.most_held(flight.request.held_tokens),
            engines.kv_capacity,
            flight.route.latency_goal.total_seconds(),
            lambda row: self._effort_at(
                flight, tokens, engines, row, preferred, import_times
            ),
        )

    def _preferred_engine(self, flight):
        """Return the preferred engine of a prompt's context, or None."""
        affinity = flight.request.affinity
        if not affinity:
            return None
        rows = self._state.targets.where("pool", flight.service)
        staying = [row for row in rows if row.stays]
        return placement.preferred_engine(staying, affinity)

    def _effort_at(self, flight, tokens, engines, row, preferred, import_times):
        """Return the `placement.Effort` of a prompt at an engine.

        The engine holds a part if this daemon recently had it prefill that part. It
        can import a part that a store or the preferred engine holds. KV cache is
        reusable only as a prefix, so the engine prefills everything from the first
        part on that it neither holds nor can import.
        """
        request = flight.request
        version = self._weights.running(row, request.model)
        salt = self._salts.make(flight.account, version)
        seconds, uncached_tokens = 0.0, tokens
        for part in request.prompt[:-1]:
            key = salt, part.part_id
            if key not in row.cached_parts:
                import_seconds = import_times.seconds(salt, part, row.data_centre)
                if (
                    import_seconds is None
                    and preferred is not None
                    and key in preferred.cached_parts
                ):
                    import_seconds = kvstores.engine_transfer_seconds(
                        engines, preferred, row, part.tokens
                    )
                if import_seconds is None:
                    break
                seconds += import_seconds
            uncached_tokens -= part.tokens
        return placement.Effort(uncached_tokens, seconds)
