"""Who is there: gossip in full inside a data centre, in digests between them."""

import collections
import dataclasses
import datetime

import xxhash

from sesamespindle.decide import (
    commands,
    departure,
    events,
    gossip,
    hashing,
    startupprobes,
    world,
)

ROUNDS_BEFORE_SUSPICION = 5
PEERS_INSIDE = 2
PEERS_OUTSIDE = 1
# Rounds with other data centres that all daemons of one begin at a time, if it has so
# many: news is in each other one after a round or two.
ROUNDS_OUTSIDE = 8
MAX_LEAVING_TARGETS = 256
MAX_TARGET_VERSIONS = 256
MAX_PENDING = 64
# Daemons of each data centre that watch the platform: one may be lost.
WATCHERS = 2
# News of a crash begins a round at once, but so long after the last one.
_CRASH_NEWS_GAP = datetime.timedelta(milliseconds=50)
_REVIVE_CHANCE = 0.1
_DEAD_KEPT_FOR = datetime.timedelta(minutes=10)
_State = events.HostState
_GONE = (_State.LEFT, _State.DEAD)
_RANK_BY_STATE = {
    _State.LIVE: 0,
    _State.SUSPECT: 0,
    _State.LEAVING: 1,
    _State.LEFT: 2,
    _State.DEAD: 3,
}


class Membership:
    """Keeps the table of entries true, and tells peers of it.

    Parameters
    ----------
    state : world.World
        The shared tables.
    seeds : tuple of str
        Peer addresses to begin with where the platform is away.
    contradicts : bool
        Whether this daemon takes a higher incarnation than an earlier life of its
        own is remembered under. Not where the incarnation stands in more than
        gossip: slices, claims and tickets are kept under the one of the start.
    gives_up_early : bool
        Whether a peer that was never heard here is asked in each round, and is dead
        once it has left a few unanswered. Not where a death frees what its host may
        still use: a new owner of an account's limit doesn't wait for the slices of
        a dead host, and a slice may be used for longer than these rounds take.
    store_relay : storerelay.StoreRelay, optional
        Passes on what KV stores hold, inside the data centre.
    quarantine : quarantine.Quarantine, optional
        Passes on which requests crash targets.
    """

    def __init__(
        self,
        state,
        seeds=(),
        contradicts=True,
        gives_up_early=True,
        store_relay=None,
        quarantine=None,
    ):
        self._state = state
        self._quarantine = quarantine
        # The incarnation of peers of this data centre that were told all crashes.
        self._incarnation_told = {}
        self._store_relay = store_relay
        self._seeds = seeds
        self._contradicts = contradicts
        self._gives_up_early = gives_up_early
        self._interval = state.policy.suspect_after / ROUNDS_BEFORE_SUSPICION
        self._probes = startupprobes.StartupProbes(self._interval)
        self._next_round = None
        self._spread_at = None
        self._digests = None
        self._digests_view = None
        self._urgent = False
        self._pulse_by_data_centre = {}
        self._pulse_heard_at = {}

    def tick(self, now):
        """Judge silence, and begin rounds of gossip when it is time."""
        self._probes.tick(now)
        self._judge_silence(now)
        is_urgent = self._urgent or self._state.tells_crashes
        if self._next_round is None or now >= self._next_round or is_urgent:
            self._next_round = now + self._interval
            self.spread(now)
        elif self._state.tells_pending:
            self._tell_pending()

    def tell_crashes(self, now):
        """Begin a round between two ticks if peers are to hear of a crash.

        Guards against copies of a request that arrive at other hosts in the tenths of
        a second that news takes by ticks, and crash a target each.
        """
        if not self._state.tells_crashes:
            return
        if self._spread_at is None or now - self._spread_at >= _CRASH_NEWS_GAP:
            self.spread(now)

    def spread(self, now):
        """Begin a round of gossip with a few peers."""
        self._spread_at = now
        self._urgent = self._state.tells_pending = self._state.tells_crashes = False
        me = self._state.entries.get(self._state.me.name)
        me.heartbeat += 1
        self._raise_pulse(me)
        me.heard_at = now
        me.revision = self._state.revision
        message_by_inside = {}
        for address, inside in self._choose_peers(now):
            if inside not in message_by_inside:
                message_by_inside[inside] = self._message(inside)
            self._state.emit(commands.GossipTo(address, message_by_inside[inside]))
        for row in self._state.targets:
            row.version_rounds = max(0, row.version_rounds - 1)
        if self._quarantine is not None:
            self._quarantine.note_round()

    def _tell_pending(self):
        """Tell peers of this data centre what was sent since the last round.

        Guards against long prompts of several hosts that meet at one engine while
        others idle: each knows at once only of its own.
        """
        self._state.tells_pending = False
        message = self._brief_message()
        for row in self._sample(self._peers_inside(), PEERS_INSIDE):
            self._state.emit(commands.GossipTo(row.peer_address, message))

    def _brief_message(self):
        me = self._state.me
        return gossip.GossipMessage(
            me.name, me.data_centre, pending=self._pending(), brief=True
        )

    def leave(self, order, now):
        """Begin to leave, and tell peers at once; a second order changes nothing."""
        if self._state.leaving:
            return
        self._state.departure = departure.begin(order.asked_at or now, order.ends_at)
        me = self._state.entries.get(self._state.me.name)
        me.state = _State.LEAVING
        self._state.note_view_change()
        self._state.emit(commands.Note("leaving", me.name))
        self.spread(now)

    def end(self):
        """Take and send nothing more, as this daemon ends."""
        if self._state.leaving:
            self._state.departure = dataclasses.replace(
                self._state.departure, is_over=True
            )

    def has_left(self, now):
        """Tell peers that nothing of this daemon runs any more."""
        self.end()
        me = self._state.entries.get(self._state.me.name)
        me.state = _State.LEFT
        self._state.note_view_change()
        self.spread(now)

    def receive(self, event, now):
        """Answer a peer's half of a round with what it lacks."""
        message = event.message
        self._note_heard(message)
        if message.brief:
            self._merge_pending(message, now)
            reply = self._brief_message()
            self._state.emit(commands.GossipReply(event.exchange_id, reply))
            return
        self._merge(message, now)
        sender = self._state.entries.get(message.sender)
        if sender is not None:
            self._fetch_revision(sender.peer_address, message.revision)
            self._read_again(sender.peer_address, message.seen)
        inside = message.data_centre == self._state.me.data_centre
        newer, wanted = self._compare(message)
        reply = self._message(
            inside, newer, wanted, message.store_words, self._is_newly_met(message)
        )
        self._state.emit(commands.GossipReply(event.exchange_id, reply))

    def answered(self, event, now):
        """Take a peer's answer in, and send it what it asked for."""
        self._note_heard(event.message)
        if event.message.brief:
            self._merge_pending(event.message, now)
            return
        self._state.knows_entries = True
        self._merge(event.message, now)
        self._fetch_revision(event.peer_address, event.message.revision)
        self._read_again(event.peer_address, event.message.seen)
        asked_for = [
            self._state.entries.get(name)
            for name in event.message.wanted
            if name in self._state.entries
        ]
        if asked_for:
            message = self._message(True, [_member(row) for row in asked_for])
            self._state.emit(commands.GossipTo(event.peer_address, message))

    def is_reachable(self, data_centre, now):
        """Return whether a data centre has been heard of lately."""
        heard_at = self._pulse_heard_at.get(data_centre)
        if data_centre == self._state.me.data_centre or heard_at is None:
            return True
        return now - heard_at < 2 * self._state.policy.suspect_after

    def is_watcher(self):
        """Return whether this daemon watches the platform for its data centre.

        A few do, and the others learn from them, so that the watches on the
        platform grow with the data centres and not with the fleet. All agree on
        who they are without talking; a watcher that falls silent is suspected,
        and the next in rank takes its place.
        """
        here = [
            row.name
            for row in self._state.live_entries()
            if row.data_centre == self._state.me.data_centre
        ]
        return self._state.me.name in hashing.rank("declarations", here)[:WATCHERS]

    def watchers(self):
        """Return how many daemons of all data centres watch the platform."""
        counts = collections.Counter(
            row.data_centre for row in self._state.live_entries()
        )
        return sum(min(WATCHERS, count) for count in counts.values())

    def spread_soon(self):
        """Have the next tick begin a round of gossip, as something has changed."""
        self._urgent = True

    def _note_heard(self, message):
        if message.data_centre == self._state.me.data_centre:
            self._probes.note_heard(message.sender)

    def _fetch_revision(self, peer_address, revision):
        if revision > self._state.revision:
            self._state.emit(
                commands.FetchDeclarations(peer_address, self._state.revision)
            )

    def _read_again(self, peer_address, seen):
        """Have kinds read again of which the peer saw a change unknown here.

        Guards against a watch that has gone silent, or a platform that turns
        this host away: the change shows only in what peers say.
        """
        for item in seen:
            if item.revision > self._state.covered_by_kind.get(item.kind, 0):
                self._state.emit(
                    commands.ReadAgain(item.kind, item.revision, peer_address)
                )

    def _judge_silence(self, now):
        """Suspect, then give up, members of this data centre that are silent.

        Other data centres judge their own members. Suspicion comes first, so
        that one late message takes nobody out of the table.
        """
        state = self._state
        limit = state.policy.suspect_after
        for name in state.entries.keys_of("data_centre"):
            # One that is never heard of counts from when it was first known.
            self._pulse_heard_at.setdefault(name, now)
        for row in list(state.entries.where("data_centre", state.me.data_centre)):
            if row.name == state.me.name:
                continue
            silence = now - (row.heard_at or now)
            if row.state in _GONE:
                if silence > _DEAD_KEPT_FOR:
                    state.entries.remove(row.name)
                    self._probes.forget(row.name)
                    self._incarnation_told.pop(row.name, None)
                    state.note_view_change()
            elif silence > 2 * limit or self._probes.has_failed(row, now):
                self._judge(row, _State.DEAD)
            elif silence > limit and row.state is _State.LIVE:
                self._judge(row, _State.SUSPECT)

    def _judge(self, row, entry_state):
        row.state = entry_state
        self._state.note_view_change()
        self._state.emit(commands.Note(f"entry_{entry_state.value}", row.name))

    def _choose_peers(self, now):
        """Return (address, whether inside) of the peers of one round."""
        state = self._state
        here = state.me.data_centre
        inside = self._peers_inside()
        dead = [row for row in self._others_inside() if row.state is _State.DEAD]
        chosen = self._sample(inside, PEERS_INSIDE) + self._choose_outside()
        if dead and state.random.random() < _REVIVE_CHANCE:
            chosen += self._sample(dead, 1)
        if self._gives_up_early:
            probed = self._probes.begin_round(inside + dead, now)
            chosen += [row for row in probed if row not in chosen]
        peers = [(row.peer_address, row.data_centre == here) for row in chosen]
        if not peers:
            peers = [(address, True) for address in self._seeds]
        return peers

    def _others_inside(self):
        me = self._state.me
        return [
            row
            for row in self._state.entries.where("data_centre", me.data_centre)
            if row.name != me.name and row.peer_address
        ]

    def _peers_inside(self):
        return [row for row in self._others_inside() if row.state not in _GONE]

    def _choose_outside(self):
        """Return a peer of another data centre, each as likely as any other.

        Guards against a data centre that was restarted and is never found again:
        where all of its hosts have left, they are tried for their return.
        """
        here = self._state.me.data_centre
        others = [name for name in self._state.entries.keys_of("data_centre")]
        others.remove(here)
        if not others or not self._has_turn_outside():
            return []
        name = self._state.random.choice(sorted(others))
        known = [
            row
            for row in self._state.entries.where("data_centre", name)
            if row.peer_address
        ]
        present = [row for row in known if row.state not in _GONE]
        return self._sample(present or known, PEERS_OUTSIDE)

    def _has_turn_outside(self):
        """Return whether this daemon begins a round with another data centre now."""
        inside = 1 + len(self._peers_inside())
        return self._state.random.random() * inside < ROUNDS_OUTSIDE

    def _sample(self, rows, count):
        return self._state.random.sample(rows, min(count, len(rows)))

    def _is_newly_met(self, message):
        """Return whether a peer of this data centre has begun no round before.

        Guards against a host that starts while others know of requests which crash
        targets: what isn't news is told to nobody any more.
        """
        incarnation_by_name = {item.name: item.incarnation for item in message.digests}
        incarnation = incarnation_by_name.get(message.sender)
        told = self._incarnation_told.get(message.sender)
        if incarnation is None or told == incarnation:
            return False
        self._incarnation_told[message.sender] = incarnation
        return True

    def _message(
        self, inside, members=(), wanted=(), their_words=None, is_newly_met=False
    ):
        """Return a message to a peer.

        Parameters
        ----------
        their_words : tuple of gossip.StoreWord, optional
            What the peer knows of KV stores, where it has asked.
        is_newly_met : bool
            Whether the peer hasn't been told of crashes that are no news.
        """
        state = self._state
        crash_news = gossip.CrashNews()
        if self._quarantine is not None:
            crash_news = self._quarantine.told(is_newly_met)
        digests = store_words = store_news = ()
        if inside and self._store_relay is not None:
            store_words = self._store_relay.words(their_words or ())
            if store_words and their_words is not None:
                store_news = self._store_relay.news_for(their_words)
        if inside:
            digests = tuple(
                gossip.MemberDigest(row.name, row.incarnation, row.heartbeat)
                for row in state.entries.where("data_centre", state.me.data_centre)
            )
        return gossip.GossipMessage(
            state.me.name,
            state.me.data_centre,
            digests,
            self._data_centre_digests(),
            tuple(members),
            tuple(wanted),
            self._leaving_targets(),
            state.revision,
            tuple(
                gossip.SeenRevision(kind, revision)
                for kind, revision in state.seen_by_kind.items()
            ),
            self._target_versions(),
            state.lease_release,
            self._pending(),
            named=state.namings.told,
            store_words=store_words,
            store_news=store_news,
            crash_news=crash_news,
        )

    def _pending(self):
        """Return what waits at targets from here, the most first."""
        pending = [
            gossip.PendingWork(
                row.life,
                sum(work.tokens for work in row.sent_by_request.values()),
                sum(row.held_by_request.values()),
            )
            for row in self._state.targets
            if row.sent_by_request or row.held_by_request
        ]
        pending.sort(key=lambda item: -item.tokens)
        return tuple(pending[:MAX_PENDING])

    def _target_versions(self):
        """Return the versions that were learned lately.

        Those of all targets in every message would be most of what an idle daemon
        does. Who missed the news reads the target's record, or is turned away by the
        target and learns it then.
        """
        versions = [
            gossip.TargetVersion(row.life, model, version, row.revision)
            for row in self._state.targets
            if row.version_rounds
            for model, version in row.version_by_model.items()
        ]
        return tuple(versions[:MAX_TARGET_VERSIONS])

    def _leaving_targets(self):
        leaving = [
            gossip.LeavingTarget(row.life, row.url)
            for row in self._state.targets
            if row.leaving
        ]
        return tuple(leaving[:MAX_LEAVING_TARGETS])

    def _data_centre_digests(self):
        """Return one digest for each data centre, worked out once for each view."""
        if self._digests_view != self._state.view:
            self._digests_view = self._state.view
            self._digests = _digest_by_data_centre(self._state.entries)
        pulses = self._pulse_by_data_centre
        return tuple(
            gossip.DataCentreDigest(name, digest, pulses.get(name, 0))
            for name, digest in self._digests.items()
        )

    def _compare(self, message):
        """Return our newer records, and the names whose records we lack."""
        newer = {}
        wanted = []
        seen_names = set()
        for digest in message.digests:
            seen_names.add(digest.name)
            row = self._state.entries.get(digest.name)
            theirs = (digest.incarnation, digest.heartbeat)
            ours = (row.incarnation, row.heartbeat) if row else (-1, -1)
            if ours > theirs:
                newer[digest.name] = _member(row)
            elif ours < theirs:
                wanted.append(digest.name)
        ours_by_name = {item.name: item for item in self._data_centre_digests()}
        theirs_by_name = {item.name: item for item in message.data_centres}
        for name, ours in ours_by_name.items():
            theirs = theirs_by_name.get(name)
            if theirs is not None and theirs.digest == ours.digest:
                continue
            for row in self._state.entries.where("data_centre", name):
                if row.name not in seen_names:
                    newer[row.name] = _member(row)
        return list(newer.values()), wanted

    def _merge(self, message, now):
        inside = message.data_centre == self._state.me.data_centre
        for member in message.members:
            self._merge_member(member, inside, now)
        for digest in message.data_centres:
            self._merge_pulse(digest, now)
        for leaving in message.leaving_targets:
            self._merge_leaving(leaving)
        for running in message.target_versions:
            self._merge_version(running)
        self._merge_release(message.lease_release)
        self._merge_pending(message, now)
        if self._store_relay is not None:
            self._store_relay.hear(message)
        if self._quarantine is not None:
            self._quarantine.hear(message.crash_news, now)

    def _merge_pending(self, message, now):
        """Take in what a peer has sent, in place of what it told before."""
        for row in self._state.targets:
            row.peer_work_by_entry.pop(message.sender, None)
        for item in message.pending:
            row = self._state.target_in(item.life)
            if row is not None:
                work = world.SentWork(now, item.tokens, item.held_tokens)
                row.peer_work_by_entry[message.sender] = work

    def _merge_release(self, release):
        """Take in a released lease; one of a higher epoch goes before."""
        known = self._state.lease_release
        if release is None or (known is not None and known.epoch >= release.epoch):
            return
        self._state.lease_release = release
        self._urgent = True

    def _merge_version(self, running):
        """Take in a version, unless a later record has overtaken it."""
        row = self._state.target_in(running.life)
        if row is not None and running.revision >= row.fell_at_revision:
            row.learn_version(running.model, running.version)

    def _raise_pulse(self, me):
        """Count a round of this daemon in the pulse of its data centre.

        Guards against hosts that are there and aren't named to callers: a pulse
        worked out from heartbeats falls when a host starts anew or is replaced,
        and counts as silence until it has caught up. This one only rises: every
        member raises the highest value that any daemon has told, other data
        centres' among them, which remember it when all of its own start anew.
        """
        known = self._pulse_by_data_centre.get(me.data_centre, 0)
        self._pulse_by_data_centre[me.data_centre] = known + 1

    def _merge_pulse(self, digest, now):
        if digest.pulse > self._pulse_by_data_centre.get(digest.name, -1):
            self._pulse_by_data_centre[digest.name] = digest.pulse
            self._pulse_heard_at[digest.name] = now

    def _merge_leaving(self, leaving):
        row = self._state.target_in(leaving.life)
        if row is not None and not row.leaving and row.url == leaving.url:
            row.leaving = True
            self._urgent = True
            self._state.emit(commands.Note("target_leaving", row.name, "heard"))

    def _merge_member(self, member, inside, now):
        """Take a record that is newer than ours, by incarnation and heartbeat.

        At the same heartbeat the worse state goes before the better, so that
        all daemons come to the same table in whatever order records arrive.

        Parameters
        ----------
        inside : bool
            Whether a peer of this data centre tells it.
        """
        state = self._state
        if member.name == state.me.name:
            self._merge_own(member, now)
            return
        state.note_incarnation(member.name, member.incarnation, now)
        row = state.entries.get(member.name)
        if row is None and member.state in _GONE:
            return
        if row is not None and _precedence(member) <= _precedence(row):
            return
        if row is not None and inside and member.state not in _GONE:
            # Peers of this data centre hear heartbeats, so it speaks to others.
            self._probes.note_heard(member.name)
        elif row is not None and self._stays_given_up(row, member, now):
            member = dataclasses.replace(member, state=_State.DEAD)
        before = row.state if row is not None else None
        state.put_entry(
            world.EntryRow(
                member.name,
                member.data_centre,
                member.url,
                member.peer_address,
                member.admin_url,
                member.incarnation,
                member.state,
                member.heartbeat,
                now,
                member.revision,
            )
        )
        if before is not member.state:
            # News of who leaves or dies is passed on at the next tick, not at
            # the next round, so that it is everywhere within a second or two.
            self._urgent = True
            state.emit(commands.Note(f"entry_{member.state.value}", member.name))

    def _stays_given_up(self, row, member, now):
        """Return whether a record from elsewhere leaves a peer that is given up so.

        Guards against a lost host that callers are told of again: data centres
        know different heartbeats of it, all of before its loss, and one that
        knows a higher one than this daemon would have it back for a while.
        """
        if row.state is not _State.DEAD or row.incarnation != member.incarnation:
            return False
        return member.state not in _GONE and self._probes.has_failed(row, now)

    def _merge_own(self, member, now):
        """Take in what others know of an earlier life of this daemon.

        Guards against a host that serves and that nobody is told of: its clock
        was set back since its last start, so its number is below that of the
        life before, and what it says is taken for old news. It takes a higher one.
        A record of another address is of another host and stays as it is.
        """
        me = self._state.entries.get(member.name)
        if member.incarnation > me.incarnation:
            if self._contradicts and member.peer_address == me.peer_address:
                me.incarnation = member.incarnation + 1
                self._state.note_view_change()
                self._urgent = True
                self._state.emit(commands.Note("incarnation_raised", member.name))
            return
        older = 0 < member.incarnation < self._state.me.incarnation
        if older and member.state is not _State.LEFT:
            self._state.replaced_at = now


def _precedence(record):
    return (record.incarnation, record.heartbeat, _RANK_BY_STATE[record.state])


def _member(row):
    spoken = _State.LIVE if row.state is _State.SUSPECT else row.state
    return gossip.Member(
        row.name,
        row.data_centre,
        row.url,
        row.peer_address,
        row.admin_url,
        row.incarnation,
        row.heartbeat,
        spoken,
        row.revision,
    )


def _digest_by_data_centre(entries):
    names = sorted(entries.keys_of("data_centre"))
    return {name: _digest(entries.where("data_centre", name)) for name in names}


def _digest(rows):
    """Return one number for all that other data centres must know of hosts.

    Guards against a host that could serve but that nobody was told of: its
    address becomes known after its record has gone round without one.
    """
    parts = sorted(
        f"{row.name}/{row.incarnation}/{_RANK_BY_STATE[row.state]}/{row.url}"
        for row in rows
    )
    return xxhash.xxh3_64_intdigest("\n".join(parts).encode())
