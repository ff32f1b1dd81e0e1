"""Each repeat is paid for once, and what a payment buys is one send."""

import gateways
import pytest

from sesamespindle.decide import (
    commands,
    events,
    kvstores,
    ledgers,
    loadparts,
    sends,
    targetlist,
)

NOW, SECOND = gateways.NOW, gateways.SECOND


class Host:
    """One host whose prompts wait for room, and are asked for at engines' keepers."""

    def __init__(self, slack):
        self.core = gateways.make_gateway(slack)
        parts = (loadparts.Part.QUEUES, loadparts.Part.KEEPERS)
        choice = dict.fromkeys(parts, loadparts.Choice.ON)
        self.core.state.load_parts = loadparts.LoadParts(False, choice)
        names = tuple(f"llm-{number}" for number in range(1, 6))
        listed = tuple(gateways.make_target(name, "llm") for name in names)
        self.core.step(NOW, [targetlist.TargetsListed(listed)])
        self.now = NOW

    def begin(self):
        """Begin a prompt that is large enough to be asked for."""
        prompt = (kvstores.Part("a", 6_000), kvstores.Part("b", 6_000))
        return gateways.begin(self.core, "/chat/1", model="m", prompt=prompt)

    def answer(self, reason):
        """Let the keeper answer; return what follows."""
        said = ledgers.Answer(reason, SECOND / 10, 100, SECOND / 5)
        return self.core.forwarding.keeper_answered("r1", said, now=self.now)

    def end(self, ending):
        """Let the send end; return what follows."""
        return self.core.forwarding.ended("r1", ending, now=self.now)

    def turn_away(self):
        """Let the engine turn the send away; return what follows."""
        return self.end(sends.Ending.TURNED_AWAY)

    def until_woken(self):
        """Let ticks pass until the request that waits goes on; return how it does."""
        for _ in range(20):
            self.now += SECOND / 10
            emitted = self.core.step(self.now, [events.Tick()])
            if any(isinstance(item, sends.Resume) for item in emitted):
                return self.core.forwarding.resumed("r1", now=self.now)
        raise AssertionError("It still waits")

    def repeat_after_wait(self):
        """Let a prompt be turned away, wait, and be sent again; return the send."""
        assert isinstance(self.begin(), sends.AskKeeper)
        assert isinstance(self.answer(ledgers.Reason.GRANTED), sends.Forward)
        following = self.turn_away()
        while isinstance(following, sends.AskKeeper):
            following = self.answer(ledgers.Reason.MEMORY)
        assert isinstance(following, sends.Wait)
        assert isinstance(self.until_woken(), sends.AskKeeper)
        return self.answer(ledgers.Reason.GRANTED)


@pytest.fixture
def host():
    """Return a host that may send one request again."""
    return Host(slack=1.5)


def test_a_payment_for_a_send_that_a_keeper_was_asked_for_buys_no_second_one(host):
    """Guards against two repeats for each token where requests wait for an answer."""
    assert isinstance(host.repeat_after_wait(), sends.Forward)
    assert isinstance(host.turn_away(), sends.Wait)
    assert isinstance(host.until_woken(), commands.Refuse)


def test_a_payment_is_left_for_the_next_send_if_nothing_arrives(host):
    """Guards against a token that is spent although no target got a repeat for it."""
    assert isinstance(host.repeat_after_wait(), sends.Forward)
    following = host.end(sends.Ending.REFUSED)
    assert isinstance(following, sends.AskKeeper)
    assert isinstance(host.answer(ledgers.Reason.GRANTED), sends.Forward)


def test_what_a_request_paid_and_never_sent_is_there_for_others(host):
    """Guards against a budget that is spent by callers who leave while they wait."""
    assert isinstance(host.begin(), sends.AskKeeper)
    assert isinstance(host.answer(ledgers.Reason.GRANTED), sends.Forward)
    assert isinstance(host.end(sends.Ending.TURNED_AWAY), sends.AskKeeper)
    host.core.forwarding.close("r1", host.now)
    assert isinstance(host.repeat_after_wait(), sends.Forward)
