"""Pages of the platform's store that can't be read as a whole."""

import json

import pytest

from sesamespindle.platform import pages

ITEMS = [
    {"Metadata": {"Name": f"t-{number}", "Revision": number}, "Spec": {"Models": [1]}}
    for number in range(3)
]
HEAD = b'{"Metadata": {"Name": "t-9", "Revision": 9}, "Spec": '
DEEP = b"[" * 100_000 + b"]" * 100_000
MALFORMED = HEAD + b"{not json}}"
TOO_DEEP = HEAD + b'{"Address": ' + DEEP + b"}}"


def make_page(revision_first, malformed=MALFORMED):
    """Return the bytes of a page with a malformed item among others."""
    items = [json.dumps(item).encode() for item in ITEMS]
    listed = b", ".join([*items[:1], malformed, *items[1:]])
    parts = [b'"items": [' + listed + b"]", b'"CurrentRev": 7, "MorePages": false']
    return b"{" + b", ".join(reversed(parts) if revision_first else parts) + b"}"


@pytest.mark.parametrize("revision_first", [False, True])
def test_a_page_without_its_end_is_not_read(revision_first):
    """Guards against half a list of targets that is taken for all of them."""
    page = make_page(revision_first)
    assert len(pages.load(page)["items"]) == len(ITEMS)
    for cut in range(1, len(page)):
        with pytest.raises(ValueError, match="The"):
            pages.load(page[:cut])


@pytest.mark.parametrize("revision_first", [False, True])
def test_an_item_that_is_nested_too_deeply_hides_no_others(revision_first):
    """Guards against hosts that hear nothing of targets beside one foreign entry."""
    page = pages.load(make_page(revision_first, TOO_DEEP))
    assert page["items"] == ITEMS
    assert page["CurrentRev"] == 7
