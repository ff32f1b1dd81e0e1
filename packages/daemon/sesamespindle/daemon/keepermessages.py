"""Messages between hosts and the keepers of engines, in a fixed binary form.

Times go as milliseconds that are left or have passed, as hosts don't compare clocks.
"""

import datetime
import struct

from sesamespindle.decide import incarnations, ledgers

_ASK, _ANSWER, _TELL = 1, 2, 3
# Kind, number of the question, request, birth, tokens, held tokens, capacity, slots,
# urgency, wait in time, time left; the engine's name follows.
_ASK_FORM = struct.Struct("!BIQQIIIHBHI")
# Kind, number of the question, reason, expected wait, speed, age of the load.
_ANSWER_FORM = struct.Struct("!BIBHHH")
# Kind, request, birth, stage, tokens, held tokens, time left, time waited, load,
# speed; the engine's name follows.
_TELL_FORM = struct.Struct("!BQQBIIIHHH")
# Stands for a figure that isn't known.
_UNKNOWN = 0xFFFF


def encode_ask(number, ask):
    """Return the bytes of a `ledgers.Ask`; the sender's address names its host."""
    engine = ask.incarnation
    head = _ASK_FORM.pack(
        _ASK,
        number,
        ask.request,
        _bounded(engine.born, 8),
        _bounded(ask.tokens, 4),
        _bounded(ask.held_tokens, 4),
        _bounded(ask.capacity, 4),
        _bounded(ask.slots, 2),
        _bounded(ask.urgency, 1),
        _milliseconds(ask.wait, 2),
        _milliseconds(ask.left, 4),
    )
    return head + engine.name.encode()


def encode_answer(number, answer):
    """Return the bytes of a `ledgers.Answer`."""
    age = _UNKNOWN
    if answer.age is not None:
        age = min(_milliseconds(answer.age, 2), _UNKNOWN - 1)
    wait = _milliseconds(answer.wait, 2)
    speed = _bounded(answer.speed, 2)
    return _ANSWER_FORM.pack(_ANSWER, number, answer.reason, wait, speed, age)


def encode_tell(tell):
    """Return the bytes of a `ledgers.Tell`; the sender's address names its host."""
    engine = tell.incarnation
    head = _TELL_FORM.pack(
        _TELL,
        tell.request,
        _bounded(engine.born, 8),
        tell.stage,
        _bounded(tell.tokens, 4),
        _bounded(tell.held_tokens, 4),
        _milliseconds(tell.left, 4),
        _milliseconds(tell.waited, 2),
        _figure(tell.load),
        _figure(tell.speed),
    )
    return head + engine.name.encode()


def decode(payload, host):
    """Return the number of the question, and the message.

    Parameters
    ----------
    payload : bytes
        The message.
    host : str
        The peer address of the host that sent it.

    Returns
    -------
    number : int
        The number of the question; 0 for a `ledgers.Tell`.
    message : ledgers.Ask, ledgers.Answer or ledgers.Tell
        The message.

    Raises
    ------
    ValueError
        If the message can't be read.
    """
    try:
        match payload[:1]:
            case b"\x01":
                return _decode_ask(payload, host)
            case b"\x02":
                return _decode_answer(payload)
            case b"\x03":
                return 0, _decode_tell(payload, host)
    except struct.error as error:
        raise ValueError(f"A message about an engine is cut: {error}.") from error
    raise ValueError("A message about an engine is of an unknown kind.")


def _decode_ask(payload, host):
    fields = _ASK_FORM.unpack_from(payload)
    _, number, request, born, tokens, held, capacity, slots, urgency, wait, left = (
        fields
    )
    engine = _engine(payload, _ASK_FORM, born)
    return number, ledgers.Ask(
        host,
        request,
        engine,
        tokens,
        held,
        capacity,
        slots,
        urgency,
        _duration(wait),
        _duration(left),
    )


def _decode_answer(payload):
    _, number, reason, wait, speed, age = _ANSWER_FORM.unpack_from(payload)
    known_age = _duration(age) if age != _UNKNOWN else None
    reason = ledgers.Reason(reason)
    return number, ledgers.Answer(reason, _duration(wait), speed, known_age)


def _decode_tell(payload, host):
    fields = _TELL_FORM.unpack_from(payload)
    _, request, born, stage, tokens, held, left, waited, load, speed = fields
    return ledgers.Tell(
        host,
        request,
        _engine(payload, _TELL_FORM, born),
        ledgers.Stage(stage),
        tokens,
        held,
        _duration(left),
        _duration(waited),
        load if load != _UNKNOWN else None,
        speed if speed != _UNKNOWN else None,
    )


def _engine(payload, form, born):
    return incarnations.TargetIncarnation(payload[form.size :].decode(), born)


def _figure(value):
    return _UNKNOWN if value is None else min(_bounded(value, 2), _UNKNOWN - 1)


def _bounded(value, count):
    """Return a number as one that fits into a count of bytes."""
    return min(max(int(value), 0), (1 << 8 * count) - 1)


def _milliseconds(duration, count):
    return _bounded(duration // datetime.timedelta(milliseconds=1), count)


def _duration(milliseconds):
    return datetime.timedelta(milliseconds=milliseconds)
