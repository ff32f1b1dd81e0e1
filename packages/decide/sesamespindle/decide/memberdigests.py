"""What peers compare of their tables of entry hosts, before they send records.

Peers of one data centre compare the heartbeat of each member, peers of different ones a
hash of each data centre.
"""

from sesamespindle.decide import events, gossip, memberrecords

_State = events.HostState


class MemberDigests:
    """Says how a peer's table of entry hosts differs from that of this daemon.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._view = None
        self._digest_by_data_centre = {}

    def of_members(self):
        """Return the `gossip.MemberDigest` of each member of this data centre."""
        here = self._state.me.data_centre
        return tuple(
            gossip.MemberDigest(row.name, row.incarnation, row.heartbeat, row.revision)
            for row in self._state.entries.where("data_centre", here)
        )

    def of_data_centres(self):
        """Return the digest of each data centre by its name, made once for each view.

        They cover what other data centres must know, which excludes heartbeats.
        """
        if self._view != self._state.view:
            self._view = self._state.view
            self._digest_by_data_centre = memberrecords.digest_by_data_centre(
                self._state.entries
            )
        return self._digest_by_data_centre

    def differ_in_heartbeats_alone(self, message):
        """Return whether heartbeats are all that a peer's members can differ in.

        Guards against full records of all members in every round, as all heartbeats
        rise between two rounds: a heartbeat beside a name says all that is new. A
        record contains more than the digests of a data centre cover, the revision of
        the member's configuration; daemons of earlier releases don't send that here.
        """
        here = self._state.me.data_centre
        if not message.adopts_heartbeats or message.data_centre != here:
            return False
        ours = self.of_data_centres().get(here)
        return any(
            item.name == here and item.digest == ours for item in message.data_centres
        )

    def newer_heartbeats(self, message):
        """Return the digests of members whose heartbeats are higher than the peer's."""
        theirs_by_name = {item.name: item.heartbeat for item in message.digests}
        return tuple(
            digest
            for digest in self.of_members()
            if digest.heartbeat > theirs_by_name.get(digest.name, digest.heartbeat)
        )

    def risen(self, message):
        """Return the rows that a peer knows a higher heartbeat of, and its digests.

        Returns
        -------
        risen : list of (world.EntryRow, gossip.MemberDigest)
            Without this daemon itself.
        """
        get = self._state.entries.get
        pairs = [(get(digest.name), digest) for digest in message.digests]
        return [
            (row, digest)
            for row, digest in pairs
            if row is not None
            and row.heartbeat < digest.heartbeat
            and row.incarnation == digest.incarnation
            and row.name != self._state.me.name
        ]

    def compare(self, message):
        """Return our newer records, and the names whose newer records we lack.

        Guards against a host that starts in a data centre of which no other host is
        known here: it learns of this host, and this host would never learn of it.
        """
        newer = {}
        wanted = []
        if message.sender not in self._state.entries:
            wanted.append(message.sender)
        seen_names = set()
        for digest in message.digests:
            seen_names.add(digest.name)
            row = self._state.entries.get(digest.name)
            theirs = (digest.incarnation, digest.heartbeat)
            ours = (row.incarnation, row.heartbeat) if row else (-1, -1)
            if ours > theirs:
                newer[digest.name] = memberrecords.to_member(row)
            elif ours < theirs and digest.name not in wanted:
                wanted.append(digest.name)
        theirs_by_name = {item.name: item.digest for item in message.data_centres}
        for name, ours in self.of_data_centres().items():
            if theirs_by_name.get(name) == ours:
                continue
            for row in self._state.entries.where("data_centre", name):
                if row.name not in seen_names:
                    newer[row.name] = memberrecords.to_member(row)
        return list(newer.values()), wanted
