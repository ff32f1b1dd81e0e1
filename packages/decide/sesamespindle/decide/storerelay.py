"""Exchanges the contents of KV stores with peers, if not all hosts can ask the stores.

A host that asks a store for its changes is a follower of it. It does so by long polls.
A store keeps a limited number of them open at once (`followers` of `routes.KvStore`)
and refuses more.
"""

from sesamespindle.decide import gossip, hashing

# Hosts of each data centre that follow a store, so that one of them may be lost. The
# requests to a store then grow with the number of data centres, not of hosts.
FOLLOWERS = 2
# The most parts in one message, some 40 KB. Only the first store in a message may have
# more.
_MAX_PARTS = 1500


class StoreRelay:
    """Chooses the followers of the KV stores, and gossips what they learn.

    Guards against stores that every host asks. 195 hosts and 21 stores that keep 12
    requests open each make 2,000 requests a second even at the longest pause between
    requests; with 20 hosts, 5,000 refused or short requests a minute were charged as
    probes. If a store can keep a request of every host open, each host follows it.
    Otherwise two hosts of each data centre do, and in gossip rounds send their peers
    there what those lack.

    What a peer sends may be out of date, so it comes with the engines' clock at the
    store's own answer, which is told on unchanged: `storerows.StoreRow` uses it for no
    longer than that answer allows.

    Parameters
    ----------
    state : world.World
        The shared tables.
    stores : kvstores.KvStores
        What is known of each store.
    """

    def __init__(self, state, stores):
        self._state = state
        self._stores = stores
        self._view = None
        self._followed = frozenset()

    def followed(self):
        """Return the names of the stores that this host follows itself."""
        if not self._state.knows_entries:
            # When many hosts start at once, each knows only itself at first and would
            # follow all stores.
            return frozenset()
        view = self._state.view, tuple(row.name for row in self._stores.rows)
        if view != self._view:
            self._view = view
            self._choose_followers()
        return self._followed

    def followers(self, max_requests):
        """Return how many hosts follow a store.

        Parameters
        ----------
        max_requests : int
            Requests for changes that the store keeps open at once.
        """
        entries = self._state.reaching_entries()
        if len(entries) <= max_requests:
            return len(entries)
        count = 0
        for name in {row.data_centre for row in entries}:
            count += min(FOLLOWERS, sum(row.data_centre == name for row in entries))
        return count

    def states_for(self, their_words=()):
        """Return what this host knows of each store's state, for a peer.

        Parameters
        ----------
        their_words : tuple of gossip.StoreWord
            What the peer has sent. Stores of which it knows as much are left out.

        Returns
        -------
        words : tuple of gossip.StoreWord
            Empty if this host follows all stores itself.
        """
        if all(row.is_followed for row in self._stores.rows):
            return ()
        state_by_store = {peer_state.store: peer_state for peer_state in their_words}
        return tuple(
            word_of(row)
            for row in self._stores.rows
            if row.status_at is not None
            and not _is_up_to_date(state_by_store.get(row.name), row)
        )

    def updates_for(self, words):
        """Return the stores' parts that a peer lacks, as many as fit a message.

        Parameters
        ----------
        words : tuple of gossip.StoreWord
            What the peer knows.

        Returns
        -------
        updates : tuple of gossip.StoreNews
            One for each store.
        """
        state_by_store = {peer_state.store: peer_state for peer_state in words}
        updates, parts = [], 0
        for row in self._stores.rows:
            peer_state = state_by_store.get(row.name)
            if row.status_at is None or (
                peer_state is not None and _knows_all_parts(peer_state, row)
            ):
                continue
            update = _update_for(row, peer_state)
            parts += len(update.parts)
            if updates and parts > _MAX_PARTS:
                break
            updates.append(update)
        return tuple(updates)

    def merge(self, message, now):
        """Merge a peer's updates on stores, which it or another host follows.

        Parameters
        ----------
        message : gossip.GossipMessage
            The peer's message.
        now : datetime.datetime
            The current time.
        """
        state_by_store = {
            peer_state.store: peer_state for peer_state in message.store_words
        }
        for update in message.store_news:
            row = self._stores.rows.get(update.store)
            peer_state = state_by_store.get(update.store)
            if row is None or peer_state is None:
                continue
            # A peer that knows no clock yet can't tell when the parts were there.
            if peer_state.answered_ms is not None or not update.parts:
                self._apply_update(update, peer_state, row, message.sender, now)
        for peer_state in message.store_words:
            row = self._stores.rows.get(peer_state.store)
            if row is not None and peer_state.boot == row.boot:
                _merge_status(peer_state, row, now)

    def _apply_update(self, update, peer_state, row, sender, now):
        """Apply a peer's news of a store, unless this host knows something later.

        Guards against a restarted store whose earlier parts come back by a peer that
        hasn't noticed the restart: another start than the known one is accepted only
        as a whole list that was observed later.
        """
        if update.boot == row.boot:
            fits = update.whole_list or update.since <= row.position
            if fits and update.position > row.position:
                row.apply(update, peer_state.answered_ms, now)
        elif update.whole_list and _is_later_start(peer_state, row):
            self._stores.note_restart(row, update.boot, sender)
            row.apply(update, peer_state.answered_ms, now)
            row.note_status(
                peer_state.checked_at, peer_state.is_silent, peer_state.clock_lead
            )

    def _choose_followers(self):
        me = self._state.me
        entries = self._state.reaching_entries()
        local_names = [row.name for row in entries if row.data_centre == me.data_centre]
        for row in self._stores.rows:
            chosen = local_names
            if len(entries) > row.store.followers:
                chosen = hashing.rank(row.name, local_names)[:FOLLOWERS]
            row.is_followed = me.name in chosen
        self._followed = frozenset(
            row.name for row in self._stores.rows if row.is_followed
        )


def word_of(row):
    """Return the `gossip.StoreWord` of a `storerows.StoreRow`."""
    return gossip.StoreWord(
        row.name,
        row.boot,
        row.position,
        row.status_at,
        row.heard_at is None,
        row.clock_lead,
        row.answered_ms,
    )


def _is_up_to_date(peer_state, row):
    """Return whether what a peer knows of a store is as complete and recent as here.

    `peer_state` is the peer's `gossip.StoreWord`, or None if it has sent none.
    """
    return (
        peer_state is not None
        and _knows_all_parts(peer_state, row)
        and peer_state.checked_at >= row.status_at
        and (peer_state.answered_ms or 0.0) >= (row.answered_ms or 0.0)
    )


def _merge_status(peer_state, row, now):
    """Note what a peer knows of a store's status, the same start of it being known."""
    if _is_later(peer_state, row):
        row.note_status(
            peer_state.checked_at, peer_state.is_silent, peer_state.clock_lead
        )
    is_possible = row.may_have_answered_at(peer_state.answered_ms, now)
    if peer_state.position <= row.position and is_possible:
        row.renew_lease(peer_state.answered_ms, now)


def _is_later_start(peer_state, row):
    """Return whether a peer's start of a store, not the known one, is the later one.

    Guards against a start that comes back: a host whose requests are refused knows that
    the store answers, but not that it has restarted. So the store's own answers count,
    by the engines' clock, where both are known.
    """
    if peer_state.answered_ms is None or row.answered_ms is None:
        return _is_later(peer_state, row)
    return peer_state.answered_ms > row.answered_ms


def _is_later(peer_state, row):
    return row.status_at is None or peer_state.checked_at > row.status_at


def _knows_all_parts(peer_state, row):
    """Return whether a peer knows all the parts of a store that are known here.

    If the peer knows another start of the store, the start that was observed last
    counts as the current one.
    """
    if peer_state.boot == row.boot:
        return peer_state.position >= row.position
    if peer_state.answered_ms is None or row.answered_ms is None:
        return peer_state.checked_at >= row.status_at
    return peer_state.answered_ms >= row.answered_ms


def _update_for(row, peer_state):
    """Return the changes since the peer's position, or the whole list."""
    if peer_state is not None and peer_state.boot == row.boot:
        changes = row.changes_since(peer_state.position)
        if changes is not None:
            return gossip.StoreNews(
                row.name, row.boot, peer_state.position, row.position, False, changes
            )
    return gossip.StoreNews(row.name, row.boot, 0, row.position, True, row.whole_list())
