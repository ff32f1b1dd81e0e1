"""Amounts with a unit, such as ``30 s`` or ``8k tokens``, as written in YAML."""

import datetime
import re
import typing

import pydantic
import pydantic_core

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}
_FACTOR_BY_PREFIX = {"": 1, "k": 1_000, "M": 1_000_000}
_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*([a-z]+)")
_TOKENS_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*([kM]?)\s*tokens")
_SHARE_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*%")


def _parse_duration(value):
    if isinstance(value, datetime.timedelta):
        return value
    match = _DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in _SECONDS_BY_UNIT:
        raise _unit_error("a duration such as '250 ms', '30 s', '5 m', '2 h' or '1 d'")
    return datetime.timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])


def _parse_tokens(value):
    match = _TOKENS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _unit_error("an amount such as '8000 tokens' or '128k tokens'")
    return int(float(match[1]) * _FACTOR_BY_PREFIX[match[2]])


def _parse_share(value):
    match = _SHARE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _unit_error("a share such as '25%'")
    return float(match[1]) / 100


def _unit_error(expected):
    return pydantic_core.PydanticCustomError(
        "wrong_unit", "expected {expected}", {"expected": expected}
    )


Duration = typing.Annotated[
    datetime.timedelta, pydantic.BeforeValidator(_parse_duration)
]
Tokens = typing.Annotated[int, pydantic.BeforeValidator(_parse_tokens)]
Share = typing.Annotated[float, pydantic.BeforeValidator(_parse_share)]
