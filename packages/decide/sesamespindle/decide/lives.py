"""The identity of one incarnation of a target, from its start until its end."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Life:
    """One incarnation of a target.

    A target may restart under the same name, and then has lost all its state.
    So what is known of a target, gossiped about it or in flight at it belongs to one
    incarnation.

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
