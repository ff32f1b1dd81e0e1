"""Logging with loguru, as text or JSON, with a fixed prefix for each part."""

import collections
import json
import os
import sys

import loguru

_TEXT = "{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<9} {extra[request]:<24} {message}"


def set_up(log_settings, daemon):
    """Log to standard error in the format of the settings.

    Parameters
    ----------
    log_settings : sesamespindle.declare.settings.Log
        The format and level.
    daemon : str
        The daemon's name.
    """
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
    """A bounded buffer of log lines that are written without blocking.

    Guards against a daemon that hangs because the reader of its log has stopped: a
    write to the full pipe would block. Here lines wait in the buffer instead. Lines
    beyond its size are dropped and counted, and the count is logged once there is
    space again.

    Parameters
    ----------
    descriptor : int
        The file descriptor that lines are written to; it is set to non-blocking.
    max_lines : int
        The number of lines that the buffer holds.

    Attributes
    ----------
    dropped : int
        The number of dropped lines that hasn't been logged yet.
    """

    def __init__(self, descriptor, max_lines=2000):
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._max_lines = max_lines
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line):
        """Add a line to the buffer, or count it as dropped if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self):
        """Write as many lines as the descriptor accepts without blocking."""
        if self.dropped and len(self._lines) < self._max_lines:
            notice = {"part": "logs", "message": f"{self.dropped} lines were dropped."}
            self._lines.append(json.dumps(notice))
            self.dropped = 0
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = (self._lines.popleft() + "\n").encode()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]


def set_up_json_lines(host, level="INFO"):
    """Log JSON lines to standard output, without blocking.

    Parameters
    ----------
    host : str
        The host's name, for the lines.
    level : str
        The lowest level that is logged.

    Returns
    -------
    lines : BoundedLines
        The buffer. The caller must call its `flush` regularly; lines are written only
        then.
    """
    lines = BoundedLines(sys.stdout.fileno())

    def add_line(message):
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
    loguru.logger.add(add_line, level=level, format="{message}", catch=False)
    return lines


def part(name):
    """Return the logger of a part of the daemon.

    Parameters
    ----------
    name : str
        The part's name, which prefixes its lines.
    """
    return loguru.logger.bind(part=name)
