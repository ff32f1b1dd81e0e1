"""Which requests a leaving host still accepts, and when its process ends."""

import dataclasses
import datetime

# A caller that caches an address may learn only after this time that its host is
# leaving: peers learn it within one second, and callers look addresses up again after
# another second. Callers that cache an address longer are refused and go to another
# host.
_CALLERS_LEARN_AFTER = datetime.timedelta(seconds=2.5)
# With a short time until its end, a host stops accepting all requests after this share
# of it, so that the last ones still have two thirds of the time to be answered.
_ACCEPT_ALL_SHARE = 1 / 3
# How much of the end of the grace time is reserved for closing connections, which takes
# 0.2 s on a simulated host: reserving more would cut off long answers that are nearly
# complete. With a short grace time it is this share instead, half of the last sixth: no
# answer may be abandoned before the last sixth of the grace time.
_CLOSING_TIME = datetime.timedelta(milliseconds=300)
_CLOSING_SHARE = 1 / 12
# The longest delay, as a share of the grace time, that is assumed between the arrival
# of an order to leave and its handling. A host that was frozen for longer can't know
# when the order arrived, and assumes this delay. If the order came later, the host ends
# too early by at most this share. That is less than the first half of the last sixth,
# so the host still ends within that sixth.
_MAX_HANDLING_DELAY_SHARE = 1 / 16


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The schedule by which a host leaves.

    Guards against an answer that is cut off because its request was accepted too late:
    a host that accepts all requests for a fixed time also accepts those that last
    longer than the host itself. Here the end of each request is compared with the end
    of the host.

    Attributes
    ----------
    accepts_all_until : datetime.datetime
        Until then all requests are accepted, as callers can't know yet that the host is
        leaving.
    ends_at : datetime.datetime
        When every request gets its final answer and the process ends.
    is_over : bool
        Whether the host ends now, perhaps sooner than planned because no work was
        left: nothing is accepted or sent any more.
    """

    accepts_all_until: datetime.datetime
    ends_at: datetime.datetime
    is_over: bool = False

    def may_cut_off(self, until):
        """Return whether the host's end may cut off a request.

        Parameters
        ----------
        until : datetime.datetime
            The request's deadline, by which it has its final answer.
        """
        return self.is_over or until > self.ends_at

    def accepts(self, until, now):
        """Return whether to accept a request that can be retried if it is cut off.

        For a call that may run at most once use `may_cut_off` alone: it is accepted
        only if the host can't cut it off, as nobody could know whether it ran.

        Parameters
        ----------
        until : datetime.datetime
            The request's deadline.
        now : datetime.datetime
            The current time.
        """
        accepts_all = not self.is_over and now < self.accepts_all_until
        return accepts_all or not self.may_cut_off(until)


def asked_at(ran_at, now, grace):
    """Return the earliest time at which an order to leave may have arrived.

    Guards against a busy host that counts its grace time from when it handles the
    order. The grace time started earlier, when the order arrived, so the process would
    be killed before its last answers are sent.

    Parameters
    ----------
    ran_at : datetime.datetime
        When the process last ran without having received an order.
    now : datetime.datetime
        When it handles the order.
    grace : datetime.timedelta
        The time between the order and the kill of the process.
    """
    return max(ran_at, now - grace * _MAX_HANDLING_DELAY_SHARE)


def schedule(ordered_at, ends_at):
    """Return the `Departure` of a host that leaves.

    Parameters
    ----------
    ordered_at : datetime.datetime
        The earliest time at which the order to leave may have arrived.
    ends_at : datetime.datetime
        The latest time at which the host ends.
    """
    accepts_all_for = min(
        _CALLERS_LEARN_AFTER, (ends_at - ordered_at) * _ACCEPT_ALL_SHARE
    )
    return Departure(ordered_at + accepts_all_for, ends_at)


def latest_end(ordered_at, grace):
    """Return the time by which a host must end to avoid being killed.

    Parameters
    ----------
    ordered_at : datetime.datetime
        The earliest time at which the grace time may have started.
    grace : datetime.timedelta
        The time between the order to leave and the kill of the process.
    """
    return ordered_at + grace - min(_CLOSING_TIME, grace * _CLOSING_SHARE)
