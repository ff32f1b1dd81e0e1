"""Feeding events to the decision logic, and passing its commands on."""

import asyncio

from sesamespindle.daemon import logs
from sesamespindle.decide import commands

_log = logs.part("decide")


class Exchange:
    """A queue of the commands that concern one request, in order."""

    def __init__(self):
        self._queue = asyncio.Queue()

    def put(self, command):
        """Add a command."""
        self._queue.put_nowait(command)

    async def next(self):
        """Wait for the next command."""
        return await self._queue.get()


class Driver:
    """Feeds events to the decision logic and dispatches the commands that it returns.

    It must be used from one event loop only; the decision logic isn't thread-safe.

    Parameters
    ----------
    core : sesamespindle.decide.core.Core
        The decision logic, or another object with the same `step` and `state`.
    clock : sesamespindle.wire.clock.Clock
        The clock.
    event_log : sesamespindle.daemon.eventlog.EventLog
        Records notes, and sends, resumptions and refusals of requests.
    note_level : str
        The log level of notes.

    Attributes
    ----------
    exchange_by_request : dict of str to Exchange
        The exchanges of requests that have no final answer yet, by request id.
    failed_commands : int
        The number of commands whose handler has raised an error.
    """

    def __init__(self, core, clock, event_log, note_level="DEBUG"):
        self.core = core
        self.clock = clock
        self.event_log = event_log
        self.exchange_by_request = {}
        self.failed_commands = 0
        self._handler_by_command = {}
        self._note_level = note_level

    def on(self, command_type, handler):
        """Register the handler of a type of command.

        Commands with a handler don't go to the exchange of a request.

        Parameters
        ----------
        command_type : type
            The class of the commands.
        handler : callable
            Called with each command, within `feed`; it must not block.
        """
        self._handler_by_command[command_type] = handler

    def feed(self, *new_events):
        """Feed events to the decision logic and dispatch the resulting commands.

        A command for a request that has no exchange any more is dropped.
        """
        for command in self.core.step(self.clock.now(), new_events):
            self._dispatch(command)

    def open(self, request_id):
        """Register a new request and return its `Exchange`."""
        exchange = Exchange()
        self.exchange_by_request[request_id] = exchange
        return exchange

    def close(self, request_id):
        """Remove the exchange of a request that is over; ignore an unknown request."""
        self.exchange_by_request.pop(request_id, None)

    @property
    def in_flight(self):
        """The number of requests that have no final answer yet."""
        return len(self.exchange_by_request)

    def _dispatch(self, command):
        """Record a command in the event log, and pass it to its handler or request."""
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
            self._carry_out(handler, command)
            return
        exchange = self.exchange_by_request.get(command.request_id)
        if exchange is not None:
            exchange.put(command)

    def _carry_out(self, handler, command):
        """Call a handler; if it fails, log that and go on with the other commands.

        Guards against a host that ends, with all that it has under way, as one command
        holds a value that its handler can't work with: the error would end the task
        that has fed the event, such as the one that ticks.
        """
        try:
            handler(command)
        except Exception as error:
            self.failed_commands += 1
            name = type(command).__name__
            _log.opt(exception=error).error("A command failed: {}. {!r}", name, error)
