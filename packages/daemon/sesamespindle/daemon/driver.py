"""Feeding the decision logic, and handing on what it commands."""

import asyncio

from sesamespindle.daemon import logs
from sesamespindle.decide import commands

_log = logs.part("decide")


class Exchange:
    """The commands about one request, in their order."""

    def __init__(self):
        self._queue = asyncio.Queue()

    def put(self, command):
        """Add a command."""
        self._queue.put_nowait(command)

    async def next(self):
        """Wait for the next command."""
        return await self._queue.get()


class Driver:
    """Steps the decision logic for every event, on the one loop.

    Parameters
    ----------
    core : sesamespindle.decide.core.Core
        The decision logic.
    clock : sesamespindle.wire.clock.Clock
        The present.
    event_log : sesamespindle.daemon.eventlog.EventLog
        Where notes go.
    note_level : str
        The level at which notes are logged.
    """

    def __init__(self, core, clock, event_log, note_level="DEBUG"):
        self.core = core
        self.clock = clock
        self.event_log = event_log
        self.exchange_by_request = {}
        self._handler_by_command = {}
        self._note_level = note_level

    def on(self, command_type, handler):
        """Have commands of a type that belong to no request carried out."""
        self._handler_by_command[command_type] = handler

    def feed(self, *happened):
        """Take events in and hand on the commands that follow."""
        for command in self.core.step(self.clock.now(), happened):
            self._hand_on(command)

    def open(self, request_id):
        """Return the `Exchange` of a new request."""
        exchange = Exchange()
        self.exchange_by_request[request_id] = exchange
        return exchange

    def close(self, request_id):
        """Forget the exchange of a request that has its answer."""
        self.exchange_by_request.pop(request_id, None)

    @property
    def in_flight(self):
        """Return the number of requests that have no answer yet."""
        return len(self.exchange_by_request)

    def _hand_on(self, command):
        match command:
            case commands.Note():
                self.event_log.add(command.kind, command.subject, command.detail)
                _log.log(
                    self._note_level,
                    "{} {}. {}",
                    command.kind,
                    command.subject,
                    command.detail,
                )
                return
            case commands.SendPrompt() | commands.SendCall():
                self.event_log.add(
                    "dispatch",
                    command.request_id,
                    f"to {command.target}, attempt {command.attempt}",
                )
            case commands.ResumeStream():
                self.event_log.add("resume", command.request_id, command.target)
            case commands.Refuse():
                self.event_log.add(
                    "refuse", command.request_id, f"{command.code}, {command.outcome}"
                )
        handler = self._handler_by_command.get(type(command))
        if handler is not None:
            handler(command)
            return
        exchange = self.exchange_by_request.get(command.request_id)
        if exchange is not None:
            exchange.put(command)
