"""Membership of entry hosts, kept by gossip.

Daemons of one data centre exchange the full records of its members. Between data
centres they exchange one digest for each data centre, and the records only where the
digests differ.
"""

import dataclasses
import datetime

from sesamespindle.decide import (
    commands,
    departure,
    events,
    gossip,
    hashing,
    memberdigests,
    memberrecords,
    startupprobes,
    targetnews,
    world,
)

ROUNDS_BEFORE_SUSPICION = 5
PEERS_INSIDE = 2
PEERS_OUTSIDE = 1
# Expected number of daemons of one data centre that gossip with another data centre in
# each round interval, if it has that many: an update reaches every other data centre
# after one or two rounds.
ROUNDS_OUTSIDE = 8
# Daemons of each data centre that watch the platform. With two, one may be lost.
WATCHERS = 2
# An update about a crash starts a round at once, but no sooner than this after the
# previous round.
_CRASH_ROUND_GAP = datetime.timedelta(milliseconds=50)
# Probability that a round also contacts a peer of this data centre that is dead.
_CONTACT_DEAD_CHANCE = 0.1
_DEAD_KEPT_FOR = datetime.timedelta(minutes=10)
_State = events.HostState
_GONE = (_State.LEFT, _State.DEAD)


class Membership:
    """Keeps the table of entry hosts up to date and gossips it to peers.

    Parameters
    ----------
    state : world.World
        The shared tables.
    seeds : tuple of str
        Peer addresses to gossip with while there is no known peer, as after a start
        while the platform is unavailable.
    raises_incarnation : bool
        Whether this daemon raises its incarnation above the one that peers remember
        of an earlier process of its own. Must be false where the incarnation is used
        outside gossip: slices, claims and tickets are stored under the incarnation
        that the daemon started with.
    probes_at_start : bool
        Whether a peer that this daemon has never heard from is contacted in every
        round, and is considered dead once it has left a few rounds unanswered. Must
        be false where a death frees something that the host may still use: a new
        owner of an account's limit doesn't wait for the slices of a dead host, and a
        slice stays valid for longer than these rounds take.
    store_relay : storerelay.StoreRelay, optional
        Propagates the contents of KV stores inside the data centre.
    quarantine : quarantine.Quarantine, optional
        Propagates which requests crash targets.
    target_limits : targetlimits.TargetLimits, optional
        Propagates the limits that targets name.
    brittle_targets : brittle.BrittleTargets, optional
        Propagates which services have brittle targets.
    stream_versions : streamversions.StreamVersions, optional
        Propagates which software versions serve side by side.
    store_checks : storechecks.StoreChecks, optional
        Says which host to ask for a proof that the platform's objects are complete.
    """

    def __init__(
        self,
        state,
        seeds=(),
        raises_incarnation=True,
        probes_at_start=True,
        store_relay=None,
        quarantine=None,
        target_limits=None,
        brittle_targets=None,
        stream_versions=None,
        store_checks=None,
    ):
        self._state = state
        self._store_checks = store_checks
        self._quarantine = quarantine
        self._target_limits = target_limits
        self._brittle = brittle_targets
        self._stream_versions = stream_versions
        # The incarnation of each peer of this data centre that was last sent all known
        # crashes, by the peer's name.
        self._informed_incarnation_by_peer = {}
        self._store_relay = store_relay
        self._seeds = seeds
        self._raises_incarnation = raises_incarnation
        self._probes_at_start = probes_at_start
        self._interval = state.policy.suspect_after / ROUNDS_BEFORE_SUSPICION
        self._probes = startupprobes.StartupProbes(self._interval)
        self._next_round = None
        self._last_round_at = None
        self._digests = memberdigests.MemberDigests(state)
        self._target_news = targetnews.TargetNews(state)
        self._urgent = False
        # The pulse of a data centre: a count of the gossip rounds of its members that
        # only rises. See `_raise_pulse`.
        self._pulse_by_data_centre = {}
        self._pulse_heard_at = {}

    def tick(self, now):
        """Check which peers don't respond, and start a gossip round when one is due."""
        self._probes.tick(now)
        self._check_responses(now)
        state = self._state
        is_urgent = (
            self._urgent or state.must_announce_crashes or state.must_start_round
        )
        if self._next_round is None or now >= self._next_round or is_urgent:
            self._next_round = now + self._interval
            self.start_round(now)
        elif self._state.must_announce_pending:
            self._send_pending_work()
        self._ask_for_proof(now)

    def gossip_crashes(self, now):
        """Start a gossip round between two ticks if there is a crash to announce.

        Guards against a request that crashes one target on each host: copies of it
        reach other hosts within the tenths of a second that an update takes if it
        waits for ticks. Peers that learn of the crash at once can refuse the copies.
        """
        if not self._state.must_announce_crashes:
            return
        if self._last_round_at is None or now - self._last_round_at >= _CRASH_ROUND_GAP:
            self.start_round(now)

    def start_round(self, now):
        """Start a gossip round with a few peers."""
        self._last_round_at = now
        self._urgent = self._state.must_start_round = False
        self._state.must_announce_pending = self._state.must_announce_crashes = False
        me = self._state.entries.get(self._state.me.name)
        me.heartbeat += 1
        self._raise_pulse(me)
        me.heard_at = now
        me.revision = self._state.revision
        message_by_inside = {}
        for address, inside in self._choose_peers(now):
            if inside not in message_by_inside:
                message_by_inside[inside] = self._message(inside, now)
            self._state.emit(commands.GossipTo(address, message_by_inside[inside]))
        self._target_news.note_round()
        if self._quarantine is not None:
            self._quarantine.note_round()

    def _send_pending_work(self):
        """Send a few peers of this data centre this daemon's current pending work.

        Guards against long prompts of several hosts that queue at one engine while
        other engines idle: without this message a host knows of the prompts of
        others only after their next gossip round.
        """
        self._state.must_announce_pending = False
        message = self._brief_message()
        for row in self._sample(self._present_peers_inside(), PEERS_INSIDE):
            self._state.emit(commands.GossipTo(row.peer_address, message))

    def _ask_for_proof(self, now):
        """Ask the host that checks the store for others what it knows, if due."""
        if self._store_checks is None:
            return
        source = self._store_checks.proof_source(now)
        if source is not None:
            self._state.emit(commands.GossipTo(source, self._brief_message()))

    def _brief_message(self):
        me = self._state.me
        return gossip.GossipMessage(
            me.name,
            me.data_centre,
            pending=self._target_news.pending(),
            brief=True,
            known=self._state.freshness.for_peers(),
            store_era=self._state.eras.current,
        )

    def leave(self, order, now):
        """Start to leave and announce it to peers; a second order changes nothing."""
        if self._state.leaving:
            return
        self._state.departure = departure.schedule(order.asked_at or now, order.ends_at)
        me = self._state.entries.get(self._state.me.name)
        me.state = _State.LEAVING
        self._state.note_view_change()
        self._state.emit(commands.Note("leaving", me.name))
        self.start_round(now)

    def end(self):
        """Mark the departure as over: the daemon accepts and sends nothing more."""
        if self._state.leaving:
            self._state.departure = dataclasses.replace(
                self._state.departure, is_over=True
            )

    def announce_departure(self, now):
        """Announce to peers that this daemon has left and runs nothing any more."""
        self.end()
        me = self._state.entries.get(self._state.me.name)
        me.state = _State.LEFT
        self._state.note_view_change()
        self.start_round(now)

    def receive(self, event, now):
        """Answer a peer's gossip message with the records that the peer lacks."""
        message = event.message
        self._note_heard(message)
        sender = self._state.entries.get(message.sender)
        if sender is not None:
            self._request_rereads(sender.peer_address, message.known)
        if message.brief:
            self._target_news.merge_pending(message, now)
            reply = self._brief_message()
            self._state.emit(commands.GossipReply(event.exchange_id, reply))
            return
        self._merge(message, now)
        sender = self._state.entries.get(message.sender)
        if sender is not None:
            self._fetch_revision(sender.peer_address, message.revision)
        inside = message.data_centre == self._state.me.data_centre
        digests = newer = wanted = ()
        if self._digests.differ_in_heartbeats_alone(message):
            self._adopt_heartbeats(message, now)
            digests = self._digests.newer_heartbeats(message)
        else:
            newer, wanted = self._digests.compare(message)
        reply = self._message(
            inside,
            now,
            newer,
            wanted,
            message.store_words,
            self._is_newly_met(message),
            digests,
        )
        self._state.emit(commands.GossipReply(event.exchange_id, reply))

    def receive_reply(self, event, now):
        """Merge a peer's reply, and send the peer the records that it asked for."""
        self._note_heard(event.message)
        for known_kind in event.message.known:
            self._state.freshness.merge(known_kind)
        self._request_rereads(event.peer_address, event.message.known)
        if event.message.brief:
            self._target_news.merge_pending(event.message, now)
            return
        self._state.knows_entries = True
        self._merge(event.message, now)
        if self._digests.differ_in_heartbeats_alone(event.message):
            self._adopt_heartbeats(event.message, now)
        self._fetch_revision(event.peer_address, event.message.revision)
        asked_for = [
            self._state.entries.get(name)
            for name in event.message.wanted
            if name in self._state.entries
        ]
        if asked_for:
            members = [memberrecords.to_member(row) for row in asked_for]
            message = self._message(True, now, members)
            self._state.emit(commands.GossipTo(event.peer_address, message))

    def is_reachable(self, data_centre, now, span=None):
        """Return whether a data centre's pulse has risen lately, or within a time span.

        This data centre, and one that no pulse is known of, count as reachable.
        """
        heard_at = self._pulse_heard_at.get(data_centre)
        if data_centre == self._state.me.data_centre or heard_at is None:
            return True
        return now - heard_at < (span or 2 * self._state.policy.suspect_after)

    def is_watcher(self, count=WATCHERS):
        """Return whether this daemon watches the platform for its data centre.

        A few daemons of each data centre do, and the others learn of changes from
        them, so that the number of watches on the platform grows with the number of
        data centres and not of hosts. Rendezvous hashing over the live entries
        chooses them without coordination. A watcher that stops responding is
        suspected and so no longer live, and the next in rank takes its place.

        Parameters
        ----------
        count : int
            The number of daemons of each data centre that watch.
        """
        here = [
            row.name
            for row in self._state.live_entries()
            if row.data_centre == self._state.me.data_centre
        ]
        return self._state.me.name in hashing.rank("declarations", here)[:count]

    def request_round(self):
        """Have the next tick start a gossip round, because something has changed."""
        self._urgent = True

    def _note_heard(self, message):
        if message.data_centre == self._state.me.data_centre:
            self._probes.note_heard(message.sender)

    def _fetch_revision(self, peer_address, revision):
        if revision > self._state.revision:
            self._state.emit(
                commands.FetchDeclarations(peer_address, self._state.revision)
            )

    def _request_rereads(self, peer_address, known):
        """Request a new read of each kind of which the peer knows later changes.

        Guards against stale objects where this host's watch has stopped delivering
        changes or the platform refuses this host: only the revisions that peers send
        show that there was a change.
        """
        for item in known:
            if self._state.freshness.is_behind(item):
                again = commands.ReadAgain(
                    item.kind, item.revision, peer_address, item.version
                )
                self._state.emit(again)

    def _check_responses(self, now):
        """Mark members of this data centre that don't respond as suspect, then as dead.

        Other data centres judge their own members. A member is suspected first, so
        that one late message removes nobody from the table.
        """
        state = self._state
        limit = state.policy.suspect_after
        for name in state.entries.keys_of("data_centre"):
            # A data centre that has sent nothing yet counts as not responding from
            # when this daemon first knew of it.
            self._pulse_heard_at.setdefault(name, now)
        for row in list(state.entries.where("data_centre", state.me.data_centre)):
            if row.name == state.me.name:
                continue
            silence = now - (row.heard_at or now)
            if row.state in _GONE:
                if silence > _DEAD_KEPT_FOR:
                    state.entries.remove(row.name)
                    self._probes.forget(row.name)
                    self._informed_incarnation_by_peer.pop(row.name, None)
                    state.note_view_change()
            elif silence > 2 * limit or self._probes.has_failed(row, now):
                self._set_state(row, _State.DEAD)
            elif silence > limit and row.state is _State.LIVE:
                self._set_state(row, _State.SUSPECT)

    def _set_state(self, row, entry_state):
        row.state = entry_state
        self._state.note_view_change()
        self._state.emit(commands.Note(f"entry_{entry_state.value}", row.name))

    def _choose_peers(self, now):
        """Return (address, whether in this data centre) of the peers of one round."""
        state = self._state
        here = state.me.data_centre
        inside = self._present_peers_inside()
        dead = [row for row in self._known_peers_inside() if row.state is _State.DEAD]
        chosen = self._sample(inside, PEERS_INSIDE) + self._choose_outside()
        if dead and state.random.random() < _CONTACT_DEAD_CHANCE:
            chosen += self._sample(dead, 1)
        if self._probes_at_start:
            probed = self._probes.start_round(inside + dead, now)
            chosen += [row for row in probed if row not in chosen]
        peers = [(row.peer_address, row.data_centre == here) for row in chosen]
        if not peers:
            peers = [(address, True) for address in self._seeds]
        return peers

    def _known_peers_inside(self):
        me = self._state.me
        return [
            row
            for row in self._state.entries.where("data_centre", me.data_centre)
            if row.name != me.name and row.peer_address
        ]

    def _present_peers_inside(self):
        return [row for row in self._known_peers_inside() if row.state not in _GONE]

    def _choose_outside(self):
        """Return a list of at most one peer, of another data centre chosen at random.

        Guards against a data centre that stays unknown after a restart of all its
        hosts: a data centre whose hosts have all left or died is still contacted, at
        the addresses that they had.
        """
        here = self._state.me.data_centre
        others = [name for name in self._state.entries.keys_of("data_centre")]
        others.remove(here)
        if not others or not self._gossips_outside():
            return []
        name = self._state.random.choice(sorted(others))
        known = [
            row
            for row in self._state.entries.where("data_centre", name)
            if row.peer_address
        ]
        present = [row for row in known if row.state not in _GONE]
        return self._sample(present or known, PEERS_OUTSIDE)

    def _gossips_outside(self):
        """Return whether this daemon gossips with another data centre in this round."""
        inside = 1 + len(self._present_peers_inside())
        return self._state.random.random() * inside < ROUNDS_OUTSIDE

    def _sample(self, rows, count):
        return self._state.random.sample(rows, min(count, len(rows)))

    def _is_newly_met(self, message):
        """Return whether a peer's incarnation starts its first round with this daemon.

        Only peers of this data centre send digests, so it is false for all others.

        Guards against a host that starts after a crash, never learns of it and lets
        the request crash its targets too: crashes are sent only for a few rounds
        while they are new. A newly met peer is sent all known ones.
        """
        incarnation_by_name = {item.name: item.incarnation for item in message.digests}
        incarnation = incarnation_by_name.get(message.sender)
        informed = self._informed_incarnation_by_peer.get(message.sender)
        if incarnation is None or informed == incarnation:
            return False
        self._informed_incarnation_by_peer[message.sender] = incarnation
        return True

    def _message(
        self,
        inside,
        now,
        members=(),
        wanted=(),
        their_words=None,
        is_newly_met=False,
        digests=None,
    ):
        """Return a message to a peer.

        Parameters
        ----------
        inside : bool
            Whether the peer is in this data centre.
        now : datetime.datetime
            The current time.
        members : iterable of gossip.Member
            The records that the peer lacks.
        wanted : iterable of str
            Names of the members whose records this daemon asks the peer for.
        their_words : tuple of gossip.StoreWord, optional
            The positions of KV stores that the peer knows, in a reply to the peer.
        is_newly_met : bool
            Whether to include the crashes that are no longer sent in every message.
        digests : tuple of gossip.MemberDigest, optional
            The heartbeats that the peer lacks, in a reply to the peer.
        """
        state = self._state
        crash_news = gossip.CrashNews()
        if self._quarantine is not None:
            crash_news = self._quarantine.records_to_announce(is_newly_met)
        target_limits = ()
        if self._target_limits is not None:
            target_limits = self._target_limits.records_to_announce(now)
        brittle = ()
        if self._brittle is not None:
            brittle = self._brittle.records_to_announce(now)
        software_seen = ()
        if self._stream_versions is not None:
            software_seen = self._stream_versions.records_to_announce(now)
        store_words = store_news = ()
        if inside and self._store_relay is not None:
            store_words = self._store_relay.states_for(their_words or ())
            if store_words and their_words is not None:
                store_news = self._store_relay.updates_for(their_words)
        if digests is None:
            digests = self._digests.of_members() if inside else ()
        return gossip.GossipMessage(
            state.me.name,
            state.me.data_centre,
            digests,
            self._data_centre_digests(),
            tuple(members),
            tuple(wanted),
            self._target_news.leaving(),
            state.revision,
            tuple(
                gossip.SeenRevision(kind, known.changed_at_revision.number)
                for kind, known in state.freshness.knowledge_by_kind.items()
            ),
            self._target_news.versions(),
            state.lease_release,
            self._target_news.pending(),
            named=state.announcements.told,
            store_words=store_words,
            store_news=store_news,
            crash_news=crash_news,
            target_limits=target_limits,
            known=state.freshness.for_peers(),
            store_era=state.eras.current,
            brittle=brittle,
            software_seen=software_seen,
            adopts_heartbeats=True,
        )

    def _data_centre_digests(self):
        pulses = self._pulse_by_data_centre
        return tuple(
            gossip.DataCentreDigest(name, digest, pulses.get(name, 0))
            for name, digest in self._digests.of_data_centres().items()
        )

    def _merge(self, message, now):
        inside = message.data_centre == self._state.me.data_centre
        for member in message.members:
            self._merge_member(member, inside, now)
        for digest in message.data_centres:
            self._merge_pulse(digest, now)
        self._target_news.merge(message, now)
        self._merge_release(message.lease_release)
        if self._store_relay is not None:
            self._store_relay.merge(message, now)
        if self._quarantine is not None:
            self._quarantine.merge(message.crash_news, now)
        if self._target_limits is not None:
            self._target_limits.merge(message.target_limits, now)
        if self._brittle is not None:
            self._brittle.merge(message.brittle)
        if self._stream_versions is not None:
            self._stream_versions.merge(message.software_seen, now)

    def _merge_release(self, release):
        """Keep a peer's lease release if its epoch is higher than the known one's."""
        known = self._state.lease_release
        if release is None or (known is not None and known.epoch >= release.epoch):
            return
        self._state.lease_release = release
        self._urgent = True

    def _raise_pulse(self, me):
        """Increment the pulse of this data centre for a gossip round of this daemon.

        Guards against live hosts that aren't given to callers: a pulse computed from
        heartbeats falls when a host restarts or is replaced, and the data centre
        counts as unreachable until the pulse has caught up. This pulse only rises:
        every member increments the highest value that any daemon has sent. Daemons of
        other data centres send it too, and so remember it when all hosts of this data
        centre restart.
        """
        known = self._pulse_by_data_centre.get(me.data_centre, 0)
        self._pulse_by_data_centre[me.data_centre] = known + 1

    def _merge_pulse(self, digest, now):
        if digest.pulse > self._pulse_by_data_centre.get(digest.name, -1):
            self._pulse_by_data_centre[digest.name] = digest.pulse
            self._pulse_heard_at[digest.name] = now

    def _adopt_heartbeats(self, message, now):
        """Adopt the heartbeats of members that differ in nothing else."""
        for row, digest in self._digests.risen(message):
            if row.state is _State.SUSPECT:
                member = dataclasses.replace(
                    memberrecords.to_member(row),
                    heartbeat=digest.heartbeat,
                    revision=digest.revision,
                )
                self._merge_member(member, True, now)
                continue
            if row.state not in _GONE:
                self._probes.note_heard(row.name)
            row.heartbeat, row.revision = digest.heartbeat, digest.revision
            row.heard_at = now

    def _merge_member(self, member, inside, now):
        """Store a record that is newer than ours, by incarnation and heartbeat.

        At the same incarnation and heartbeat the worse state wins, so that all
        daemons arrive at the same table in whatever order records come.

        Parameters
        ----------
        inside : bool
            Whether a peer of this data centre sent the record.
        """
        state = self._state
        if member.name == state.me.name:
            self._merge_own(member, now)
            return
        state.note_incarnation(member.name, member.incarnation, now)
        row = state.entries.get(member.name)
        if row is None and member.state in _GONE:
            return
        if row is not None and memberrecords.precedence(
            member
        ) <= memberrecords.precedence(row):
            return
        if row is not None and inside and member.state not in _GONE:
            # Peers of this data centre exchange heartbeats, so the member does
            # gossip with one of them.
            self._probes.note_heard(member.name)
        elif row is not None and self._stays_dead(row, member, now):
            member = dataclasses.replace(member, state=_State.DEAD)
        before = row.state if row is not None else None
        unreached_before = row.unreached if row is not None else ()
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
                member.unreached,
                member.capacity,
            )
        )
        if member.unreached != unreached_before:
            self._urgent = True
            services = ", ".join(member.unreached) or "none"
            state.emit(commands.Note("entry_unreached", member.name, services))
        if before is not member.state:
            # A member that leaves or dies is announced at the next tick, not in the
            # next regular round, so that all daemons know within a second or two.
            self._urgent = True
            state.emit(commands.Note(f"entry_{member.state.value}", member.name))

    def _stays_dead(self, row, member, now):
        """Return whether a dead peer stays dead despite another data centre's record.

        Guards against a lost host that is given to callers again: data centres know
        different heartbeats of it, all from before its loss. A record with a higher
        heartbeat than is known here would make it live for a while. While the startup
        probes count the peer as failed, such a record is stored with the state dead.
        """
        if row.state is not _State.DEAD or row.incarnation != member.incarnation:
            return False
        return member.state not in _GONE and self._probes.has_failed(row, now)

    def _merge_own(self, member, now):
        """Merge what peers know of an earlier incarnation of this daemon.

        Guards against a live host that no caller is given: its clock was set back
        before this start, so its incarnation is lower than that of its previous
        process, and peers ignore its messages as outdated. It raises its incarnation
        above the remembered one. A record with another peer address belongs to
        another host, and doesn't raise it.

        A record of an earlier incarnation that hasn't left means that this daemon has
        replaced a process whose slices may still be in use, so the time is noted.
        """
        me = self._state.entries.get(member.name)
        if member.incarnation > me.incarnation:
            if self._raises_incarnation and member.peer_address == me.peer_address:
                me.incarnation = member.incarnation + 1
                self._state.note_view_change()
                self._urgent = True
                self._state.emit(commands.Note("incarnation_raised", member.name))
            return
        older = 0 < member.incarnation < self._state.me.incarnation
        if older and member.state is not _State.LEFT:
            self._state.replaced_at = now
