"""Exit codes, one-line errors, and output as JSON or as tables."""

import enum
import json
import sys


class Exit(enum.IntEnum):
    """The exit codes of commands.

    Attributes
    ----------
    OK
        The command succeeded.
    FINDINGS
        Declarations are invalid, or what was named does not exist.
    USAGE
        An argument or an environment variable is missing or wrong.
    AWAY
        The platform or the daemons did not answer.
    CONFLICT
        The change conflicts with another operator's change.
    REFUSED
        An entry refused the request.
    TIMED_OUT
        The change was accepted, but did not become active within the timeout.
    """

    OK = 0
    FINDINGS = 1
    USAGE = 2
    AWAY = 3
    CONFLICT = 4
    REFUSED = 5
    TIMED_OUT = 6


class CommandError(Exception):
    """A command failed for a reason that is shown to the user as one line."""

    def __init__(self, message, exit_code):
        super().__init__(message)
        self.exit_code = exit_code


def print_result(value, as_json, text):
    """Print a result as JSON or as text.

    Parameters
    ----------
    value : object
        The result as plain JSON values.
    as_json : bool
        Whether to print `value` rather than `text`.
    text : str
        The result as readable text.
    """
    print(json.dumps(value, indent=2) if as_json else text)


def table(headings, rows):
    """Return headings and rows of cells as text with aligned columns."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def fail(error):
    """Print a `CommandError` to standard error and exit with its code."""
    print(f"sesamespindle: {error}", file=sys.stderr)
    sys.exit(int(error.exit_code))
