"""What the recorder of a data centre has written of streams that began."""

import gateways
import pytest
from gateways import NOW, SECOND
from hypothesis import given
from hypothesis import strategies as st

from sesamespindle.decide import events, originrecords, revisions, streamorigins, world

V1, V2 = (streamorigins.Origin("llm", software) for software in ("v1", "v2"))
MS = SECOND / 1000


def make_records(is_stored=True, peers=()):
    me = events.Host("entry-1", "entry", "dc-1", "e1:80", "entry-1:81")
    state = world.World(me, None, 1, NOW)
    for name, data_centre in (("entry-1", "dc-1"), *peers):
        state.put_entry(gateways.make_entry(name, data_centre))
    return state, originrecords.OriginRecords(state, is_stored)


def key(number):
    return number.to_bytes(originrecords.KEY_BYTES)


def written(state):
    """Return the number and the keys by origin of each write since the last call."""
    return [
        (command.number, command.segment.keys_by_origin)
        for command in state.take_commands()
        if isinstance(command, originrecords.WriteOrigins)
    ]


def test_an_attempt_is_written_at_once_and_later_ones_with_it():
    """Guards against a stream that is forgotten as its hosts end a moment later."""
    state, records = make_records()
    records.add(key(1), V1, NOW)
    assert written(state) == [(0, {V1: key(1)})]
    records.add(key(2), V2, NOW)
    records.write_if_due(NOW + 200 * MS)
    assert written(state) == []
    records.handle(originrecords.OriginsWritten(), NOW + 200 * MS)
    records.write_if_due(NOW + 200 * MS)
    assert written(state) == [(0, {V1: key(1), V2: key(2)})]


def test_a_write_that_failed_is_repeated_with_all_that_it_held():
    """Guards against attempts that are lost as the store is away for a moment."""
    state, records = make_records()
    records.add(key(1), V1, NOW)
    records.handle(originrecords.OriginsNotWritten(), NOW)
    records.write_if_due(NOW + 900 * MS)
    assert len(written(state)) == 1
    records.write_if_due(NOW + SECOND)
    assert written(state) == [(0, {V1: key(1)})]


def test_a_segment_ends_by_its_age_and_keeps_what_is_not_written():
    """Guards against objects that grow for as long as versions are mixed."""
    state, records = make_records()
    records.add(key(1), V1, NOW)
    later = NOW + 5 * SECOND
    records.add(key(2), V1, later)
    records.handle(originrecords.OriginsWritten(), later)
    records.write_if_due(later + SECOND)
    assert written(state) == [(0, {V1: key(1)}), (1, {V1: key(2)})]


def test_nothing_is_kept_beyond_a_bound_while_the_store_is_away():
    state, records = make_records()
    for number in range(20_000):
        records.add(key(number), V1, NOW)
    records.handle(originrecords.OriginsNotWritten(), NOW)
    records.write_if_due(NOW + SECOND)
    [_, (_, segment)] = written(state)
    assert len(segment[V1]) <= 4000 * originrecords.KEY_BYTES


def test_nothing_is_written_where_the_platform_stores_no_such_objects():
    state, records = make_records(is_stored=False)
    records.add(key(1), V1, NOW)
    assert records.recorder() == ""
    assert written(state) == []


def test_each_data_centre_has_one_recorder_of_its_own():
    peers = [("entry-2", "dc-1"), ("entry-3", "dc-2"), ("entry-4", "dc-2")]
    _, records = make_records(peers=peers)
    assert records.recorder() in ("entry-1:81", "entry-2:81")


@pytest.mark.parametrize(
    ("taken", "chosen"),
    [
        ({}, 0),
        ({0: 5}, 1),
        ({slot: 100 + slot for slot in range(originrecords.SLOTS)}, 0),
        ({slot: 100 - slot for slot in range(originrecords.SLOTS)}, 63),
    ],
)
def test_a_new_segment_takes_a_new_object_or_the_oldest(taken, chosen):
    """Guards against a host that starts and overwrites what is a moment old."""
    revision_by_slot = {
        slot: revisions.Revision(0, number) for slot, number in taken.items()
    }
    assert originrecords.choose_slot(revision_by_slot) == chosen


@given(st.lists(st.binary(min_size=8, max_size=8)), st.binary(min_size=8, max_size=8))
def test_a_key_is_found_only_where_one_begins(keys, sought):
    """Guards against a stream that goes on at a version which didn't begin it."""
    assert originrecords.holds(b"".join(keys), sought) == (sought in keys)
