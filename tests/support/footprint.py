"""What a process holds: memory, received bytes that it hasn't read, descriptors."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib

# Pauses between two samples, in seconds.
_SAMPLE_SECONDS = 0.02
_LISTENING = "0A"


@dataclasses.dataclass(slots=True)
class Peak:
    """The most that a process held, each figure by itself.

    Attributes
    ----------
    memory_bytes : int
        Resident memory and unread bytes together.
    resident_bytes, unread_bytes : int
        Resident memory; bytes received by the kernel that the process hasn't read,
        also on connections that it hasn't accepted.
    sockets, descriptors : int
        Open sockets and pipes, and all open descriptors.
    """

    memory_bytes: int = 0
    resident_bytes: int = 0
    unread_bytes: int = 0
    sockets: int = 0
    descriptors: int = 0

    def include(self, other):
        """Raise each figure to that of another `Peak`."""
        for field in dataclasses.fields(self):
            name = field.name
            setattr(self, name, max(getattr(self, name), getattr(other, name)))


def measure(process_id, ip):
    """Return the `Peak` of one moment; None if the process has exited.

    Parameters
    ----------
    process_id : int
        The process.
    ip : str
        The loopback address that only this process listens at.
    """
    try:
        resident = _resident_bytes(process_id)
        names = [_target_of(entry) for entry in os.scandir(f"/proc/{process_id}/fd")]
    except (FileNotFoundError, ProcessLookupError):
        return None
    inodes = {name[8:-1] for name in names if name.startswith("socket:")}
    pipes = sum(name.startswith("pipe:") for name in names)
    unread = _unread_bytes(inodes, ip)
    return Peak(resident + unread, resident, unread, len(inodes) + pipes, len(names))


@contextlib.asynccontextmanager
async def watch(process_id, ip):
    """Yield the `Peak` of a process, which is updated until the context is left.

    Parameters
    ----------
    process_id : int
        The process.
    ip : str
        The loopback address that only this process listens at.
    """
    peak = Peak()
    sampling = asyncio.create_task(_sample(process_id, ip, peak))
    try:
        yield peak
    finally:
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)


async def _sample(process_id, ip, peak):
    while (moment := measure(process_id, ip)) is not None:
        peak.include(moment)
        await asyncio.sleep(_SAMPLE_SECONDS)


def _target_of(entry):
    try:
        return os.readlink(entry.path)
    except FileNotFoundError:
        return ""


def _resident_bytes(process_id):
    lines = pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    if "VmRSS" not in values:
        raise ProcessLookupError
    return int(values["VmRSS"].split()[0]) * 1024


def _unread_bytes(inodes, ip):
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    unread = 0
    for name in ("tcp", "tcp6"):
        for line in pathlib.Path(f"/proc/net/{name}").read_text().splitlines()[1:]:
            columns = line.split()
            if columns[3] == _LISTENING:
                continue
            is_own = columns[1].startswith(local) or columns[9] in inodes
            if is_own:
                unread += int(columns[4].partition(":")[2], 16)
    return unread
