"""The servers of an older version leave, the store forgets its history,
and all machines are killed while streams of both versions run."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from standins import TROUBLE, CannotRun, play  # noqa: E402
from streams import Stream, StreamServer  # noqa: E402

MACHINES = 9
STREAMS, PER_S = 60, 13.0  # the traffic of the sheet
EVENTS, GAP_S = 25, 0.5
SERVED_S = 24  # both versions serve for that long; the store keeps 20 s
RETRIES = 3

CONFIG = {
    "version": 3,
    "routes": [{"name": "r1", "host": "h1.example", "prefix": "/a/",
                "kind": "streaming", "resumable": True, "service": "gen-texte",
                "timeout-ms": 14000, "target-latency-ms": 900,
                "gap-aim-ms": 1000, "max-attempts": 2, "priority": 1}],
    "services": [{"name": "gen-texte", "max-connections": 7560}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def case(world):
    record, store = world.record, world.store
    loop = asyncio.get_running_loop()
    store.put("op/config", CONFIG)

    async def add(version):
        return [await world.add(StreamServer(
            store, record, "gen-texte", zone, version, slots=128,
            events=EVENTS, gap_s=GAP_S)) for zone in world.settings["zones"]]

    old = await add("1")
    await add("2")
    await world.start_daemons()
    await world.until_ready()
    await asyncio.sleep(SERVED_S)

    async def client(number):
        await until(number / PER_S)
        stream = Stream(record, "h1.example", "/a/x",
                        f"{random.randrange(1 << 56):014x}", True)
        await stream.attempt(world.daemons[number % MACHINES].ip,
                             world.ports["front"])
        retries = 0
        while not stream.whole and retries < RETRIES and \
                loop.time() - began < 18:
            machine = random.choice(world.daemons)
            if await stream.attempt(machine.ip, world.ports["front"]):
                retries += 1
            await asyncio.sleep(max(0.3, stream.retry_after))
        return stream

    began = loop.time()

    async def until(seconds):
        await asyncio.sleep(began + seconds - loop.time())

    clients = [asyncio.create_task(client(n)) for n in range(STREAMS)]
    await until(4.8)
    for server in old:
        record.add(f"the entry of {server.id} is removed; it serves on")
        server.unlist()
    await until(8.0)
    if TROUBLE:
        record.add("the store discards its history")
        store.discard_history()
    await until(10.0)
    if TROUBLE:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(0.6)
        for daemon in world.daemons:
            await daemon.process.wait()
            daemon.write_settings([d.address("control")
                                   for d in world.daemons[:3]], False)
            await daemon.start()
    streams = await asyncio.gather(*clients)
    for server in old:
        server.close()

    whole = sum(s.whole for s in streams)
    record.add(f"{whole} of {STREAMS} streams whole, "
               f"{sum(s.attempts > 1 for s in streams)} taken up")
    if not TROUBLE and whole < 0.9 * STREAMS:
        raise CannotRun(f"only {whole} streams were whole")
    return [f"ORDER: stream {s.name} was answered 200 "
            f"and {'is whole' if s.whole else 'ended early'}: its text is "
            f"joined from versions {' and '.join(s.versions())}"
            for s in streams if len(s.versions()) > 1]


sys.exit(play(HERE, MACHINES, case))
