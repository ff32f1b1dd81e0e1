"""Which engine gets a prompt, and what it fetches and saves."""

import dataclasses

from sesamespindle.decide import kvstores, placement, world

# Engines that a prompt's choice is made among: the first in its context's rank, as long
# as one of them has room. More would find a shorter queue, but news of queues is a
# second old, and all hosts would find the same one.
_CONSIDERED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a prompt goes.

    Attributes
    ----------
    version : int
        The weight version that the engine is thought to run.
    salt : str
        What its KV cache is kept under.
    read_tokens : int
        Tokens that the engine is expected to read.
    at_home : bool
        Whether prompts of its context usually go there.
    """

    row: world.TargetRow
    version: int
    salt: str
    transfers: kvstores.Transfers
    read_tokens: int
    at_home: bool


class PromptPlacing:
    """Places prompts by what engines and stores hold.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        Which version of each model is named.
    stores : kvstores.KvStores
        What may be fetched.
    """

    def __init__(self, state, weights, stores):
        self._state = state
        self._weights = weights
        self._stores = stores

    def timely(self, flight, engines, rows, now):
        """Return the engines at which a prompt can begin while their weights may.

        Guards against runs that begin on weights whose time is over: one is sent
        in time and then waits at the engine. Where the expected wait goes beyond
        the time, the engine counts as one whose time is over already.
        """
        model = flight.request.model
        if not any(self._weights.is_behind(row, model) for row in rows):
            return rows
        work = self._work(flight, engines, self._home(flight), now)

        def begins_in_time(row):
            running = self._weights.running(row, model)
            replaced = self._weights.replacement(running, model)
            if replaced is None:
                return True
            if now >= replaced.send_until:
                return False
            return placement.latest_begin(row, work, now) <= replaced.begun_by

        return [row for row in rows if begins_in_time(row)]

    def choose(self, flight, engines, rows, now):
        """Return the `Place` for a prompt at one of some engines, or None for none."""
        request = flight.request
        home = self._home(flight)
        work = self._work(flight, engines, home, now)

        def loss_of(row):
            return self._weights.loss(row, request.model, now)

        rows = placement.ranked(rows, request.affinity or request.request_id)
        considered = self._considered(rows, request.model)
        row = placement.choose_engine(considered, work, now, loss_of, home)
        if row is None:
            return None
        if not placement.has_room(row, work, now):
            row = placement.choose_engine(rows, work, now, loss_of, home)
        version = self._weights.running(row, request.model)
        salt = _salt(flight, version)
        effort = work.effort_at(row)
        transfers = self._stores.plan(engines, row, home, salt, request.prompt, now)
        row.note_read(salt, request.prompt[:-1], engines.kv_capacity)
        return Place(row, version, salt, transfers, effort.read_tokens, row is home)

    def _considered(self, rows, model):
        """Return the engines of a context's rank that are compared.

        While weights are replaced the first that have the new ones are among them.
        """
        considered = rows[:_CONSIDERED]
        if not any(self._weights.is_behind(row, model) for row in considered):
            return considered
        current = [
            row for row in rows[_CONSIDERED:] if not self._weights.is_behind(row, model)
        ]
        return considered + current[:_CONSIDERED]

    def _work(self, flight, engines, home, now):
        """Return what `placement` needs to know of a prompt."""
        sources = self._stores.sources(engines, now)
        return placement.Work(
            flight.request.held_tokens,
            engines.kv_capacity,
            flight.route.latency_goal.total_seconds(),
            lambda row: self._effort_at(flight, engines, row, home, sources),
        )

    def _home(self, flight):
        """Return the engine where prompts of a context usually go, or None."""
        affinity = flight.request.affinity
        if not affinity:
            return None
        rows = self._state.targets.where("pool", flight.service)
        staying = [row for row in rows if row.stays]
        return placement.home(staying, affinity)

    def _effort_at(self, flight, engines, row, home, sources):
        """Return what the prompt is expected to cost at an engine.

        A part is there if this daemon had the engine read it lately, and can
        be brought if a store or its home holds it; all after the first part
        that is neither has to be read.
        """
        request = flight.request
        salt = _salt(flight, self._weights.running(row, request.model))
        seconds, left = 0.0, request.prompt_tokens
        for part in request.prompt[:-1]:
            key = salt, part.part_id
            if key not in row.read_parts:
                brought = sources.seconds(salt, part, row.data_centre)
                if brought is None and home is not None and key in home.read_parts:
                    brought = kvstores.engine_seconds(engines, home, row, part.tokens)
                if brought is None:
                    break
                seconds += brought
            left -= part.tokens
        return placement.Effort(left, seconds)


def _salt(flight, version):
    """Return what KV cache is kept under: the weights, and an isolated account.

    The engine refuses a request whose expected version isn't its own, so a
    request can't read what other weights made, nor across accounts where one
    of them is isolated.
    """
    account = flight.account
    if account is not None and account.isolated:
        return f"{version}.{account.name}"
    return f"{version}"
