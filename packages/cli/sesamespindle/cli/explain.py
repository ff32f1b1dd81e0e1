"""From a request's id to its cause, over the logs of all daemons."""

import dataclasses
import datetime
import json
import re

# Lines of a daemon that lie this close to a request's are shown beside it.
_NEAR = datetime.timedelta(seconds=3)
_CONTEXT_PARTS = ("decide", "platform", "daemon")
_FINGERPRINT = re.compile(r"\b[0-9a-f]{32}\b")
# First match wins; the strongest sign of a cause comes first.
_CAUSES = (
    (
        "Cut off:",
        "The target stopped in the middle of an answer that can't be continued.",
    ),
    (
        "Cut off by the end of this host",
        "The host was leaving, and its grace time ended before the answer did.",
    ),
    (
        "unknown_key",
        "The API key isn't in the configuration that the host had in force.",
    ),
    ("no_route", "No route of the configuration in force matches host and path."),
    ("not_ready", "The host had no configuration yet; it had just started."),
    (
        "Refused: quarantined",
        "Targets crash under this request, so it is sent to none.",
    ),
    (
        "Refused: suspected",
        "Targets crashed under this request; hosts waited for what others saw.",
    ),
    ("shutting_down", "The host was leaving and would have ended too soon."),
    ("Refused: overloaded", "All targets were too busy to answer in time."),
    ("Refused: no_target", "The host knew no target that could take the request."),
    (
        "ended: silent",
        "The target did not begin to answer in the time it usually needs.",
    ),
    (
        "ended: withdrawn",
        "The request waited at its target until the target's weights were too old.",
    ),
    ("ended: lost", "The connection to the target broke before a whole answer came."),
    ("ended: failed", "The target ran the request and answered with a failure."),
    ("ended: timeout", "The request's time was over before its answer was whole."),
    ("ended: unreachable", "No connection to the target could be made."),
    ("The caller has left", "The caller closed its connection before the answer."),
)
_UNKNOWN_CAUSE = "The logs show no fault: the request was answered, or no line is left."


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Line:
    """One line of a daemon's log."""

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
    """What the logs tell of one request.

    Attributes
    ----------
    crashes : tuple of Line
        What any host tells of crashes under it, in any of its attempts.
    """

    request: str
    decisions: tuple[Line, ...]
    beside: tuple[Line, ...]
    cause: str
    crashes: tuple[Line, ...] = ()

    def __str__(self):
        if not self.decisions:
            return f"No line of any log names request {self.request}."
        lines = [f"Request {self.request}:"]
        lines += [f"  {line}" for line in self.decisions]
        if self.beside:
            lines.append("On the same hosts, at about that time:")
            lines += [f"  {line}" for line in self.beside]
        if self.crashes:
            lines.append("Crashes under it, on all hosts:")
            lines += [f"  {line}" for line in self.crashes]
        lines.append(f"Likely cause: {self.cause}")
        return "\n".join(lines)


def read(paths):
    """Return the lines of several logs in the order of their times.

    What isn't a line of a daemon's log is passed over, so that the output of a
    process manager may be given as it is.
    """
    lines = []
    for path in paths:
        for raw in path.read_text(errors="replace").splitlines():
            line = _parse(raw)
            if line is not None:
                lines.append(line)
    return sorted(lines)


def explain(lines, request):
    """Return the `Explanation` of a request, whose id may be shortened."""
    decisions = tuple(line for line in lines if line.request.startswith(request))
    if not decisions:
        return Explanation(request, (), (), _UNKNOWN_CAUSE)
    hosts = {line.host for line in decisions}
    first, last = decisions[0].at - _NEAR, decisions[-1].at + _NEAR
    beside = tuple(
        line
        for line in lines
        if line.request == "-"
        and line.host in hosts
        and line.part in _CONTEXT_PARTS
        and first <= line.at <= last
    )
    crashes = _crashes_under(lines, decisions)
    return Explanation(
        decisions[0].request, decisions, beside, _cause(decisions), crashes
    )


def _crashes_under(lines, decisions):
    """Return the lines of no request that name the fingerprint of this one."""
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
    said = "\n".join(line.message for line in decisions)
    for sign, cause in _CAUSES:
        if sign in said:
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
