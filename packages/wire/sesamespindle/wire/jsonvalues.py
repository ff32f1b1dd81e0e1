"""JSON values that other programs have written."""

import json


def load(raw):
    """Return a JSON value.

    Parameters
    ----------
    raw : bytes or str
        Its text.

    Raises
    ------
    ValueError
        If it isn't JSON, or is nested too deeply to be decoded.
    """
    try:
        return json.loads(raw)
    except RecursionError as error:
        raise ValueError("The JSON value is nested too deeply.") from error


def is_nested_deeper(value, depth):
    """Return whether a JSON value is nested more than `depth` levels deep."""
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(depth):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
    return bool(level)
