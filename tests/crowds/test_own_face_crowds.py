"""Crowds that hold much, against a real daemon with the product's own interface.

Each test guards against a process that ends, or that holds more than its settings
allow, as clients it doesn't control hold what they send or don't read what they get.
"""

import contextlib
import json
import os

import crowds
import footprint
import pytest
import standins

from sesamespindle.lab import caller, fleet

# What the default settings allow a daemon.
MEMORY_BYTES = 512 * 1024 * 1024
DESCRIPTORS = 2048
# The default limit of a body.
BODY_BYTES = 4 * 1024 * 1024
IP = f"127.77.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"
ACCOUNT = "interpreters"
PORTS = ("url", "admin_url")


@pytest.fixture
def one_entry(start_fleet):
    """Provide a fleet of one entry and one engine, which nothing has used yet."""
    address = {"host": IP}
    return start_fleet(
        entries=1,
        engines=1,
        store_hosts=0,
        services=0,
        settings={"listen": address, "admin": address, "peers": address},
    )


def port_of(process, name):
    return int(process.announced[name].rpartition(":")[2])


def head(method, path, *lines):
    fields = (
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {fleet.demo_key(ACCOUNT)}",
        *lines,
    )
    return "\r\n".join([*fields, "", ""]).encode()


def bodies(content, length):
    """Return a function of the bytes of requests with bodies.

    Parameters
    ----------
    content : bytes
        What is sent of each body.
    length : int
        The length that their heads announce.
    """

    def pieces(number):
        yield head("POST", "/v1/chat/completions", f"Content-Length: {length}")
        yield content

    return pieces


def header_lines(number):
    yield head("GET", "/v1/models").removesuffix(b"\r\n")
    for index in range(60):
        yield b"X-Filler-%d: " % index + b"f" * 15_000 + b"\r\n"


def questions(number):
    for _ in range(2000):
        yield head("GET", "/v1/models")


def nothing(number):
    return iter(())


async def serves(one_entry, label):
    """Wait until an ordinary prompt is answered, and a reader of the admin API."""
    user = caller.Caller(one_entry.session, fleet.demo_key(ACCOUNT))
    url = one_entry.url("entry-1")

    async def is_answered():
        reply = await user.complete(url, "glossary", f"ordinary {label}", 2)
        return reply.status == 200

    async def shows_status():
        with contextlib.suppress(OSError, ValueError):
            return "targets" in await one_entry.status("entry-1")
        return False

    await standins.until(is_answered)
    await standins.until(shows_status)


async def bear(one_entry, port, count, pieces, reads=True):
    process = one_entry.process_by_name["entry-1"]
    await serves(one_entry, "before")
    async with footprint.watch(process.pid, IP) as peak:
        number = port_of(process, port)
        async with crowds.Crowd(IP, number, count, pieces, reads) as crowd:
            await crowd.settled()
            await serves(one_entry, "beside")
        await serves(one_entry, "after")
    assert process.running
    assert peak.memory_bytes <= MEMORY_BYTES, peak
    assert peak.descriptors <= DESCRIPTORS, peak


@pytest.mark.parametrize("port", PORTS)
def test_bodies_that_lack_their_last_byte(one_entry, go, port):
    """Guards against bodies of legal size that stay in memory without an end."""
    pieces = bodies(b"b" * (BODY_BYTES - 1), BODY_BYTES)
    go(bear(one_entry, port, 250, pieces))


def test_bodies_of_very_many_values(one_entry, go):
    """Guards against JSON that takes many times its bytes once it is decoded."""
    message = {"role": "user", "content": ""}
    count = BODY_BYTES // (len(json.dumps(message)) + 2) - 10
    body = json.dumps({"model": "glossary", "messages": [message] * count}).encode()
    go(bear(one_entry, "url", 12, bodies(body, len(body))))


def test_bodies_of_very_many_lists(one_entry, go):
    """Guards against lists of lists, of which each takes many times its two bytes."""
    body = b'{"model": "glossary", "messages": [' + b"[]," * (BODY_BYTES // 3 - 20)
    body += b"[]]}"
    go(bear(one_entry, "url", 12, bodies(body, len(body))))


@pytest.mark.parametrize("port", PORTS)
def test_heads_without_an_end(one_entry, go, port):
    """Guards against header lines that are kept until the head ends."""
    go(bear(one_entry, port, 800, header_lines))


@pytest.mark.parametrize("port", PORTS)
def test_connections_that_say_nothing(one_entry, go, port):
    """Guards against idle connections that use up the descriptors."""
    go(bear(one_entry, port, 3000, nothing))


def test_questions_whose_answers_nobody_reads(one_entry, go):
    """Guards against own answers that wait for callers that don't read them."""
    go(bear(one_entry, "url", 800, questions, reads=False))
