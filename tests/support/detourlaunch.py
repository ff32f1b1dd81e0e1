"""Launches a daemon whose connections to some addresses lead elsewhere.

The file that the environment variable `DETOURS_PATH` names maps addresses to others, as
JSON, and may change at any time. So a test can disturb the paths of one host to targets
whose address is the same for all hosts. While it also maps `DATAGRAMS`, the host
neither sends nor receives datagrams.
"""

import importlib
import json
import os
import runpy
import socket

DATAGRAMS = "datagrams"


class _Detours:
    def __init__(self, path):
        self._path = path
        self._read_at = None
        self._address_by_address = {}

    def lead(self, address):
        """Return the address to connect to in place of another one."""
        self._read()
        host, port = address[:2]
        led = self._address_by_address.get(f"{host}:{port}")
        if led is None:
            return address
        host, _, port = led.rpartition(":")
        return host, int(port)

    def lose_datagrams(self):
        """Return whether datagrams are lost now."""
        self._read()
        return DATAGRAMS in self._address_by_address

    def _read(self):
        changed_at = os.stat(self._path).st_mtime_ns
        if changed_at == self._read_at:
            return
        with open(self._path) as file:
            self._address_by_address = json.load(file)
        self._read_at = changed_at


def _lead_connections(detours):
    class DetouredSocket(socket.socket):
        def connect(self, address):
            return super().connect(detours.lead(address))

    socket.socket = DetouredSocket


def _lose_datagrams(detours):
    module = importlib.import_module("sesamespindle.daemon.datagrams")

    class DetouredDatagrams(module.Datagrams):
        def send(self, payload, peer):
            if not detours.lose_datagrams():
                super().send(payload, peer)

        def datagram_received(self, data, addr):
            if not detours.lose_datagrams():
                super().datagram_received(data, addr)

    module.Datagrams = DetouredDatagrams


def _launch():
    detours = _Detours(os.environ["DETOURS_PATH"])
    # The event loop takes the class from the module as it is loaded, so this is first.
    _lead_connections(detours)
    _lose_datagrams(detours)
    runpy.run_module("sesamespindle.platform.launch", run_name="__main__")


if __name__ == "__main__":
    _launch()
