"""What a target says of itself in the headers of its answers."""

import dataclasses
import datetime
import math


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSignals:
    """The signals of one answer.

    Attributes
    ----------
    load : int or None
        Requests that run or wait at the target; None if the answer doesn't tell.
    speed : int or None
        How long work takes at the target now, in percent of the usual; None if the
        answer doesn't tell.
    unreadable_load : str
        The header of load and speed, if a figure of it can't be read; else empty.
    weight_version : int or None
        The weight version that generated the answer; None if the answer doesn't tell.
    limit : float or None
        Requests per second that the target accepts from all hosts together;
        infinite if it names no limit, None if the value can't be read.
    is_leaving : bool
        Whether the target leaves.
    turned_away : bool
        Whether the target turned the request away.
    rest : datetime.timedelta or None
        For how long the target, which turned the request away, wants no request from
        this host; None if it asks for no rest.
    brittle : float or None
        How many requests the target, which is brittle, may turn away in a second
        before it falls over; infinite if it isn't, None if the value can't be read.
    unreadable : tuple of str
        The headers that can't be read, as ``NAME: VALUE``.
    """

    load: int | None = None
    weight_version: int | None = None
    limit: float | None = math.inf
    is_leaving: bool = False
    turned_away: bool = False
    rest: datetime.timedelta | None = None
    unreadable: tuple[str, ...] = ()
    brittle: float | None = math.inf
    speed: int | None = None
    unreadable_load: str = ""
