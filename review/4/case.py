"""Prompts that ask for more tokens than an engine's memory end the hosts' processes.

One client allows each of its prompts as many output tokens as an unsigned 64-bit
integer holds, to say that it sets no limit. Engines reject such a prompt as if they
were full. Meanwhile other clients make calls to a plain service on kept connections.
"""

import asyncio
import collections
import pathlib

import desk
import engines
import fleet

HOSTS = 2
KEPT_CLIENTS_PER_HOST = 8
SECONDS = 75.0
PROMPTS_PER_SECOND_PER_HOST = 25
NO_LIMIT = 2**64 - 1
USUAL_LIMIT = 64
# The pause after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.3
# LOST is broken by more than so many calls.
ALLOWED_LOST = 3
# The day has a fault if so many machines have so many ends by themselves.
FAULT_MACHINES, FAULT_ENDS = 2, 3


async def play(record, has_trouble):
    """Play it; return the breaches."""
    async with fleet.Fleet(record) as system:
        model_engines = [
            engines.ModelEngine(f"i-llm-{number}", record, collections.Counter())
            for number in (1, 2)
        ]
        desk_engines = [
            desk.DeskEngine(f"i-desk-{number}", record) for number in (1, 2)
        ]
        routes = [
            fleet.route("/terms/", "streaming", "llm", MaxAttempts=1, Sticky=True),
            fleet.route("/once/", "unsafe", "desk", MaxAttempts=1),
        ]
        services = [engines.service(), desk.service()]
        await system.store.put("config", "main", fleet.manifest(routes, services))
        version = {"Model": engines.MODEL, "Version": 1}
        await system.store.put("versions", engines.MODEL, version)
        for engine in [*model_engines, *desk_engines]:
            await engine.listen()
            await system.store.put("servers", engine.name, engine.entry())
        await system.add_daemons(HOSTS)
        clients = [
            fleet.KeptClient(host.front, "/once/1", f"call-{host.name}-{number}")
            for host in system.daemons
            for number in range(KEPT_CLIENTS_PER_HOST)
        ]
        ends = collections.Counter()
        limit = NO_LIMIT if has_trouble else USUAL_LIMIT
        tasks = [asyncio.create_task(client.run(record)) for client in clients]
        tasks += [
            asyncio.create_task(_restart(host, ends, record)) for host in system.daemons
        ]
        await asyncio.sleep(4.0)
        tasks += [
            asyncio.create_task(_send_prompts(host, limit, record))
            for host in system.daemons
        ]
        start = record.now()
        while record.now() - start < SECONDS and not _has_fault(ends):
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for engine in [*model_engines, *desk_engines]:
            engine.stop()
    if not sum(client.answered for client in clients):
        raise fleet.CannotRunError("No call was served.")
    breaches = []
    if _has_fault(ends):
        breaches.append(f"Fault: processes ended by themselves: {dict(ends)}")
    ran = {attempt for engine in desk_engines for attempt in engine.ran}
    unanswered = [name for client in clients for name in client.unanswered]
    lost = [name for name in unanswered if name in ran]
    if len(lost) > ALLOWED_LOST:
        breaches.append(
            f"LOST: {len(lost)} calls ran at sound engines, and their kept connections "
            f"were closed without an answer: {', '.join(sorted(lost))}"
        )
    return breaches


def _has_fault(ends):
    return sum(count >= FAULT_ENDS for count in ends.values()) >= FAULT_MACHINES


async def _restart(host, ends, record):
    """Start a host's process again whenever it has ended, as the platform does."""
    while True:
        exit_code = await host.wait()
        ends[host.name] += 1
        record.note(
            f"{host.name} has ended by itself, time {ends[host.name]}, code {exit_code}"
        )
        await asyncio.sleep(RESTART_SECONDS)
        await host.start()


async def _send_prompts(host, limit, record):
    """Send prompts with a limit of output tokens."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            attempt = f"prompt-{host.name}-{number}"
            group.create_task(_send_prompt(host, attempt, number, limit, record))
            await asyncio.sleep(1 / PROMPTS_PER_SECOND_PER_HOST)


async def _send_prompt(host, attempt, number, limit, record):
    record.note(f"client: {attempt} sent, {limit} output tokens")
    got = await fleet.ask(
        host.front,
        "/terms/1",
        attempt,
        deadline_ms=3000,
        X_Model=engines.MODEL,
        X_Token_Count=f"120,{limit}",
        X_Prompt_Prefix=f"5c1e07a2:100,{number:x}:20",
    )
    record.note(f"client: {attempt}, {limit} output tokens: {got.status}")


fleet.main(play, pathlib.Path(__file__).parent)
