"""Explaining a request's outcome from its id and the logs of all daemons."""

import dataclasses
import datetime
import json
import re

# Lines that concern no request are shown if they are at most this much earlier or
# later than the request's own lines, from the same host.
_CONTEXT_WINDOW = datetime.timedelta(seconds=3)
# The parts of the daemon whose lines are shown so.
_CONTEXT_PARTS = ("decide", "platform", "daemon")
_TAKEN_UP = re.compile(r"Takes up the stream begun as (\S+),")
# Of a whole request or of a prompt part.
_FINGERPRINT = re.compile(r"\b(?:[0-9a-f]{32}|[0-9a-f]{30})\b")
# Pairs of a text in log messages and the cause that it indicates. The first match
# wins, so the texts that indicate a cause most strongly come first.
_CAUSES = (
    (
        "Cut off:",
        "The target stopped in the middle of an answer that can't be resumed.",
    ),
    (
        "Cut off by the end of this host",
        "The host was leaving, and its grace time ended before the answer did.",
    ),
    (
        "unknown_key",
        "The API key isn't in the configuration that was active on the host.",
    ),
    ("no_route", "No route of the active configuration matches the host and path."),
    (
        "stale_configuration",
        "The host could not find out whether its configuration was current.",
    ),
    (
        "not_ready",
        "The host had just started and had no configuration yet, or, for a new stream, "
        "no records of software versions.",
    ),
    (
        "Refused: quarantined",
        "Targets crash under this request, so it is sent to none.",
    ),
    (
        "Refused: suspected",
        "Targets crashed under this request; the host waited for other hosts' reports.",
    ),
    (
        "shutting_down",
        "The host was leaving and would have stopped before it could answer.",
    ),
    (
        "Refused: host_overloaded",
        "Its host held all that it may for its callers, and this request gave way.",
    ),
    ("Refused: body_late", "Its body was not whole when its time was over."),
    ("Refused: overloaded", "All targets were too busy to answer in time."),
    ("Refused: prompt_too_large", "No engine of the service can hold the prompt."),
    (
        "Refused: limited",
        "All targets limit their requests, and this host's part of that was used.",
    ),
    (
        "Refused: origin_unknown",
        "No host that was asked knew which software version began the stream.",
    ),
    (
        "Refused: version_gone",
        "No target is left of the software version that began the stream.",
    ),
    ("Refused: resting", "All targets turned requests away and asked for a rest."),
    ("Refused: no_target", "The host knew no target that could take the request."),
    (
        "ended: silent",
        "The target did not start to answer within the time that it usually needs.",
    ),
    (
        "ended: withdrawn",
        "The request waited at its target until the target's weights were too old.",
    ),
    (
        "ended: foreign",
        "The target sent an answer to another request instead of this one's.",
    ),
    (
        "ended: lost",
        "The connection to the target broke before the answer was complete.",
    ),
    ("ended: failed", "The target ran the request and answered with a failure."),
    ("ended: timeout", "The request's timeout passed before the answer was complete."),
    ("ended: unreachable", "No connection to the target could be made."),
    (
        "The caller has left",
        "The caller closed its connection before the answer was complete.",
    ),
)
_UNKNOWN_CAUSE = (
    "The logs show no failure: the request was answered, or lines are missing."
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Line:
    """One line of a daemon's log.

    Attributes
    ----------
    part : str
        The part of the daemon that wrote the line.
    request : str
        The request's id; ``-`` if the line concerns no request.
    """

    at: datetime.datetime
    host: str
    part: str
    request: str
    message: str

    def __str__(self):
        at = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{at}  {self.host:<22} {self.part:<9} {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The lines of the logs that explain one request.

    Attributes
    ----------
    request : str
        The request's full id.
    decisions : tuple of Line
        The request's own lines.
    nearby : tuple of Line
        Lines that concern no request, from the same hosts at about the same time.
    cause : str
        The likely cause, as a sentence.
    crashes : tuple of Line
        Lines of any host about target crashes with this request in flight, in any
        of its attempts.
    began_as : tuple of Line
        The lines of the attempt that began the stream which this request takes up.
    """

    request: str
    decisions: tuple[Line, ...]
    nearby: tuple[Line, ...]
    cause: str
    crashes: tuple[Line, ...] = ()
    began_as: tuple[Line, ...] = ()

    def __str__(self):
        if not self.decisions:
            return f"No line of any log names request {self.request}."
        lines = [f"Request {self.request}:"]
        lines += [f"  {line}" for line in self.decisions]
        if self.began_as:
            lines.append("The attempt that began the stream:")
            lines += [f"  {line}" for line in self.began_as]
        if self.nearby:
            lines.append("On the same hosts, at about that time:")
            lines += [f"  {line}" for line in self.nearby]
        if self.crashes:
            lines.append("Crashes under it, on all hosts:")
            lines += [f"  {line}" for line in self.crashes]
        lines.append(f"Likely cause: {self.cause}")
        return "\n".join(lines)


def read(paths):
    """Return the lines of several logs, ordered by time.

    Anything but JSON lines of a daemon is skipped, as is text before the JSON, so
    that the output of a process manager can be given unchanged.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        The log files.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines = []
    for path in paths:
        for raw in path.read_text(errors="replace").splitlines():
            line = _parse(raw)
            if line is not None:
                lines.append(line)
    return sorted(lines)


def explain(lines, request):
    """Return the `Explanation` of a request.

    Parameters
    ----------
    lines : list of Line
        The lines of all logs, ordered by time.
    request : str
        The request's id, or its beginning.
    """
    decisions = tuple(line for line in lines if line.request.startswith(request))
    if not decisions:
        return Explanation(request, (), (), _UNKNOWN_CAUSE)
    hosts = {line.host for line in decisions}
    first, last = decisions[0].at - _CONTEXT_WINDOW, decisions[-1].at + _CONTEXT_WINDOW
    nearby = tuple(
        line
        for line in lines
        if line.request == "-"
        and line.host in hosts
        and line.part in _CONTEXT_PARTS
        and first <= line.at <= last
    )
    crashes = _crash_lines(lines, decisions)
    began_as = _lines_of_first_attempt(lines, decisions)
    return Explanation(
        decisions[0].request, decisions, nearby, _cause(decisions), crashes, began_as
    )


def _lines_of_first_attempt(lines, decisions):
    """Return the lines of the attempt whose stream a request takes up."""
    attempts = {
        found for line in decisions for found in _TAKEN_UP.findall(line.message)
    }
    return tuple(line for line in lines if line.request in attempts - {"-"})


def _crash_lines(lines, decisions):
    """Return the lines about crashes with this request in flight.

    They concern no request by id; they contain the request's fingerprint, which one
    of its own lines names.
    """
    fingerprints = {
        found for line in decisions for found in _FINGERPRINT.findall(line.message)
    }
    return tuple(
        line
        for line in lines
        if line.request == "-"
        and not fingerprints.isdisjoint(_FINGERPRINT.findall(line.message))
    )


def _cause(decisions):
    messages = "\n".join(line.message for line in decisions)
    for text, cause in _CAUSES:
        if text in messages:
            return cause
    return _UNKNOWN_CAUSE


def _parse(raw):
    start = raw.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(raw[start:])
        return Line(
            datetime.datetime.fromisoformat(value["time"]),
            value["host"],
            value["part"],
            value["request"],
            value["message"],
        )
    except (ValueError, KeyError, TypeError):
        return None
