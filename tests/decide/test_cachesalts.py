"""Who shares KV cache, and which salts are out of use."""

import pytest

from sesamespindle.decide import cachesalts, routes

ACME, BANK = routes.Account("acme"), routes.Account("bank")


def made_by(*isolated_names):
    salts = cachesalts.CacheSalts()
    names = frozenset(isolated_names)
    salts.adopt(routes.Configuration(1, isolated_names=names))
    return salts


def test_an_account_that_becomes_isolated_shares_nothing_that_it_made_before():
    """Others go on using KV cache that the account made while it was shared."""
    before, after = made_by(), made_by("bank")
    shared = before.make(ACME, 1)
    assert before.make(BANK, 1) == shared
    assert after.make(ACME, 1) != shared
    assert after.make(BANK, 1) not in (shared, after.make(ACME, 1))


def test_a_host_without_memory_makes_the_same_salts():
    """All hosts are killed after the change, and engines keep what they hold."""
    assert made_by("bank", "desk").make(ACME, 3) == made_by("desk", "bank").make(
        ACME, 3
    )


def test_accounts_that_share_again_find_what_they_made():
    assert made_by().make(ACME, 1) == made_by().make(BANK, 1)
    assert made_by("desk").make(ACME, 1) == made_by("desk").make(BANK, 1)


def test_a_request_read_before_the_change_is_that_of_an_isolated_account():
    """It waits meanwhile, and would use what others have made."""
    read_before = routes.Account("bank", isolated=False)
    salts = made_by("bank")
    assert salts.make(read_before, 1) != salts.make(ACME, 1)


def test_an_isolated_account_without_keys_counts_too():
    """Taking its last key away would give others what it made while it was shared."""
    assert made_by("bank").make(ACME, 1) != made_by().make(ACME, 1)


@pytest.mark.parametrize("name", ["", "1", "+", ".", "a.b", "1+2"])
def test_no_name_makes_a_salt_of_others(name):
    """An isolated account is named like another salt and finds the others' KV cache."""
    salts = made_by(name, "bank")
    own = salts.make(routes.Account(name), 1)
    assert own not in (salts.make(ACME, 1), salts.make(BANK, 1), "1")
    digest = salts.make(ACME, 1)[1:]
    named = made_by(digest)
    assert named.make(routes.Account(digest), 1) != salts.make(ACME, 1)


def test_salts_of_superseded_weights_are_out_of_use():
    salts = made_by()
    assert salts.kept_for("1", 2) is not None
    assert salts.kept_for("2", 2) is None
    assert salts.kept_for("3", None) is None
    assert salts.kept_for("neither", None) is not None


def test_salts_that_no_account_uses_any_more_are_kept_for_longer():
    """Hosts that work by an earlier configuration may still fetch under them."""
    before, after = made_by(), made_by("bank")
    superseded = after.kept_for("1", 2)
    assert after.kept_for(before.make(ACME, 1), 1) > 10 * superseded
    assert after.kept_for(after.make(ACME, 1), 1) is None
    assert after.kept_for(after.make(BANK, 1), 1) is None
    assert before.kept_for(after.make(BANK, 1), 1) is not None


def test_a_host_without_a_configuration_has_nothing_freed_for_its_accounts():
    assert cachesalts.CacheSalts().kept_for("1.bank", 1) is None
