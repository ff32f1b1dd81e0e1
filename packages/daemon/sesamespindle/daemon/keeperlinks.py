"""Asks the keepers of engines for room, and answers where this host is the keeper."""

import asyncio
import itertools

from sesamespindle.daemon import keepermessages, logs
from sesamespindle.decide import ledgers, sends

_log = logs.part("keepers")
# A keeper in the same region answers within some milliseconds. One that stands still
# costs the asking request this time once a second.
_PATIENCE_SECONDS = 0.025
_RESULTS = (
    "asked",
    "unanswered",
    "left_alone",
    *(reason.name.lower() for reason in ledgers.Reason),
)


class KeeperLinks:
    """Exchanges datagrams about the work at engines with other hosts.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Its decision logic has the `ledgers.Ledgers` and the `asking.Asking`.
    measures : sesamespindle.daemon.measures.Measures
        Receives gauges and counters.
    """

    def __init__(self, driver, measures):
        self._driver = driver
        self._peers = None
        self._numbers = itertools.count(1)
        # The open questions: the keeper's address and the answer's future, by number.
        self._question_by_number = {}
        driver.on(sends.TellKeeper, self._tell)
        self._register_gauges(measures)

    def use_peers(self, peers):
        """Exchange datagrams with peers by a `sesamespindle.daemon.peering.Peering`."""
        self._peers = peers
        peers.set_keeper_receiver(self._receive)

    async def ask(self, command):
        """Return the `ledgers.Answer` to a `sends.AskKeeper`; None if none came."""
        core = self._driver.core
        if command.address == core.state.me.peer_address:
            return core.ledgers.ask(command.ask, self._driver.clock.now())
        if self._peers is None:
            return None
        loop = asyncio.get_running_loop()
        number = next(self._numbers) & 0xFFFFFFFF
        answer = loop.create_future()
        self._question_by_number[number] = command.address, answer
        timer = loop.call_later(_PATIENCE_SECONDS, _give_up, answer)
        try:
            payload = keepermessages.encode_ask(number, command.ask)
            self._peers.send_to_keeper(payload, command.address)
            return await answer
        finally:
            timer.cancel()
            del self._question_by_number[number]

    def _tell(self, command):
        if command.address == self._driver.core.state.me.peer_address:
            self._driver.core.ledgers.take(command.tell, self._driver.clock.now())
        elif self._peers is not None:
            payload = keepermessages.encode_tell(command.tell)
            self._peers.send_to_keeper(payload, command.address)

    def _receive(self, payload, address):
        try:
            number, message = keepermessages.decode(payload, address)
        except ValueError as error:
            _log.warning("Can't read a datagram from {}. {}", address, error)
            return
        now = self._driver.clock.now()
        match message:
            case ledgers.Ask():
                answer = self._driver.core.ledgers.ask(message, now)
                reply = keepermessages.encode_answer(number, answer)
                self._peers.send_to_keeper(reply, address)
            case ledgers.Tell():
                self._driver.core.ledgers.take(message, now)
            case ledgers.Answer():
                self._deliver(number, message, address)

    def _deliver(self, number, message, address):
        keeper, answer = self._question_by_number.get(number, ("", None))
        if keeper != address or answer.done():
            _log.debug("An answer of {} comes too late.", address)
            return
        answer.set_result(message)

    def _register_gauges(self, measures):
        core = self._driver.core
        measures.gauge("engines_kept", core.ledgers.count)
        measures.gauge("tokens_held_at_kept_engines", core.ledgers.held_tokens)
        measures.gauge("unreadable_loads_total", lambda: core.learning.unreadable_loads)
        for result in _RESULTS:
            measures.gauge(
                f'keeper_questions_total{{result="{result}"}}',
                lambda result=result: core.asking.count_by_result[result],
            )


def _give_up(answer):
    if not answer.done():
        answer.set_result(None)
