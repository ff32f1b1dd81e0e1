"""Log lines by loguru: a fixed prefix for each part, text or JSON."""

import collections
import json
import os
import sys

import loguru

_TEXT = "{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<9} {extra[request]:<24} {message}"


def set_up(log_settings, daemon):
    """Send log lines to standard error in the form that the settings ask for."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "daemon", "request": "-", "host": daemon})
    loguru.logger.add(
        sys.stderr,
        level=log_settings.level,
        format=_TEXT,
        serialize=log_settings.format == "json",
        backtrace=False,
        diagnose=False,
    )


class BoundedLines:
    """Writes lines to a file descriptor without ever waiting for it.

    Guards against a reader of the logs that stops reading: the lines beyond
    the bound are dropped and counted, and the count is written once there is
    room again.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set not to block.
    most : int
        Lines that may wait.
    """

    def __init__(self, descriptor, most=2000):
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._most = most
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line):
        """Take a line in, or count it as dropped."""
        if len(self._lines) >= self._most:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self):
        """Write as much as the descriptor takes now."""
        if self.dropped and len(self._lines) < self._most:
            lost = {"part": "logs", "message": f"{self.dropped} lines were dropped."}
            self._lines.append(json.dumps(lost))
            self.dropped = 0
        while self._rest or self._lines:
            if not self._rest:
                self._rest = (self._lines.popleft() + "\n").encode()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]


def set_up_lines(host, level="INFO"):
    """Send log lines as JSON to standard output; return the `BoundedLines`.

    Whoever calls this has `BoundedLines.flush` called again and again.
    """
    lines = BoundedLines(sys.stdout.fileno())

    def take(message):
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "host": host,
            "part": record["extra"]["part"],
            "request": record["extra"]["request"],
            "message": record["message"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        lines.add(json.dumps(line))

    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "daemon", "request": "-", "host": host})
    loguru.logger.add(take, level=level, format="{message}", catch=False)
    return lines


def part(name):
    """Return the logger of one part of the daemon."""
    return loguru.logger.bind(part=name)
