"""Keeps brittle targets from turning away so many requests that they fall over.

Targets of a service that are brittle name in all answers how many requests each may
turn away in a second. What one has room for isn't known, and may shrink at any time. So
few hosts send to each target. Each of them learns how many of its requests the target
takes in at once, tries one more now and then, and stays within its part of what may be
turned away with all requests whose fate is open.
"""

import collections
import dataclasses
import datetime
import math

from sesamespindle.decide import commands, gossip, hashing

# A target turns a request away at once. One that was not turned away for this long is
# taken in, however busy the two hosts are.
_TAKEN_IN_AFTER = datetime.timedelta(milliseconds=300)
# The same where the target is known to have room, on hosts that are not busy.
_USUAL_ANSWER = datetime.timedelta(milliseconds=50)
# The time in which a target counts what it turns away, with a margin for the way.
_WINDOW = datetime.timedelta(milliseconds=1200)
# The part of the rejections that requests beyond the known room may cost. The rest is
# for room that has shrunk, and for hosts that know another list of hosts.
_RISKED_SHARE = 0.6
# A host may learn up to a second late that others send to a target in its place, and
# what was turned away of its requests counts after that.
_HANDOVER = _WINDOW + datetime.timedelta(seconds=1)
# The most hosts that send to one target: more only make each part smaller.
_MAX_SENDERS = 8
# The known room grows by this over the room, for each rejection that the target bears
# and each request that it took in while all the room was used, but by the latter part
# at most; and it is this part of what was there as a request was turned away.
_GROWTH = 0.1
_MAX_GROWTH = 0.25
_SMALLER = 0.85
# A peer may return from an interruption of this length and still hear of the end.
_END_TOLD_FOR = datetime.timedelta(seconds=30)
# The most services in one gossip message.
_MAX_TOLD = 16


@dataclasses.dataclass(slots=True)
class _Service:
    """What is known of a service whose targets are or were brittle.

    Attributes
    ----------
    rejections : float
        How many requests a target may turn away in a second; infinite once they are
        no longer brittle.
    told_at : datetime.datetime
        When a target last said so to this or another host.
    """

    rejections: float
    told_at: datetime.datetime

    @property
    def is_brittle(self):
        """Whether its targets are brittle."""
        return math.isfinite(self.rejections)


@dataclasses.dataclass(slots=True)
class _Load:
    """What this host has at one incarnation of a brittle target.

    Attributes
    ----------
    sent_at_by_request : dict of str to datetime.datetime
        The requests that are there.
    rejected_at : collections.deque of datetime.datetime
        When requests were turned away, within `_WINDOW`.
    room : float
        How many of this host's requests the target takes in at once, as far as known.
    replaced_at_by_host : dict of str to datetime.datetime
        When hosts that sent there were replaced, as far as their requests may count.
    """

    sent_at_by_request: dict = dataclasses.field(default_factory=dict)
    rejected_at: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    room: float = 1.0
    replaced_at_by_host: dict = dataclasses.field(default_factory=dict)

    def open_requests(self, answered_within, now):
        """Return how many requests may be turned away yet, or were so lately."""
        sent = self.sent_at_by_request.values()
        return len(self.rejected_at) + sum(
            now - sent_at < answered_within for sent_at in sent
        )

    def note_replaced(self, names, now):
        """Record that hosts no longer send there, as others do; forget earlier ones."""
        kept = {name: self.replaced_at_by_host[name] for name in self.replaced(now)}
        self.replaced_at_by_host = kept | dict.fromkeys(names, now)

    def replaced(self, now):
        """Return the names of replaced hosts whose requests may count yet."""
        replaced_at = self.replaced_at_by_host
        return {name for name, at in replaced_at.items() if now - at < _HANDOVER}


class BrittleTargets:
    """Decides which brittle targets may get a request from this host now.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._known_by_service = {}
        self._load_by_incarnation = {}
        # A cache, valid as long as `state.view` is `_cached_view`.
        self._senders_by_key = {}
        self._cached_view = None
        # The hosts among which senders are chosen, as of `_noted_view`.
        self._noted_names = []
        self._noted_view = None

    def is_brittle(self, service):
        """Return whether the targets of a service are brittle, as far as is known."""
        known = self._known_by_service.get(service)
        return known is not None and known.is_brittle

    def count(self):
        """Return how many services have brittle targets, as far as is known."""
        return sum(known.is_brittle for known in self._known_by_service.values())

    def permitted_targets(self, rows, service, now):
        """Return the targets of a service, out of some, that may get a request now."""
        if not self.is_brittle(service):
            return rows
        return [row for row in rows if self._may_send(row, now)]

    def senders(self, rows, service):
        """Return the names of the hosts that send to targets of a brittle service.

        Returns
        -------
        names : set of str or None
            None if the service isn't brittle, so that all hosts send there.
        """
        if not self.is_brittle(service):
            return None
        names = set()
        for row in rows:
            names.update(self._senders(row))
        return names

    # What happens to requests.

    def note_sent(self, row, request_id, now):
        """Record that a request was sent to a target."""
        if self.is_brittle(row.pool):
            self._load(row.incarnation).sent_at_by_request[request_id] = now

    def note_rejected(self, incarnation, request_id, now):
        """Record that a target turned a request away."""
        load = self._load_by_incarnation.get(incarnation)
        if load is None or load.sent_at_by_request.pop(request_id, None) is None:
            return
        load.rejected_at.append(now)
        taken_in = min(load.room, len(load.sent_at_by_request))
        load.room = max(1.0, taken_in * _SMALLER)

    def note_ended(self, incarnation, request_id):
        """Record that a request is no longer at a target, which took it in."""
        load = self._load_by_incarnation.get(incarnation)
        if load is None or load.sent_at_by_request.pop(request_id, None) is None:
            return
        row = self._state.target_in(incarnation)
        if row is not None and len(load.sent_at_by_request) + 1 >= int(load.room):
            rejections = self._known_by_service[row.pool].rejections
            load.room += min(_GROWTH * rejections, _MAX_GROWTH) / load.room

    def note_answer(self, incarnation, signals, request_id, sent_at, now):
        """Adopt what an answer says of its target; for the parameters see TargetLimits.

        Guards against an answer that is overtaken by a later one, and would end what
        that one has said.
        """
        row = self._state.target_in(incarnation)
        rejections = signals.brittle
        if row is None or rejections is None:
            return
        known = self._known_by_service.get(row.pool)
        if math.isinf(rejections) and (
            known is None or not known.is_brittle or sent_at < known.told_at
        ):
            return
        source = f"in the answer of {row.name} to request {request_id}"
        self._adopt(gossip.BrittleService(row.pool, rejections, now), source)

    # Gossip.

    def merge(self, told):
        """Adopt what a peer says, where it is the later word."""
        for item in told:
            known = self._known_by_service.get(item.service)
            if known is None or item.told_at > known.told_at:
                self._adopt(item, "heard from a peer")

    def records_to_announce(self, now):
        """Return the `gossip.BrittleService` records that peers are told."""
        told = [
            gossip.BrittleService(service, known.rejections, known.told_at)
            for service, known in self._known_by_service.items()
            if known.is_brittle or now - known.told_at <= _END_TOLD_FOR
        ]
        return tuple(told[:_MAX_TOLD])

    def tick(self, now):
        """Forget what was sent to targets that are gone, and ends that all know."""
        for incarnation in list(self._load_by_incarnation):
            if self._state.target_in(incarnation) is None:
                del self._load_by_incarnation[incarnation]
        for service, known in list(self._known_by_service.items()):
            if not known.is_brittle and now - known.told_at > 2 * _END_TOLD_FOR:
                del self._known_by_service[service]
        self._note_replaced_hosts(now)

    def _adopt(self, told, source):
        known = self._known_by_service.get(told.service)
        before = known.rejections if known is not None else math.inf
        if known is None:
            known = _Service(told.rejections, told.told_at)
            self._known_by_service[told.service] = known
        known.rejections, known.told_at = told.rejections, told.told_at
        if told.rejections == before:
            return
        text = f"{told.rejections:g}/s" if known.is_brittle else "no longer"
        self._state.emit(
            commands.Note("service_brittle", told.service, f"{text}, {source}")
        )
        self._state.must_start_round = True
        if not known.is_brittle:
            self._forget_loads(told.service)

    def _forget_loads(self, service):
        """Forget what was sent to targets that are no longer brittle."""
        for row in self._state.targets.where("pool", service):
            self._load_by_incarnation.pop(row.incarnation, None)

    def _load(self, incarnation):
        return self._load_by_incarnation.setdefault(incarnation, _Load())

    def _senders(self, row):
        """Return the names of the hosts that send to a target, by rendezvous hashing.

        Each of them may have a request turned away, so there are no more of them than
        the part of the rejections that is shared.
        """
        if self._cached_view != self._state.view:
            self._cached_view = self._state.view
            self._senders_by_key.clear()
        key = row.incarnation, self._known_by_service[row.pool].rejections
        if key not in self._senders_by_key:
            self._senders_by_key[key] = self._senders_among(row, self._reaching_names())
        return self._senders_by_key[key]

    def _senders_among(self, row, names):
        """Return the hosts that send to a target, if these reach its service."""
        rejections = self._known_by_service[row.pool].rejections
        count = max(1, min(int(_RISKED_SHARE * rejections), row.slots, _MAX_SENDERS))
        return hashing.rank(f"brittle/{row.name}", names)[:count]

    def _reaching_names(self):
        return sorted(entry.name for entry in self._state.reaching_entries())

    def _note_replaced_hosts(self, now):
        """Record which hosts no longer send to brittle targets, as others do.

        Guards against hosts that replace others and have requests turned away in the
        same second as those: all of them share what a target bears for a while.
        """
        if self._noted_view == self._state.view:
            return
        self._noted_view = self._state.view
        before, self._noted_names = self._noted_names, self._reaching_names()
        if before == self._noted_names:
            return
        for row in self._state.targets:
            if self.is_brittle(row.pool):
                earlier = set(self._senders_among(row, before))
                replaced = earlier.difference(self._senders(row))
                self._load(row.incarnation).note_replaced(replaced, now)

    def _may_send(self, row, now):
        """Return whether this host may send a request to a brittle target now.

        The requests whose fate is open and those that were turned away lately stay
        within this host's part of what the target may turn away.
        """
        self._note_replaced_hosts(now)
        senders = self._senders(row)
        if self._state.me.name not in senders:
            return False
        load = self._load(row.incarnation)
        while load.rejected_at and now - load.rejected_at[0] > _WINDOW:
            load.rejected_at.popleft()
        rejections = self._known_by_service[row.pool].rejections
        sharing = len(load.replaced(now).union(senders))
        there = len(load.sent_at_by_request)
        if there + 1 <= load.room:
            part = max(1, int(rejections / sharing))
            return load.open_requests(_USUAL_ANSWER, now) < part
        part = max(1, int(_RISKED_SHARE * rejections / sharing))
        is_next = there < load.room + 1
        return is_next and load.open_requests(_TAKEN_IN_AFTER, now) < part
