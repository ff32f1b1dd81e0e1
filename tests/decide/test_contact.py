"""Tests of whether a host would have heard of a change by now."""

import gateways
import places
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import contact, events

KIND = "targets"
SPAN = 2 * SECOND


class Host:
    """A host with three peers in its data centre and two other data centres."""

    def __init__(self):
        self.core = gateways.make_gateway()
        self.silent_data_centres = set()
        for name, data_centre in (
            ("a", "dc-1"),
            ("b", "dc-1"),
            ("c", "dc-1"),
            ("d", "dc-2"),
            ("e", "dc-3"),
        ):
            entry = gateways.make_entry(name, data_centre, heard_at=NOW)
            self.core.state.put_entry(entry)
        self.contact = contact.Contact(self.core.state, KIND, self._is_reachable)

    def _is_reachable(self, name, now, span):
        return name not in self.silent_data_centres

    def prove(self, at):
        """Have the store show that nothing has changed until a time."""
        self.core.state.freshness.note_read(KIND, places.at(1), 1, at, "a listing")

    def silence(self, *names):
        """Have peers be heard no more since some time ago."""
        for name in names:
            self.core.state.entries.get(name).heard_at = NOW - 10 * SECOND

    def is_kept(self):
        return self.contact.is_kept(SPAN, NOW)


@pytest.fixture
def host():
    return Host()


def test_a_host_that_hears_the_store_alone_is_in_contact(host):
    host.prove(NOW - SECOND)
    host.silence("a", "b", "c")
    host.silent_data_centres = {"dc-2", "dc-3"}
    assert host.is_kept()


def test_hosts_that_hear_each_other_are_in_contact_while_the_store_is_away(host):
    host.prove(NOW - 10 * SECOND)
    host.silence("a")
    host.silent_data_centres = {"dc-3"}
    assert host.is_kept()


@pytest.mark.parametrize("silent", [("a", "b"), ("a", "b", "c")])
def test_a_host_that_hears_few_hosts_and_no_store_is_out_of_contact(host, silent):
    """Guards against a part of the fleet that takes itself for all of it."""
    host.prove(NOW - 10 * SECOND)
    host.silence(*silent)
    assert not host.is_kept()


def test_a_host_that_hears_its_data_centre_alone_is_out_of_contact(host):
    """Guards against a data centre that takes itself for the fleet."""
    host.prove(NOW - 10 * SECOND)
    host.silent_data_centres = {"dc-2", "dc-3"}
    assert not host.is_kept()


def test_hosts_that_have_left_are_not_missed(host):
    host.prove(NOW - 10 * SECOND)
    for name in ("a", "b", "c"):
        host.core.state.entries.get(name).state = events.HostState.LEFT
    assert host.is_kept()
