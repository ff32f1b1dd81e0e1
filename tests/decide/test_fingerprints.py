"""Tests that equal requests have the same fingerprint, and others a different one."""

import pytest

from sesamespindle.decide import fingerprints, kvstores

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


def parts(*ids):
    return tuple(kvstores.Part(part_id, 10) for part_id in ids)


def test_the_last_part_of_a_prompt_has_no_fingerprint():
    made = fingerprints.Fingerprints("key")
    assert len(made.of_parts("acme", parts("aa", "bb", "cc"))) == 2
    assert made.of_parts("acme", parts("aa")) == ()


def test_a_part_has_one_fingerprint_an_account_wherever_it_stands():
    made = fingerprints.Fingerprints("key")
    first = made.of_parts("acme", parts("aa", "bb", "cc"))
    assert set(first) == set(made.of_parts("acme", parts("bb", "aa", "dd")))
    assert set(first).isdisjoint(made.of_parts("other", parts("aa", "bb", "cc")))


def test_a_fingerprint_tells_whether_it_is_of_a_part():
    made = fingerprints.Fingerprints("key")
    whole = made.of("acme", fingerprints.of_content(b"x"))
    (part,) = made.of_parts("acme", parts("aa", "bb"))
    assert fingerprints.is_of_part(part)
    assert not fingerprints.is_of_part(whole)


def test_parts_without_end_have_a_bounded_number_of_fingerprints():
    made = fingerprints.Fingerprints("key")
    many = parts(*(f"{number:x}" for number in range(1000)))
    assert len(made.of_parts("acme", many)) == 32
