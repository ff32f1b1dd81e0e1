"""The identity of one life of a target, from its start to its end."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Life:
    """One life of a target.

    A target may start again under the name that it had, and then holds nothing of
    before. So what is known, told or under way at a target belongs to one life.

    Attributes
    ----------
    name : str
        Where targets don't tell their starts, each start has a name of its own.
    born : int
        Milliseconds since the epoch at its start; 0 where it isn't told.
    """

    name: str
    born: int = 0
