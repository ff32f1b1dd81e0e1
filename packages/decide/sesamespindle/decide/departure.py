"""What a host that leaves still takes, and when it ends."""

import dataclasses
import datetime

# Callers that keep an address may not know sooner than this that its host
# leaves: peers hear of it within one second and callers ask again after another.
# Some callers keep an address longer; they are refused and go elsewhere.
_CALLERS_LEARN_WITHIN = datetime.timedelta(seconds=2.5)
# A host with little time stops earlier, so that what it takes last still has two
# thirds of that time to be answered.
_OPEN_SHARE = 1 / 3
# What is kept of the grace time for closing connections, which takes 0.2 s on a
# played host: more would cut off long answers that are nearly done. Of a short
# grace time it is half of the last sixth, as no answer may be given up before it.
_CLOSING_TIME = datetime.timedelta(milliseconds=300)
_CLOSING_SHARE = 1 / 12
# How long before it was handled an order to leave may have come, as a part of the
# grace time: less than the other half of its last sixth, so that a host that counts
# from too early still ends inside it. One that was frozen for longer can't know.
_HANDLED_SHARE = 1 / 16


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """How a host leaves.

    Guards against an answer that is cut off because it was begun too late: a
    host that takes whatever comes for a fixed time takes what lasts longer than
    the host itself. Here each request's own end is held against the host's.

    Attributes
    ----------
    open_until : datetime.datetime
        Until then all requests are taken, as callers can't know yet.
    ends_at : datetime.datetime
        When every request gets its final answer and the process ends.
    is_over : bool
        Whether the host ends now, perhaps sooner than planned, as it had nothing
        to do: nothing is taken or sent any more.
    """

    open_until: datetime.datetime
    ends_at: datetime.datetime
    is_over: bool = False

    def may_cut_off(self, until):
        """Return whether a request that has time until then may outlast the host.

        What has its final answer before the host ends can't be cut off by it.
        """
        return self.is_over or until > self.ends_at

    def takes(self, until, now):
        """Return whether a request is taken that may be asked for again if cut off.

        A call that may run once is taken only if the host can't cut it off, as
        nobody could know whether it ran.
        """
        is_open = not self.is_over and now < self.open_until
        return is_open or not self.may_cut_off(until)


def asked_at(ran_at, now, grace):
    """Return the earliest time at which an order to leave may have come.

    Guards against a busy host that counts its time from when it handles the
    order: it would be killed before its last answers are out.

    Parameters
    ----------
    ran_at : datetime.datetime
        When the host was last seen to run, without an order.
    now : datetime.datetime
        The present.
    grace : datetime.timedelta
        After this the process is killed.
    """
    return max(ran_at, now - grace * _HANDLED_SHARE)


def begin(asked, ends_at):
    """Return the `Departure` of a host that leaves.

    Parameters
    ----------
    asked : datetime.datetime
        When it was asked to, at the earliest.
    ends_at : datetime.datetime
        When it ends at the latest.
    """
    open_for = min(_CALLERS_LEARN_WITHIN, (ends_at - asked) * _OPEN_SHARE)
    return Departure(asked + open_for, ends_at)


def latest_end(asked, grace):
    """Return when a host must end that is killed after a grace time.

    Parameters
    ----------
    asked : datetime.datetime
        When the grace time began, at the earliest.
    grace : datetime.timedelta
        After this the process is killed.
    """
    return asked + grace - min(_CLOSING_TIME, grace * _CLOSING_SHARE)
