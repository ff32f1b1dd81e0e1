"""Objects of the platform's store that another writer may have written."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespindle.declare import findings
from sesamespindle.platform import objects, pages, records

GOOD = {
    "Service": "desk",
    "Address": "10.0.0.1:80",
    "Zone": "dc-1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Seq": 3,
    "born": 1_700_000_000_000,
}
# What a record may hold instead of what belongs there.
ODD = [None, True, -1, 0, 1.5, float("inf"), float("nan"), "", "x", [], ["x"], {}]
ODD += [2**70, "10.0.0.1:0", "10.0.0.1:80:80", "host:80", "\ud800", "a\r\nb"]
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*GOOD, "x"]), inner, max_size=4)
    ),
    max_leaves=8,
)
MANY = settings(derandomize=True, max_examples=300, deadline=None)


def record(spec, name="desk-1", revision=5):
    return objects.StoredObject(name, revision, spec)


def reads(spec, name="desk-1"):
    try:
        return records.read_target(record(spec, name))
    except findings.FindingsError:
        return None


def test_a_good_record_is_read_whole():
    read = reads(GOOD | {"Models": [{"Name": "m", "Version": 2}], "more": []})
    assert (read.service, read.address, read.slots) == ("desk", "10.0.0.1:80", 8)
    assert (read.version_by_model, read.born) == ({"m": 2}, 1_700_000_000_000)
    assert reads(GOOD | {"State": "draining"}).leaving


@pytest.mark.parametrize("field", [name for name in GOOD if name != "born"])
def test_a_record_that_lacks_a_field_names_no_target(field):
    """Another writer puts a record; requests went to the target that it named.

    The fields that were missing were guessed, so callers waited for a target
    that isn't there.
    """
    assert reads({name: GOOD[name] for name in GOOD if name != field}) is None


@pytest.mark.parametrize("odd", ODD, ids=repr)
@pytest.mark.parametrize("field", ["Address", "State", "Slots", "Service", "born"])
def test_a_record_with_a_field_of_another_kind_names_no_target(field, odd):
    fits = {
        "Service": isinstance(odd, str) and odd not in ("", "\ud800"),
        "Slots": False,
        "State": False,
        "Address": False,
        "born": odd is None,
    }
    assert (reads(GOOD | {field: odd}) is not None) == fits[field]


@pytest.mark.parametrize("name", ["", "a b", "a\r\nb", "\ud800", "é", "x" * 300])
def test_a_name_that_no_header_can_bear_names_no_target(name):
    assert reads(GOOD, name) is None


def test_the_finding_names_the_place():
    with pytest.raises(findings.FindingsError, match=r"target desk-1.*Slots"):
        records.read_target(record(GOOD | {"Slots": [1]}))


@MANY
@given(ANYTHING)
def test_any_content_is_read_or_refused(content):
    item = record(content)
    for read in (
        records.read_target,
        records.read_version,
        records.read_entry,
        records.read_lease,
    ):
        try:
            read(item)
        except findings.FindingsError as error:
            assert str(error)


def stored(spec, name="desk-1"):
    return {"Metadata": {"Name": name, "Revision": 7}, "Spec": spec}


@MANY
@given(st.lists(ANYTHING, max_size=4), st.integers(0, 4))
def test_good_objects_of_a_page_stay_whatever_stands_beside_them(beside, place):
    """One object of a list is by another writer and can't be read.

    The whole list was taken for no answer, again and again, so the host knew of
    no target at all.
    """
    items = [*beside[:place], stored(GOOD), *beside[place:]]
    raw = json.dumps({"items": items, "CurrentRev": 9}).encode()
    page = objects._decode_page(pages.load(raw))
    assert record(GOOD, revision=7) in page.objects
    changes = [{"Object": item, "Deleted": False} for item in items]
    raw = json.dumps({"Events": [*beside, *changes], "CurrentRev": 9}).encode()
    listing = objects._decode_changes(pages.load(raw))
    assert record(GOOD, revision=7) in listing.objects


@MANY
@given(st.binary(max_size=40), st.sampled_from(["items", "Events"]))
def test_good_objects_stay_beside_bytes_that_are_no_json(raw, array):
    good = stored(GOOD)
    item = good if array == "items" else {"Object": good, "Deleted": False}
    text = json.dumps(item).encode()
    broken = b'{"Metadata":{"Name":"x","Revision":3},"Spec":' + raw + b"}"
    page = b'{"%s":[%s,%s,%s],"CurrentRev":12}' % (array.encode(), broken, text, text)
    value = pages.load(page)
    assert value["CurrentRev"] == 12
    assert item in value[array]


@pytest.mark.parametrize("raw", [b"{", b"[" * 9999, b'{"items": [}', b'{"Events": [1'])
def test_what_is_no_page_is_no_answer(raw):
    with pytest.raises(ValueError, match=r"page|nested"):
        pages.load(raw)


@pytest.mark.parametrize("revision", [None, -1, 1.5, True, "7", [], 2**80])
def test_an_object_with_an_odd_revision_has_no_content_that_counts(revision):
    item = {"Metadata": {"Name": "desk-1", "Revision": revision}, "Spec": GOOD}
    (read,) = objects._decode_page({"items": [item], "CurrentRev": 9}).objects
    assert reads(read.spec) is None or read.revision == revision


@MANY
@given(ANYTHING)
def test_any_pack_of_a_peer_is_read_or_refused(content):
    try:
        assert records.read_pack(content).seen is not None
    except findings.FindingsError as error:
        assert str(error)
