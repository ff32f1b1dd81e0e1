"""The daemon's process, from its announcement on."""

import signal

import yaml

from sesamespindle.declare import settings
from sesamespindle.lab import fleet, processes


def test_an_entry_that_is_told_to_leave_as_it_announces_itself_leaves(go, tmp_path):
    """A new entry is taken back in the moment in which it is there.

    Its ports were open and announced some milliseconds before SIGTERM was
    listened to. In between SIGTERM ended the process outright, and with it all
    that callers had just sent, and peers were not told.
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
