"""Tests that equal requests have the same fingerprint, and others a different one."""

import pytest

from sesamespindle.decide import fingerprints

CONTENT = fingerprints.of_content(b"POST", b"/chat/1?x=2", b"body")


def test_the_same_request_has_one_fingerprint_on_all_hosts():
    one, other = (fingerprints.Fingerprints("key") for _ in range(2))
    assert one.of("acme", CONTENT) == other.of("acme", CONTENT) != ""


@pytest.mark.parametrize(
    "parts",
    [
        (b"GET", b"/chat/1?x=2", b"body"),
        (b"POST", b"/chat/1?x=3", b"body"),
        (b"POST", b"/chat/1?x=2", b"other"),
        (b"POST", b"/chat/1?x=2b", b"ody"),
    ],
)
def test_another_content_has_another_fingerprint(parts):
    made = fingerprints.Fingerprints("key")
    other = fingerprints.of_content(*parts)
    assert made.of("acme", other) != made.of("acme", CONTENT)


def test_another_account_has_another_fingerprint():
    made = fingerprints.Fingerprints("key")
    assert made.of("acme", CONTENT) != made.of("bank", CONTENT)


def test_contents_can_not_be_guessed_without_the_key():
    one, other = (fingerprints.Fingerprints(key) for key in ("key", "guess"))
    assert one.of("acme", CONTENT) != other.of("acme", CONTENT)


def test_a_request_without_its_complete_body_has_no_fingerprint():
    assert fingerprints.Fingerprints("key").of("acme", None) == ""
