"""Amounts with a unit, such as ``30 s`` or ``8k tokens``, as written in YAML."""

import datetime
import re
import typing

import pydantic
import pydantic_core

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}
_FACTOR_BY_PREFIX = {"": 1, "k": 1_000, "M": 1_000_000}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*([a-z]+)")
_TOKENS = re.compile(r"(\d+(?:\.\d+)?)\s*([kM]?)\s*tokens")
_SHARE = re.compile(r"(\d+(?:\.\d+)?)\s*%")


def _duration(value):
    if isinstance(value, datetime.timedelta):
        return value
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in _SECONDS_BY_UNIT:
        raise _wrong_unit("a duration such as '250 ms', '30 s', '5 m', '2 h' or '1 d'")
    return datetime.timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])


def _tokens(value):
    match = _TOKENS.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _wrong_unit("an amount such as '8000 tokens' or '128k tokens'")
    return int(float(match[1]) * _FACTOR_BY_PREFIX[match[2]])


def _share(value):
    match = _SHARE.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _wrong_unit("a share such as '25%'")
    return float(match[1]) / 100


def _wrong_unit(expected):
    return pydantic_core.PydanticCustomError(
        "wrong_unit", "expected {expected}", {"expected": expected}
    )


Duration = typing.Annotated[datetime.timedelta, pydantic.BeforeValidator(_duration)]
Tokens = typing.Annotated[int, pydantic.BeforeValidator(_tokens)]
Share = typing.Annotated[float, pydantic.BeforeValidator(_share)]
