"""Reading records of the platform's store that any writer may have written."""

import json

import places
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
# Unusual values for a field of a record; most are invalid in most fields.
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
MANY_EXAMPLES = settings(derandomize=True, max_examples=300, deadline=None)


def record(spec, name="desk-1", revision=5):
    return objects.StoredObject(name, places.at(revision), spec)


def read_or_none(spec, name="desk-1"):
    try:
        return records.read_target(record(spec, name))
    except findings.FindingsError:
        return None


def test_all_fields_of_a_good_record_are_read():
    read = read_or_none(GOOD | {"Models": [{"Name": "m", "Version": 2}], "more": []})
    assert (read.service, read.address, read.slots) == ("desk", "10.0.0.1:80", 8)
    assert (read.version_by_model, read.born) == ({"m": 2}, 1_700_000_000_000)
    assert read_or_none(GOOD | {"State": "draining"}).leaving


@pytest.mark.parametrize("field", [name for name in GOOD if name != "born"])
def test_a_record_that_lacks_a_field_names_no_target(field):
    """Guards against requests to a target that doesn't exist.

    Another writer stores a record that lacks fields. If they were guessed, callers
    would wait for the target that the record seems to name.
    """
    assert read_or_none({name: GOOD[name] for name in GOOD if name != field}) is None


@pytest.mark.parametrize("odd", ODD, ids=repr)
@pytest.mark.parametrize("field", ["Address", "State", "Slots", "Service", "born"])
def test_a_record_with_a_field_of_another_type_names_no_target(field, odd):
    fits = {
        "Service": isinstance(odd, str) and odd not in ("", "\ud800"),
        "Slots": False,
        "State": False,
        "Address": False,
        "born": odd is None,
    }
    assert (read_or_none(GOOD | {field: odd}) is not None) == fits[field]


@pytest.mark.parametrize("name", ["", "a b", "a\r\nb", "\ud800", "é", "x" * 300])
def test_a_name_that_fits_no_header_names_no_target(name):
    assert read_or_none(GOOD, name) is None


def test_the_finding_names_target_and_field():
    with pytest.raises(findings.FindingsError, match=r"target desk-1.*Slots"):
        records.read_target(record(GOOD | {"Slots": [1]}))


@MANY_EXAMPLES
@given(ANYTHING)
def test_any_content_is_read_or_raises_findings(content):
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


@MANY_EXAMPLES
@given(st.lists(ANYTHING, max_size=4), st.integers(0, 4))
def test_good_objects_of_a_page_are_read_beside_any_others(beside, place):
    """Guards against one unreadable object that makes the whole list unreadable.

    Another writer stores such an object. If the list counted as no answer each time it
    is read, the host would know of no target at all.
    """
    items = [*beside[:place], stored(GOOD), *beside[place:]]
    raw = json.dumps({"items": items, "CurrentRev": 9}).encode()
    page = objects._decode_page(pages.load(raw), 0)
    assert record(GOOD, revision=7) in page.objects
    changes = [{"Object": item, "Deleted": False} for item in items]
    raw = json.dumps({"Events": [*beside, *changes], "CurrentRev": 9}).encode()
    listing = objects._decode_changes(pages.load(raw), 0)
    assert record(GOOD, revision=7) in listing.objects


@MANY_EXAMPLES
@given(st.binary(max_size=40), st.sampled_from(["items", "Events"]))
def test_good_objects_are_read_beside_bytes_that_are_not_json(raw, array):
    good = stored(GOOD)
    item = good if array == "items" else {"Object": good, "Deleted": False}
    text = json.dumps(item).encode()
    broken = b'{"Metadata":{"Name":"x","Revision":3},"Spec":' + raw + b"}"
    page = b'{"%s":[%s,%s,%s],"CurrentRev":12}' % (array.encode(), broken, text, text)
    value = pages.load(page)
    assert value["CurrentRev"] == 12
    assert item in value[array]


@pytest.mark.parametrize("raw", [b"{", b"[" * 9999, b'{"items": [}', b'{"Events": [1'])
def test_an_answer_that_is_not_a_page_raises(raw):
    with pytest.raises(ValueError, match=r"page|nested"):
        pages.load(raw)


@pytest.mark.parametrize("revision", [None, -1, 1.5, True, "7", [], 2**80])
def test_an_object_with_an_invalid_revision_has_no_content(revision):
    item = {"Metadata": {"Name": "desk-1", "Revision": revision}, "Spec": GOOD}
    (read,) = objects._decode_page({"items": [item], "CurrentRev": 9}, 0).objects
    assert read_or_none(read.spec) is None or read.revision.number == revision


@MANY_EXAMPLES
@given(ANYTHING)
def test_any_pack_of_a_peer_is_read_or_raises_findings(content):
    try:
        assert records.read_pack(content).kinds is not None
    except findings.FindingsError as error:
        assert str(error)
