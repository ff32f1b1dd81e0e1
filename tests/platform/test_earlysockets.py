"""Listening sockets that open before the daemon's modules are loaded."""

import socket

import pytest
import standins

from sesamespindle.platform import earlysockets


def test_sockets_open_at_the_addresses_for_callers(tmp_path):
    ports = standins.free_ports(2)
    front, directory = (f"127.0.0.1:{port}" for port in ports)
    path = tmp_path / "settings"
    path.write_text(
        f"NodeName=a\nListen.Front={front}\nListen.Control=127.0.0.1:1\n"
        f"Listen.Directory={directory}\n"
    )
    opened = earlysockets.open_sockets(str(path))
    assert sorted(opened) == sorted((front, directory))
    for address, listening in opened.items():
        host, _, port = address.rpartition(":")
        socket.create_connection((host, int(port))).close()
        listening.close()


@pytest.mark.parametrize(
    ("limits", "opens"),
    [
        ("Limits.CpuShare=0.5\nLimits.Cores=2\n", True),
        ("Limits.CpuShare=0.5\nLimits.Cores=1\n", False),
        ("Limits.CpuShare=half\n", False),
    ],
)
def test_a_weak_host_leaves_callers_to_stronger_ones(tmp_path, limits, opens):
    """All hosts restart after a power failure, some in one second, some in several.

    Guards against a weak host that accepts callers early: they wait there in vain,
    while a stronger host could serve them.
    """
    (port,) = standins.free_ports(1)
    path = tmp_path / "settings"
    path.write_text(f"Listen.Front=127.0.0.1:{port}\n{limits}")
    opened = earlysockets.open_sockets(str(path))
    assert bool(opened) is opens
    for listening in opened.values():
        listening.close()


def test_unreadable_settings_and_unusable_addresses_are_skipped(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "settings"
        path.write_text(
            f"Listen.Front=127.0.0.1:{taken.getsockname()[1]}\n"
            "Listen.Directory=127.0.0.1:port\n"
        )
        assert earlysockets.open_sockets(str(path)) == {}
    assert earlysockets.open_sockets(str(tmp_path / "missing")) == {}
    assert earlysockets.open_sockets("") == {}
