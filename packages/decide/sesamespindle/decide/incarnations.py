"""The identity of one incarnation of a target, from its start until its end."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetIncarnation:
    """One incarnation of a target.

    A target may restart under the same name, and has then lost all its state. So all
    that is known or gossiped about a target, and each request in flight to it, belongs
    to one incarnation.

    Attributes
    ----------
    name : str
        The target's name. Where start times aren't known, each incarnation has a name
        of its own.
    born : int
        Start time, in milliseconds since the epoch; 0 where it isn't known.
    """

    name: str
    born: int = 0
