"""Hearing from peers what KV stores hold, where not every host can ask them."""

from sesamespindle.decide import gossip, hashing

# Hosts of each data centre that follow a store, so that one may be lost. Questions
# to a store then grow with the data centres and not with the hosts.
FOLLOWERS = 2
# Parts that are told in one message, besides those of its first store: some 40 KB.
_MAX_PARTS = 1500


class StoreRelay:
    """Chooses who follows the KV stores, and passes on what followers heard.

    Guards against stores that are asked by every host: 195 hosts before 21 stores
    with 12 places each ask 2,000 times a second at the longest pause, and 20 hosts
    had 5,000 refusals and short questions a minute charged as probes. Where a store
    has places for all hosts each follows it itself. Else two of each data centre do,
    and their peers there get what they lack with the rounds of gossip.

    What is told this way is advice: a part that has gone meanwhile is a miss at the
    store, and a store that started anew is known by its boot.

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
            # Alone in the table, each of many that start would follow them all.
            return frozenset()
        view = self._state.view, tuple(row.name for row in self._stores.rows)
        if view != self._view:
            self._view = view
            self._choose()
        return self._followed

    def followers(self, places):
        """Return how many hosts follow a store with so many places."""
        entries = self._state.live_entries()
        if len(entries) <= places:
            return len(entries)
        count = 0
        for name in {row.data_centre for row in entries}:
            count += min(FOLLOWERS, sum(row.data_centre == name for row in entries))
        return count

    def words(self, theirs=()):
        """Return up to where each store is known here, for a peer.

        Parameters
        ----------
        theirs : tuple of gossip.StoreWord
            What the peer has told; what it knows as well is left out.
        """
        if all(row.is_followed for row in self._stores.rows):
            return ()
        word_by_store = {word.store: word for word in theirs}
        return tuple(
            gossip.StoreWord(
                row.name,
                row.boot,
                row.position,
                row.told_at,
                row.heard_at is None,
                row.clock_lead,
            )
            for row in self._stores.rows
            if row.told_at is not None
            and not _is_as_late(word_by_store.get(row.name), row)
        )

    def news_for(self, words):
        """Return what a peer with these words lacks, as far as one message may."""
        word_by_store = {word.store: word for word in words}
        news, parts = [], 0
        for row in self._stores.rows:
            word = word_by_store.get(row.name)
            if row.told_at is None or (word is not None and _knows(word, row)):
                continue
            item = _news_of(row, word)
            parts += len(item.parts)
            if news and parts > _MAX_PARTS:
                break
            news.append(item)
        return tuple(news)

    def hear(self, message):
        """Take in what a peer tells of stores that it, or another, follows."""
        word_by_store = {word.store: word for word in message.store_words}
        for item in message.store_news:
            row = self._stores.rows.get(item.store)
            word = word_by_store.get(item.store)
            if row is not None and word is not None:
                _take(item, word, row)
        for word in message.store_words:
            row = self._stores.rows.get(word.store)
            if row is not None and word.boot == row.boot and _is_later(word, row):
                row.note_word(word.told_at, word.is_silent, word.clock_lead)

    def _choose(self):
        me = self._state.me
        entries = self._state.live_entries()
        here = [row.name for row in entries if row.data_centre == me.data_centre]
        for row in self._stores.rows:
            chosen = here
            if len(entries) > row.store.followers:
                chosen = hashing.rank(row.name, here)[:FOLLOWERS]
            row.is_followed = me.name in chosen
        self._followed = frozenset(
            row.name for row in self._stores.rows if row.is_followed
        )


def _is_as_late(word, row):
    """Return whether a peer's word, or None, is no older than what is known here."""
    return word is not None and _knows(word, row) and word.told_at >= row.told_at


def _is_later(word, row):
    return row.told_at is None or word.told_at > row.told_at


def _knows(word, row):
    """Return whether a peer knows all that is known here of a store.

    Of two starts of a store the one goes before that told something last.
    """
    if word.boot == row.boot:
        return word.position >= row.position
    return word.told_at >= row.told_at


def _news_of(row, word):
    """Return the changes since a peer's word, or the whole list."""
    if word is not None and word.boot == row.boot:
        changes = row.changes_since(word.position)
        if changes is not None:
            return gossip.StoreNews(
                row.name, row.boot, word.position, row.position, False, changes
            )
    return gossip.StoreNews(row.name, row.boot, 0, row.position, True, row.whole_list())


def _take(item, word, row):
    """Take in news, unless this host has heard later ones."""
    if item.boot == row.boot:
        fits = item.whole_list or item.since <= row.position
        if fits and item.position > row.position:
            row.apply(item)
    elif item.whole_list and _is_later(word, row):
        row.apply(item)
        row.note_word(word.told_at, word.is_silent, word.clock_lead)
