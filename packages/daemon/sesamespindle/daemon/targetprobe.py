"""Probes that check whether a target accepts connections, and whether it answers."""

import asyncio

from sesamespindle.daemon import connections, logs, tasksets
from sesamespindle.decide import crashes, reach

_log = logs.part("relay")


class TargetProbe(tasksets.TaskSet):
    """Carries out `crashes.ProbeTarget` and `reach.ProbeReach` commands.

    Used as a context manager, it cancels the probes in flight at the end.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives `crashes.TargetRefusesConnections` for targets that refuse the
        connection, `crashes.ProbeUndecided` for those of which nothing is heard, and
        the `reach.TargetProbed` of each `reach.ProbeReach`.
    make_question : callable
        Takes a target's address, as ``host:port``, and returns the bytes of an HTTP
        request that each target answers at once, without a slot and without running
        anything.
    """

    def __init__(self, driver, make_question):
        super().__init__()
        self._driver = driver
        self._make_question = make_question
        driver.on(crashes.ProbeTarget, lambda command: self.spawn(self._probe(command)))
        driver.on(
            reach.ProbeReach, lambda command: self.spawn(self._probe_reach(command))
        )

    async def _probe(self, command):
        """Connect once, and report if the connection is refused.

        Only a refusal shows that this incarnation of the target has ended. If the
        connection is made, the target's next incarnation may already listen at the
        address; if there is no answer, the network may be interrupted or slow, and
        the probe is reported as undecided.
        """
        match await self.is_refused(command.address):
            case True:
                event = crashes.TargetRefusesConnections(command.incarnation)
            case False:
                return
            case None:
                event = crashes.ProbeUndecided(command.incarnation)
        self._driver.feed(event)

    async def _probe_reach(self, command):
        """Ask a target for any answer, and report whether one came in time."""
        answered = was_refused = False
        try:
            answered = await self._ask_in_time(command.address)
        except TimeoutError:
            _log.debug("Target {} answers no probe.", command.incarnation.name)
        except OSError as error:
            was_refused = True
            _log.debug("No probe of target {}. {!r}", command.incarnation.name, error)
        self._driver.feed(
            reach.TargetProbed(command.incarnation, answered, was_refused)
        )

    async def is_refused(self, address):
        """Return whether an address refuses a connection; None if nothing is heard."""
        try:
            async with asyncio.timeout(connections.CONNECT_SECONDS):
                _, writer = await connections.connect(_host_and_port(address))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            _log.debug("Inconclusive probe of the target at {}. {!r}", address, error)
            return None
        writer.transport.abort()
        return False

    async def answers(self, address):
        """Return whether the target at an address answers a probe in time."""
        try:
            return await self._ask_in_time(address)
        except (OSError, TimeoutError) as error:
            _log.debug("The target at {} answers no probe. {!r}", address, error)
            return False

    async def _ask_in_time(self, address):
        async with asyncio.timeout(reach.ANSWER_TIME.total_seconds()):
            return await self._ask(_host_and_port(address))

    async def _ask(self, address):
        """Return whether a target sends a byte in answer to its question."""
        reader, writer = await connections.connect(address)
        try:
            writer.write(self._make_question(address))
            return bool(await reader.read(1))
        finally:
            writer.transport.abort()


def _host_and_port(address):
    return address.rpartition("//")[2]
