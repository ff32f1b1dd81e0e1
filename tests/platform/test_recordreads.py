"""Reading a record that another host may have written."""

import places
import pytest

from sesamespindle.decide import softwarerecords
from sesamespindle.platform import objects, recordreads, records
from sesamespindle.wire import platform


class _Client:
    """A client of a store that has one object, or doesn't answer."""

    def __init__(self, found):
        self._found = found

    async def get(self, kind, name):
        if isinstance(self._found, Exception):
            raise self._found
        return self._found


def _read(go, found):
    return go(
        recordreads.read(_Client(found), "software", "llm", records.read_software)
    )


def test_a_record_of_another_host_is_read(go):
    found = objects.StoredObject("llm", places.at(3), {"versions": ["v2", "v1"]})
    expected = softwarerecords.SoftwareRecord("llm", ("v1", "v2"), places.at(3))
    assert _read(go, found) == expected


@pytest.mark.parametrize(
    "found",
    [
        None,
        platform.PlatformUnavailableError("The store is away."),
        objects.StoredObject("llm", places.at(3), {"versions": 7}),
    ],
    ids=["absent", "unavailable", "unreadable"],
)
def test_a_record_that_cannot_be_read_ends_no_writer(go, found):
    """Guards against a write that is reported neither as done nor as failed."""
    assert _read(go, found) is None
