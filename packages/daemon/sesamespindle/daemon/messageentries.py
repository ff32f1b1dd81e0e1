"""Converts the entries of messages between hosts one by one.

Guards against one entry that ends a message, and with it the task that sends it and the
host: what a caller, a target or another release has written may not fit the form of a
message, or that of this release. Such an entry is left out and logged, and the message
goes on with the others.
"""

import collections

from sesamespindle.daemon import logs

_log = logs.part("peers")
# What a value raises that doesn't fit: out of range, of another type, not to be encoded
# as UTF-8, or a time beyond what `datetime` holds.
_UNFIT_ERRORS = (ValueError, TypeError, AttributeError, ArithmeticError)
_MAX_LOGGED_CHARACTERS = 200
# Counters that only rise are told in 64 bits, and each host adds to the highest.
_MAX_COUNTER = 2**62
# More tokens than all requests of a host have. An engine reads them in two years.
_MAX_TOKENS = 2**40

# How many entries were left out since the start of the process.
lost_by_kind = collections.Counter()


def convert_each(convert, items, at):
    """Return the converted items, without those that don't fit.

    Parameters
    ----------
    convert : callable
        Takes an item and a time, and returns the converted item.
    items : iterable
        The items.
    at : datetime.datetime
        The time.
    """
    converted = []
    for item in items:
        try:
            converted.append(convert(item, at))
        except _UNFIT_ERRORS as error:
            _note_lost(item, error)
    return converted


def bounded_counter(number):
    """Return a received counter that this host may raise and tell again.

    Raises
    ------
    ValueError
        If it is so high that this host couldn't.
    """
    if number > _MAX_COUNTER:
        raise ValueError(f"The counter {number} is out of range.")
    return number


def bounded_tokens(tokens):
    """Return the received tokens of a peer's requests at an engine.

    Raises
    ------
    ValueError
        If no host can have as many there.
    """
    if tokens > _MAX_TOKENS:
        raise ValueError(f"A peer has {tokens} tokens at an engine.")
    return tokens


def _note_lost(item, error):
    """Count an entry that is left out; log the first, second, fourth... of a kind."""
    kind = type(item).__name__
    lost_by_kind[kind] += 1
    count = lost_by_kind[kind]
    if count & (count - 1):
        return
    _log.warning(
        "An entry of a message is left out, number {} of its kind: {}. {!r}",
        count,
        repr(item)[:_MAX_LOGGED_CHARACTERS],
        error,
    )
