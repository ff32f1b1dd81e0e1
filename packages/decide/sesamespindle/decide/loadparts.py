"""Which parts for hard load a deployment calls for.

A deployment that doesn't ask for a part is served without it. What asks is the
deployment's configuration and settings, what its targets say of themselves, or the
operator.
"""

import enum

# The speed of a target that works as usual, in percent of the time that work takes.
USUAL_SPEED = 100


class Part(enum.StrEnum):
    """A part that is built for hard load."""

    # Requests wait at the host in one order, and refused callers return in that order.
    QUEUES = "queues"
    # One host counts the work at each engine, and others ask it before they send.
    KEEPERS = "keepers"
    # Callers are told of hosts by what each can carry.
    WEIGHTED_HOSTS = "weighted_hosts"


class Choice(enum.StrEnum):
    """What the operator says of a part."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


# The parts that targets call for which share their machines with other work.
_FOR_SHARED_MACHINES = frozenset((Part.QUEUES, Part.KEEPERS))


class LoadParts:
    """Says which parts are on.

    Parameters
    ----------
    callers_compete : bool
        Whether the settings say that callers compete for too little room.
    choice_by_part : dict of Part to Choice, optional
        What the operator has chosen; parts that are left out are `Choice.AUTO`.

    Attributes
    ----------
    machines_are_shared : bool
        Whether a target has said that work takes longer or shorter there than usual,
        as it shares its machine.
    """

    def __init__(self, callers_compete=False, choice_by_part=None):
        self._callers_compete = callers_compete
        self._choice_by_part = dict(choice_by_part or {})
        self.machines_are_shared = False

    def is_on(self, part):
        """Return whether a part is on."""
        match self._choice_by_part.get(part, Choice.AUTO):
            case Choice.ON:
                return True
            case Choice.OFF:
                return False
            case _:
                return self._is_called_for(part)

    def note_speed(self, speed):
        """Take note of what a target says of its present speed.

        Parameters
        ----------
        speed : int or None
            How long work takes there now, in percent of the usual; None if the target
            says nothing of it.
        """
        if speed is not None and speed != USUAL_SPEED:
            self.machines_are_shared = True

    def describe(self):
        """Return which parts are on, for the log."""
        on = [part.value for part in Part if self.is_on(part)]
        return ", ".join(on) or "none"

    def _is_called_for(self, part):
        if self._callers_compete:
            return True
        return self.machines_are_shared and part in _FOR_SHARED_MACHINES
