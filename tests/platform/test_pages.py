"""Pages of the platform's store that can't be read as a whole."""

import json

import pytest

from sesamespindle.platform import pages

ITEMS = [
    {"Metadata": {"Name": f"t-{number}", "Revision": number}, "Spec": {"Models": [1]}}
    for number in range(3)
]
MALFORMED = b'{"Metadata": {"Name": "t-9", "Revision": 9}, "Spec": {not json}}'


def make_page(revision_first):
    """Return the bytes of a page with a malformed item among others."""
    items = [json.dumps(item).encode() for item in ITEMS]
    listed = b", ".join([*items[:1], MALFORMED, *items[1:]])
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
