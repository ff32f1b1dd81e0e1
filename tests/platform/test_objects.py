"""Reads of the platform's store whose first answer is lost."""

import asyncio
import datetime

import pytest

from sesamespindle.platform import objects

TRY = datetime.timedelta(seconds=0.02)


class _Links:
    """Connections by name, which count how often they are replaced."""

    reused, new = "reused", "new"

    def __init__(self):
        self.replaced = 0

    def replace(self):
        self.replaced += 1


class _Read:
    """A read that ends by its connection: with a value, an error, or not at all."""

    def __init__(self, reused, new):
        self._ends = {"reused": reused, "new": new}
        self.connections = []

    async def __call__(self, session):
        self.connections.append(session)
        end = self._ends[session]
        if end is None:
            await asyncio.Event().wait()
        if isinstance(end, Exception):
            raise end
        return end


async def repeated(read):
    links = _Links()
    async with asyncio.timeout(5):
        found = await objects.ObjectClient(links, "url").repeated(read, TRY)
    return found, links.replaced


def test_a_read_on_a_silent_connection_is_repeated_on_a_new_one(go):
    """Guards against changes that wait for the time limit of a dead connection."""
    read = _Read(reused=None, new="answer")
    assert go(repeated(read)) == ("answer", 1)
    assert read.connections == ["reused", "new"]


def test_a_read_on_a_broken_connection_is_repeated_at_once(go):
    read = _Read(reused=objects.LostAnswerError("reset"), new="answer")
    assert go(repeated(read)) == ("answer", 0)


def test_an_answered_read_is_not_repeated(go):
    read = _Read(reused="answer", new="other")
    assert go(repeated(read)) == ("answer", 0)
    assert read.connections == ["reused"]


def test_a_refused_read_is_not_repeated(go):
    """Guards against twice the calls to a platform that turns hosts away."""
    read = _Read(reused=objects.HistoryGoneError("gone"), new="other")
    with pytest.raises(objects.HistoryGoneError):
        go(repeated(read))
    assert read.connections == ["reused"]


def test_a_read_fails_only_if_both_tries_do(go):
    lost = objects.LostAnswerError("reset")
    with pytest.raises(objects.LostAnswerError):
        go(repeated(_Read(reused=lost, new=lost)))
