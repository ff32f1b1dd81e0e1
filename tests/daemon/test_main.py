"""The daemon's process after it has announced its addresses on standard output."""

import signal

import yaml

from sesamespindle.declare import settings
from sesamespindle.lab import fleet, processes


def test_an_entry_shuts_down_cleanly_on_sigterm_just_after_its_announcement(
    go, tmp_path
):
    """SIGTERM arrives just after a new entry has announced itself.

    If the ports are open some milliseconds before the handler of SIGTERM is installed,
    the signal kills the process at once: requests in flight are lost, and peers don't
    learn that the entry has left.
    """
    path = tmp_path / "entry.yaml"
    values = {
        "name": "entry-1",
        "data_centre": "kgl-1",
        "platform_url": "http://127.0.0.1:1",
    }
    path.write_text(yaml.safe_dump(values), "utf-8")
    secrets = {
        settings.TOKEN_KEY_VARIABLE: fleet.TOKEN_KEY,
        settings.ADMIN_KEY_VARIABLE: fleet.ADMIN_KEY,
    }

    async def run():
        arguments = ["sesamespindle.daemon.main", str(path)]
        process = await processes.start("entry-1", arguments, tmp_path, secrets)
        process.send_signal(signal.SIGTERM)
        return await process.wait()

    assert go(run()) == 0
    assert "Has left." in (tmp_path / "entry-1.log").read_text("utf-8")
