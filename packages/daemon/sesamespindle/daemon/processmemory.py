"""The memory of this process."""

import os
import pathlib
import resource

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes():
    """Return the resident memory of this process; its peak if that alone is known."""
    try:
        _, pages, *_ = pathlib.Path("/proc/self/statm").read_text().split()
        return int(pages) * _PAGE_BYTES
    except (OSError, ValueError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
