"""Exit codes, and errors that are shown as one line."""

import enum
import json
import sys


class Exit(enum.IntEnum):
    """What a script can tell from the exit code."""

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
        Plain JSON values.
    text : str
        The same for people.
    """
    print(json.dumps(value, indent=2) if as_json else text)


def table(headings, rows):
    """Return rows of cells as aligned text."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def fail(error):
    """Print an error as one line and leave with its exit code."""
    print(f"sesamespindle: {error}", file=sys.stderr)
    sys.exit(int(error.exit_code))
