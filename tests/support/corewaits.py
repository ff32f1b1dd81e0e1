"""How long processes have waited for a core, as the kernel counts it."""

import pathlib


class CoreWaits:
    """The time for which each of some processes waits for a core from now on.

    Guards against a measure of the machine: beside other load a process may run for
    some milliseconds of the third of a second that something took.

    Parameters
    ----------
    *process_ids : int
        The processes, which must run; of each, its main thread is meant.
    """

    def __init__(self, *process_ids):
        self._before = {number: seconds_waited(number) for number in process_ids}

    def longest(self):
        """Return the longest time; the processes may have waited at once."""
        return max(
            seconds_waited(number) - before for number, before in self._before.items()
        )


def seconds_waited(process_id):
    """Return how long a process has waited for a core so far.

    Raises
    ------
    FileNotFoundError
        If it has exited.
    """
    figures = pathlib.Path(f"/proc/{process_id}/schedstat").read_text()
    _, waited_ns, _ = figures.split()
    return int(waited_ns) / 1e9
