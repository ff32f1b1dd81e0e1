"""Requests wait at their host in one order while all targets are full."""

import itertools

import gateways
import pytest
import queuefleet

from sesamespindle.decide import (
    commands,
    flights,
    loadparts,
    routes,
    sends,
    waitingroom,
)

ROUTES = ("r0", "r1", "r2")


def play(load, is_on=True, seconds=4.0, **shares):
    """Offer a multiple of what the targets take, evenly by account and route."""
    fleet = queuefleet.Fleet(is_on)
    weight_by_account = shares or {"a": 0.5, "b": 0.5}
    for (account, weight), (route, part) in itertools.product(
        weight_by_account.items(), zip(ROUTES, (0.2, 0.4, 0.4), strict=True)
    ):
        fleet.offer(account, route, fleet.capacity * load * weight * part, seconds)
    fleet.run(seconds + 3.0)
    return fleet


def fill(fleet, seconds=0.2, slots=0):
    """Leave targets so few slots, and fill those they have, for some time."""
    usual, fleet.slots = fleet.slots, slots
    fleet.after(seconds, setattr, fleet, "slots", usual)


@pytest.fixture
def waiting():
    """Return a fleet in which five requests wait, first come first."""
    fleet = queuefleet.Fleet(True)
    fill(fleet, 60.0)
    fleet.offer("a", "r1", 50.0, 0.1)
    fleet.run(0.09)
    assert len(fleet.waiting()) > 2
    return fleet


def test_nothing_of_it_runs_where_the_part_is_off():
    """Guards against earlier deployments that are served in another way than before."""
    fleet = play(1.7, is_on=False, seconds=1.0)
    room = fleet.core.forwarding.waiting_room
    assert room.waiting_by_label() == room.refused_by_label() == {}
    assert fleet.refused
    most = queuefleet.MIN_RETRY_AFTER * 1.5
    assert all(item.refuse.retry_after <= most for item in fleet.refused)


@pytest.mark.parametrize(("load", "shares"), [(1.7, (0.99, 0.95)), (3.0, (0.99, 0.5))])
def test_more_urgent_kinds_are_never_served_less_often(load, shares):
    """Guards against callers that are refused by chance in place of by rank."""
    fleet = play(load)
    by_route = [fleet.share(route=route) for route in ROUTES]
    assert by_route == sorted(by_route, reverse=True)
    assert by_route[0] >= shares[0]
    assert by_route[1] >= shares[1]
    assert abs(fleet.share("a") - fleet.share("b")) < 0.05


@pytest.mark.parametrize("load", [1.0, 1.7, 3.0])
def test_nobody_is_refused_while_a_place_is_free(load):
    fleet = play(load)
    assert all(item.free <= 0 for item in fleet.refused)
    assert fleet.rejected < 0.1 * fleet.sent


def test_a_service_that_is_full_for_moments_refuses_nobody():
    """Guards against refusals although a place is free 50 ms later."""
    fleet = queuefleet.Fleet(True)
    fleet.offer("a", "r1", fleet.capacity * 0.5, 3.0)
    for at in (0.5, 1.2, 2.0):
        fleet.after(at, fill, fleet, 0.1)
    fleet.run(5.0)
    assert fleet.refused == []
    assert fleet.share() == 1.0


def test_an_account_with_ten_times_the_requests_starves_nobody():
    fleet = play(3.0, a=10 / 13, b=1 / 13, c=1 / 13, d=1 / 13)
    for account in "bcd":
        assert fleet.share(account, "r1") > 0.95
    assert fleet.share("a") > 0.2


def test_who_can_not_be_in_time_is_told_at_once():
    """Guards against callers that wait until their deadline in vain."""
    fleet = queuefleet.Fleet(True, returns=0)
    fleet.offer("a", "r1", fleet.capacity * 1.7, 3.0, seconds=0.4)
    fleet.run(4.0)
    held = [item.held for item in fleet.refused]
    assert sum(seconds < 0.2 for seconds in held) > 0.9 * len(held)


def test_the_end_of_a_burst_brings_no_wave_and_all_are_served_again():
    fleet = queuefleet.Fleet(True)
    fleet.offer("a", "r1", fleet.capacity * 3.0, 2.0)
    fleet.run(2.0)
    fleet.offer("b", "r1", fleet.capacity * 0.5, 4.0)
    fleet.run(4.5)
    since = 2.0 + 2.0
    assert fleet.share("b", since=since) == 1.0


def test_callers_that_return_at_once_gain_nothing():
    """Guards against callers that are served more often as they don't wait."""
    fleet = queuefleet.Fleet(True)
    for account, honours in (("a", True), ("b", False)):
        rate = fleet.capacity * 0.85
        fleet.offer(account, "r1", rate, 4.0, honours=honours)
    fleet.run(7.0)
    assert fleet.share("a") >= fleet.share("b") - 0.02


def test_a_caller_that_leaves_is_taken_out(waiting):
    first, *others = waiting.waiting()
    waiting.leave(first)
    assert waiting.waiting() == others


def test_all_who_wait_are_refused_if_all_targets_are_gone(waiting):
    """Guards against callers that wait for a service that nobody serves any more."""
    waiting.list_targets(())
    waiting.run(0.2)
    assert waiting.waiting() == []
    assert {item.refuse.outcome for item in waiting.refused} == {
        commands.Outcome.NOT_RUN
    }


def test_a_request_without_target_does_not_wait():
    fleet = queuefleet.Fleet(True)
    fleet.list_targets(())
    assert isinstance(gateways.begin(fleet.core, "/r1/1", key="a"), commands.Refuse)


def test_those_who_wait_are_refused_truthfully_when_the_host_ends(waiting):
    forwarding = waiting.core.forwarding
    for request_id in waiting.waiting():
        refuse = forwarding.refuse_shutting_down(request_id, sent=False)
        assert refuse.outcome is commands.Outcome.NOT_RUN
        assert refuse.retry_after


def test_after_a_clock_stood_still_nobody_is_sent_whose_time_is_over(waiting):
    """Guards against a host that was frozen and sends what nobody waits for."""
    waiting.now += 30.0
    waiting.slots = queuefleet.SLOTS
    sent = waiting.sent
    waiting._tick()
    assert waiting.waiting() == []
    assert waiting.sent == sent


def test_a_request_of_a_peer_does_not_wait(waiting):
    """Guards against a request that waits at the peer that should carry it."""
    passport = sends.Passport("entry-2", 1, 0)
    request = gateways.make_request("/r1/1", "p1", "a", passport=passport)
    forwarding = waiting.core.forwarding
    route = forwarding.configuration.routes[1]
    now = waiting.time()
    until = now + gateways.SECOND
    flight = flights.Flight(request, route, "desk", None, now, until)
    code = commands.Code.OVERLOADED
    room = forwarding.waiting_room
    assert room.lacks_room(flight, 4, code, now) is None
    assert room.begin(flight, 4, now) is None


def test_the_wait_ends_if_the_operator_switches_the_part_off(waiting):
    choice = {loadparts.Part.QUEUES: loadparts.Choice.OFF}
    waiting.core.state.load_parts = loadparts.LoadParts(choice_by_part=choice)
    waiting.slots = queuefleet.SLOTS
    waiting.run(1.0)
    assert waiting.waiting() == []


def test_repeats_stay_within_the_retry_budget():
    """Guards against targets that get more repeats than they may while full."""
    fleet = queuefleet.Fleet(True, slack=1.0)
    fill(fleet, 60.0)
    fleet.offer("a", "r1", 5.0, 4.0)
    fleet.run(5.0)
    tries = sum(asked.tries for asked in fleet.asked)
    assert fleet.rejected > 0
    assert 0 < fleet.repeats <= 0.2 * tries + 1.0


class Room:
    """A waiting room alone, whose requests are sent as soon as they have room."""

    def __init__(self):
        self.core = queuefleet.Fleet(True).core
        self.order = []
        self.has_room = set()
        self.asks = set()
        self.alone = waitingroom.WaitingRoom(
            self.core.state, self._answer, None, lambda flight, now: True
        )

    def wait(self, request_id, account):
        """Let a new request wait; return its flight."""
        request = gateways.make_request("/r1/1", request_id)
        route = self.core.forwarding.configuration.routes[1]
        flight = flights.Flight(
            request, route, "desk", routes.Account(account), gateways.NOW,
            gateways.NOW + 60 * gateways.SECOND,
        )  # fmt: skip
        self.lack_room(flight)
        return flight

    def lack_room(self, flight):
        """Tell that no target has room for a request; return its wait."""
        code = commands.Code.OVERLOADED
        return self.alone.lacks_room(flight, 4, code, gateways.NOW)

    def wake(self):
        """Send those that have room."""
        self.alone.wake("desk", gateways.NOW)

    def _answer(self, flight, now):
        request_id = flight.request.request_id
        if request_id in self.asks:
            return sends.AskKeeper(request_id, "entry-1", "", None)
        if request_id not in self.has_room:
            return sends.Wait(request_id, flight.until, "desk", "")
        self.order.append(request_id)
        return sends.Forward(
            request_id, 1, "desk-0", "", flight.until, 4, None,
            flight.route.repeats, False,
        )  # fmt: skip


def test_a_large_prompt_is_passed_by_a_bounded_number_of_others():
    """Guards against large prompts that starve, as smaller ones always find room."""
    room = Room()
    room.wait("large", "a")
    for number in range(100):
        room.wait(f"small-{number}", "b")
        room.has_room.add(f"small-{number}")
        room.wake()
    assert 0 < len(room.order) < 50
    room.has_room.add("large")
    room.wake()
    assert room.order[-1] != "large"
    assert "large" in room.order


def test_a_request_that_a_keeper_declines_is_still_the_first_of_its_account():
    """Guards against a wait that begins anew with each question to a keeper."""
    room = Room()
    flights_by_id = {name: room.wait(name, "a") for name in ("r1", "r2", "r3")}
    room.asks.add("r1")
    room.wake()
    room.asks.clear()
    again = room.lack_room(flights_by_id["r1"])
    assert "place 1 of 3" in again.reason
    room.has_room |= set(flights_by_id)
    room.wake()
    assert room.order == ["r1", "r2", "r3"]


def test_a_request_that_a_keeper_declines_is_not_passed_more_often():
    """Guards against large prompts that starve, as each question forgets who passed."""
    room = Room()
    large = room.wait("large", "a")
    for number in range(100):
        room.asks.add("large")
        room.wake()
        room.asks.clear()
        room.lack_room(large)
        room.wait(f"small-{number}", "b")
        room.has_room.add(f"small-{number}")
        room.wake()
    assert 0 < len(room.order) < 50
