"""Logging with loguru, as text or JSON, with a fixed prefix for each part."""

import collections
import datetime
import json
import os
import sys

import loguru

# Longer ids, which callers choose, and longer messages are cut in lines: the number of
# lines that wait to be written is bounded, and so is what they hold.
_MAX_ID_CHARACTERS = 200
_MAX_MESSAGE_CHARACTERS = 8000
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
    global _json_lines
    lines = BoundedLines(sys.stdout.fileno())
    json_lines = JsonLines(host, lines)
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "daemon", "request": "-", "host": host})
    loguru.logger.add(
        json_lines.add_record, level=level, format="{message}", catch=False
    )
    shows_info = loguru.logger.level(level).no <= loguru.logger.level("INFO").no
    _json_lines = json_lines if shows_info else None
    return lines


class JsonLines:
    """Encodes log lines as JSON objects of one shape.

    Parameters
    ----------
    host : str
        The host's name, for the lines.
    lines : BoundedLines
        Receives the lines.
    """

    def __init__(self, host, lines):
        self._lines = lines
        self._host = json.dumps(host)

    def add_record(self, message):
        """Add the line of a message of loguru, as its sink."""
        record = message.record
        level, extra, exception = record["level"], record["extra"], record["exception"]
        texts = extra["part"], extra["request"], record["message"]
        end = ""
        if exception is not None:
            end = f', "exception": {json.dumps(repr(exception.value))}'
        self._add(record["time"], level.name, *texts, end)

    def add_info(self, part_name, request_id, message):
        """Add a line of level INFO about a request."""
        now = datetime.datetime.now().astimezone()
        self._add(now, "INFO", part_name, request_id, message)

    def _add(self, at, level, part_name, request_id, message, end=""):
        encode = json.dumps
        request_id = request_id[:_MAX_ID_CHARACTERS]
        message = message[:_MAX_MESSAGE_CHARACTERS]
        self._lines.add(
            f'{{"time": "{at.isoformat(timespec="milliseconds")}", '
            f'"level": "{level}", "host": {self._host}, '
            f'"part": {encode(part_name)}, "request": {encode(request_id)}, '
            f'"message": {encode(message)}{end}}}'
        )


# Where lines about requests go; None while they go to loguru, whose inspection of the
# caller and record of what a line doesn't show take most of what it costs.
_json_lines = None


def note_request(part_name, request_id, text, *values):
    """Log a line of level INFO about a request.

    Parameters
    ----------
    part_name : str
        The part of the daemon.
    request_id : str
        The request.
    text : str
        The message, with a pair of braces for each value.
    *values
        The values.
    """
    if _json_lines is None:
        logger = loguru.logger.bind(part=part_name, request=request_id)
        logger.opt(depth=1).info(text, *values)
        return
    message = text.format(*values) if values else text
    _json_lines.add_info(part_name, request_id, message)


def part(name):
    """Return the logger of a part of the daemon.

    Parameters
    ----------
    name : str
        The part's name, which prefixes its lines.
    """
    return loguru.logger.bind(part=name)
