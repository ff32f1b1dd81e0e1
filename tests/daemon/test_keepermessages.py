"""Messages between hosts and keepers of engines, as bytes."""

import dataclasses

import gateways
import pytest

from sesamespindle.daemon import keepermessages
from sesamespindle.decide import incarnations, ledgers

SECOND = gateways.SECOND
ENGINE = incarnations.TargetIncarnation("i-7f3a91c2", 1_780_000_000_000)
ASK = ledgers.Ask(
    "a:1", 2**64 - 1, ENGINE, 12_000, 12_400, 96_000, 16, 3, SECOND / 2, 9 * SECOND
)
TELL = ledgers.Tell(
    "a:1", 5, ENGINE, ledgers.Stage.BEGUN, 9, 10, SECOND, SECOND / 4, 3, 250
)


def test_messages_are_read_as_they_were_written():
    for tell in (TELL, dataclasses.replace(TELL, load=None, speed=None)):
        assert keepermessages.decode(keepermessages.encode_tell(tell), "a:1") == (
            0,
            tell,
        )
    assert keepermessages.decode(keepermessages.encode_ask(7, ASK), "a:1") == (7, ASK)
    for age in (None, SECOND):
        answer = ledgers.Answer(ledgers.Reason.LATE, 2 * SECOND, 250, age)
        payload = keepermessages.encode_answer(8, answer)
        assert keepermessages.decode(payload, "b:1") == (8, answer)


def test_figures_beyond_their_bytes_are_bounded():
    """Guards against a request that fails as a figure of it has too many digits."""
    large = dataclasses.replace(
        ASK, held_tokens=10**12, wait=10**6 * SECOND, left=-SECOND
    )
    _, read = keepermessages.decode(keepermessages.encode_ask(1, large), "a:1")
    assert read.held_tokens == 2**32 - 1
    assert read.wait > 60 * SECOND
    assert read.left == 0 * SECOND


@pytest.mark.parametrize(
    "payload", [b"", b"\x01", b"\x02" + b"\xff" * 11, b"\x03" * 5, b"\x09abc"]
)
def test_a_message_that_cannot_be_read_is_an_error(payload):
    with pytest.raises(ValueError, match=r"message about an engine|not a valid|decode"):
        keepermessages.decode(payload, "a:1")
