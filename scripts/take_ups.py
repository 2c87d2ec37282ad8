#!/usr/bin/env python3
"""Plays a release while callers take broken streams up again at other VMs, with
real daemons and stand-ins for everything around them.

Exits 1 if a stream was joined from two software versions or its events came out
of order, and 2 if the play couldn't run. docs/SOAK.md describes the variants.
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import struct
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "common"))

import standins  # noqa: E402
from streams import StreamServer, event  # noqa: E402

ZONES = 3
EVENTS = 24
TIMEOUT_MS, LOW_TIMEOUT_MS = 14000, 6000
WAIT_S = 14.0  # for which a caller waits in all
TAKE_UPS = 2  # of one caller
RELEASE_S, DRAIN_S = 3.0, 3.3
CUT_S = 2.5  # when VMs are stopped or the store is lost, before the release
STOPPED_S = 5.5
SILENCES_S = (1.0, 2.5)
SERVERS_END_S = 5.0
PIECE = 7  # bytes
RESETS = struct.pack("ii", 1, 0)
GATHER_S = 7.0  # in which the VMs find each other
HELD, BROKEN, NOT_RUN = 0, 1, 2


def config(version, timeout_ms, service="gen-texte", second_ms=0):
    config = {
        "version": version,
        "routes": [{"name": "r1", "host": "h1.example", "prefix": "/a/",
                    "kind": "streaming", "resumable": True,
                    "service": service, "timeout-ms": timeout_ms,
                    "target-latency-ms": 900, "gap-aim-ms": 1000,
                    "max-attempts": 2, "priority": 1}],
        "services": [{"name": name, "max-connections": 7560}
                     for name in ("gen-texte", "gen-autre")],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
    if second_ms:
        config["routes"].append({**config["routes"][0], "name": "r2",
                                 "prefix": "/b/", "timeout-ms": second_ms})
    return config


def padded(version, number, size):
    """An event of the stand-ins, made longer by a comment."""
    return f": {'.' * size}\n" * bool(size) + event(version, number)


class Gate(standins.Port):
    """The way of some VMs to the store: it may be closed or hold answers."""

    def __init__(self, store):
        super().__init__()
        self.store, self.passes = store, asyncio.Event()
        self.passes.set()

    async def serve(self, reader, writer):
        await self.store.serve(reader, Held(self.passes, writer))


class Held:
    """A writer whose bytes wait at the gate."""

    def __init__(self, passes, writer):
        self.passes, self.writer, self.held = passes, writer, b""

    def write(self, data):
        self.held += data

    async def drain(self):
        await self.passes.wait()
        self.writer.write(self.held)
        self.held = b""
        await self.writer.drain()


class RoughServer(StreamServer):
    """Streams long events, in pieces, with silences, or without a length; and
    its process may end amid its streams."""

    def __init__(self, options, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.options = options

    async def put(self, writer, data):
        step = PIECE if self.options.pieces else len(data)
        for at in range(0, len(data), step):
            writer.write(data[at:at + step])
            await writer.drain()
            await asyncio.sleep(0.002 if self.options.pieces else 0)

    async def answer(self, method, target, fields, body, writer):
        options, version = self.options, self.entry["version"]
        request = fields.get("x-shallotford-request-id")
        last = int(fields.get("last-event-id") or 0)
        self.record.add(f"run {request} at {self.id}, version {version}, "
                        f"from event {last + 1}")
        framing = ("Transfer-Encoding", "chunked")
        if options.unsized:
            framing = ("Connection", "close")
        named = {**self.signed(fields), "Content-Type": "text/event-stream",
                 framing[0]: framing[1]}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{n}: {v}\r\n" for n, v in named.items()) + "\r\n").encode())
        draw = random.Random(f"{options.seed} {request}")
        silent = draw.randrange(2, EVENTS) if options.silent else 0
        for number in range(last + 1, self.events + 1):
            data = padded(version, number, options.pad).encode()
            if not options.unsized:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            if number == silent:
                await self.put(writer, data[:-9])
                await asyncio.sleep(draw.uniform(*SILENCES_S))
                data = data[-9:]
            await self.put(writer, data)
            await asyncio.sleep(self.gap_s if number < self.events else 0)
        self.record.add(f"ran {request} to its end")
        if options.unsized:
            raise ConnectionError  # the connection closes
        writer.write(b"0\r\n\r\n")

    def end(self, resets):
        """Ends like a killed process, or resets its connections."""
        self.record.add(f"end {self.id}, version {self.entry['version']}")
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            if resets:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            writer.transport.abort()


class Daemon(standins.Daemon):
    binary = ""
    gate = None

    def write_settings(self, seeds, bootstrap):
        super().write_settings(seeds, bootstrap)
        if self.gate is not None:
            with open(self.file, "r+", encoding="utf-8") as file:
                text = file.read().replace(self.world.store.address,
                                           self.gate.address)
                file.seek(0)
                file.truncate()
                file.write(text)

    async def start(self):
        self.starts += 1
        self.log = f"{self.file}.{self.starts}.log"
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "--config", self.file, stdout=log, stderr=log,
                cwd=ROOT)
        self.world.record.add(f"start {self.name} at {self.ip}: {self.binary}")


class Caller:
    """One stream, over all of its attempts."""

    def __init__(self, options, record, name):
        self.options, self.record, self.name = options, record, name
        self.prompt = name
        self.began = time.monotonic()
        self.last, self.whole, self.attempts = 0, False, 0
        self.origin = ""  # the attempt that brought the first event
        self.versions, self.faults = [], []
        self.status, self.retry_after = 0, 0.0
        self.path, self.ip = "/a/x", ""

    def left(self):
        return WAIT_S - (time.monotonic() - self.began)

    def fields(self, request, body):
        fields = [f"POST {self.path} HTTP/1.1", "Host: h1.example",
                  f"X-Shallotford-Request-Id: {request}",
                  "X-Shallotford-Model: m",
                  "X-Shallotford-Token-Count: 5200,71",
                  f"Content-Length: {len(body)}"]
        if not self.options.same_prompt:
            fields.append("X-Shallotford-Prompt-Prefix: "
                          f"5c1e07a2:200,{self.prompt}:5000")
        if self.options.deadline == "fresh":
            fields.append(f"X-Shallotford-Deadline-Ms: {int(WAIT_S * 1000)}")
        elif self.options.deadline == "left":
            fields.append(
                f"X-Shallotford-Deadline-Ms: {int(self.left() * 1000)}")
        if self.last:
            fields.append(f"Last-Event-Id: {self.last}")
            if self.options.named:
                fields.append(f"Resumes: {self.origin}")
        return fields

    async def attempt(self, ip, port):
        """Returns False if no connection was made."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        self.attempts += 1
        self.ip = ip
        self.status, self.retry_after = 0, 0.0
        request = f"{self.name}{self.attempts:02x}"
        body = b'{"prompt":"inquiry"}' if self.options.same_prompt else (
            b'{"prompt":"%s"}' % self.prompt.encode())
        self.record.add(f"send {request} to {ip} after event {self.last}")
        try:
            writer.write("\r\n".join(self.fields(request, body)).encode() +
                         b"\r\n\r\n" + body)
            await asyncio.wait_for(self.read(reader, request),
                                   max(self.left(), 0.1))
            end = "whole" if self.whole else "no stream"
        except (OSError, asyncio.IncompleteReadError) as error:
            end = f"broken ({type(error).__name__})"
        except asyncio.TimeoutError:
            end = "the caller has waited long enough"
        finally:
            writer.close()
        self.record.add(f"answer {request}: status {self.status}, {end}, "
                        f"last event {self.last}")
        return True

    async def read(self, reader, request):
        first, fields = await standins.read_head(reader)
        self.status = int(first.split(" ")[1])
        self.retry_after = float(fields.get("retry-after", 0))
        if self.status != 200:
            return
        rest = ""
        chunked = "transfer-encoding" in fields
        while True:
            if chunked:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = (await reader.readexactly(size + 2))[:size]
            else:
                data = await reader.read(65536)
            if self.options.slow:
                await asyncio.sleep(len(data) / self.options.slow)
            if not data:
                return self.end(rest)
            rest += data.decode()
            while "\n\n" in rest:
                one, rest = rest.split("\n\n", 1)
                self.take(one, request)

    def take(self, text, request):
        number = int(text.split("id: ")[1].split("\n")[0])
        version = text.rsplit(" ", 1)[1]
        if text + "\n\n" != padded(version, number, self.options.pad):
            self.faults.append(f"event {number} isn't what a server wrote")
        if number != self.last + 1:
            self.faults.append(f"event {number} came after {self.last}")
        if self.versions and version != self.versions[-1]:
            self.faults.append(f"joined: version {version} went on after "
                               f"{self.versions[-1]} at event {number}, by "
                               f"{self.ip}")
        self.versions.append(version)
        self.last = number
        self.origin = self.origin or request

    def end(self, rest):
        if rest:
            self.faults.append("the answer ended inside an event")
        if self.last != EVENTS:
            self.faults.append(f"the answer ended at event {self.last}")
        self.whole = True


class Play:
    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.world = standins.World(folder, options.vms)
        Daemon.binary = os.path.join(os.path.abspath(options.build),
                                     "shallotfordd")
        self.world.daemons = [Daemon(self.world, d.name, d.ip, d.zone)
                              for d in self.world.daemons]
        for daemon in self.world.daemons[1::2] if options.second else []:
            daemon.binary = os.path.join(os.path.abspath(options.second),
                                         "shallotfordd")
        self.gate = Gate(self.world.store)
        for daemon in self.world.daemons[:options.store_lost_vms or None]:
            daemon.gate = self.gate
        self.second_ms = LOW_TIMEOUT_MS if options.two_routes else 0

    async def servers(self, version, service="gen-texte"):
        zones = list(self.world.settings["zones"])
        return [await self.world.add(RoughServer(
            self.options, self.world.store, self.world.record, service,
            zones[n % ZONES], version, slots=128, events=EVENTS,
            gap_s=self.options.gap))
            for n in range(self.options.servers)]

    async def until(self, seconds):
        await asyncio.sleep(
            max(self.began + seconds - asyncio.get_running_loop().time(), 0))

    async def caller(self, number):
        options = self.options
        await self.until(options.over * number / options.streams)
        caller = Caller(options, self.world.record,
                        f"{self.random.randrange(1 << 56):014x}")
        if options.prompts:
            caller.prompt = f"{number % options.prompts + 1:08x}"
        if options.two_routes and number % 4 < 2:
            caller.path = "/b/x"
        daemon = self.world.daemons[number % options.vms]
        await caller.attempt(daemon.ip, self.world.ports["front"])
        others = [d for d in self.world.daemons if d is not daemon]
        self.random.shuffle(others)
        while others and not caller.whole and caller.attempts <= TAKE_UPS \
                and caller.left() > 0.5:
            if caller.retry_after:
                if caller.retry_after > caller.left() / 3:
                    break
                await asyncio.sleep(caller.retry_after)
            daemon = others.pop()
            if not await caller.attempt(daemon.ip, self.world.ports["front"]):
                await asyncio.sleep(0.1)
                others.insert(0, daemon)
        return caller

    async def faults(self, old):
        options, store = self.options, self.world.store
        if options.lowered:
            await self.until(options.lowered)
            store.put("op/config", config(5, LOW_TIMEOUT_MS))
        if options.release:
            await self.until(RELEASE_S)
            await self.servers("2")
            await self.until(DRAIN_S)
            for server in old:
                server.publish(state="draining")
        if options.moved:
            await self.until(options.moved)
            await self.servers("3", "gen-autre")
            store.put("op/config", config(5, TIMEOUT_MS, "gen-autre",
                                          self.second_ms))
        if options.gone:
            await self.until(options.gone)
            for server in old:
                server.unlist()
        if options.servers_end:
            await self.until(SERVERS_END_S)
            for server in self.random.sample(old, options.servers_end):
                server.end(options.resets)
        if options.killed:
            await self.until(options.kill_at)
            killed = self.random.sample(self.world.daemons, options.killed)
            for daemon in killed:
                daemon.signal(signal.SIGKILL)
            await asyncio.sleep(2)
            seeds = [d.address("control") for d in self.world.daemons[:3]]
            for daemon in killed:
                await daemon.process.wait()
                daemon.write_settings(seeds, False)
                await daemon.start()

    async def cut(self):
        """Stops VMs, and cuts others off from the store, for a while."""
        options = self.options
        stopped = self.world.daemons[options.vms - options.stopped:]
        await self.until(CUT_S)
        if options.store_lost:
            self.gate.passes.clear()
            if options.store_closes:
                self.gate.close()
        for number, wait in ((signal.SIGSTOP, 0), (signal.SIGCONT, STOPPED_S)):
            await self.until(CUT_S + wait)
            for daemon in stopped:
                if daemon.process.returncode is None:
                    daemon.signal(number)
        await self.until(CUT_S + options.store_lost)
        self.gate.passes.set()
        if options.store_lost and options.store_closes:
            await self.gate.open()

    async def run(self):
        options, world = self.options, self.world
        await world.store.open()
        await self.gate.open()
        world.store.put("op/config", config(
            3, LOW_TIMEOUT_MS if options.low else TIMEOUT_MS,
            second_ms=self.second_ms))
        old = await self.servers("1")
        await world.start_daemons()
        await world.until_ready()
        await asyncio.sleep(GATHER_S)
        self.began = asyncio.get_running_loop().time()
        faults = asyncio.gather(self.faults(old), self.cut())
        callers = await asyncio.gather(*(
            self.caller(n) for n in range(options.streams)))
        await faults
        return callers


def report(callers):
    joined = [c for c in callers if any("joined" in f for f in c.faults)]
    faulty = [c for c in callers if c.faults]
    taken_up = [c for c in callers if c.attempts > 1 and c.versions]
    went_on = [c for c in taken_up if c.whole and not c.faults]
    print(f"streams={len(callers)} whole={sum(c.whole for c in callers)} "
          f"taken_up={len(taken_up)} taken_up_whole={len(went_on)} "
          f"joined={len(joined)} out_of_order={len(faulty) - len(joined)}")
    for caller in faulty[:10]:
        print(f"ORDER: stream {caller.name}, {caller.attempts} attempts: "
              f"{'; '.join(caller.faults)}")
    return BROKEN if faulty else HELD


async def play(options, folder):
    scene = Play(options, folder)
    try:
        return report(await asyncio.wait_for(scene.run(), 110))
    except (standins.CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        scene.gate.close()
        await scene.world.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="folder that holds shallotfordd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=9)
    parser.add_argument("--servers", type=int, default=6, help="a version")
    parser.add_argument("--streams", type=int, default=110)
    parser.add_argument("--over", type=float, default=6.0,
                        help="seconds in which the streams begin")
    parser.add_argument("--killed", type=int, default=0, help="VMs")
    parser.add_argument("--release", action="store_true")
    parser.add_argument("--gone", type=float, default=0,
                        help="second at which the old entries are removed")
    parser.add_argument("--lowered", type=float, default=0,
                        help="second at which the route's timeout is lowered")
    parser.add_argument("--low", action="store_true",
                        help="the route's timeout is low from the start")
    parser.add_argument("--deadline", choices=("fresh", "left", "none"),
                        default="left", help="what each attempt names")
    parser.add_argument("--named", action="store_true",
                        help="attempts name the one with the first event")
    parser.add_argument("--same-prompt", action="store_true",
                        help="all callers send the same prompt and body")
    parser.add_argument("--second", default="",
                        help="folder of shallotfordd for every other VM")
    for name, text in (
            ("store-closes", "it closes connections, and doesn't hold answers"),
            ("two-routes", "half of the callers use one with less time"),
            ("unsized", "answers of servers have no length"),
            ("pieces", "servers write some bytes at a time"),
            ("silent", "servers fall silent inside an event"),
            ("resets", "servers that end reset their connections")):
        parser.add_argument(f"--{name}", action="store_true", help=text)
    for name, text in (
            ("stopped", "VMs stopped for a while over the release"),
            ("store-lost-vms", "VMs that lose the store; all if it is 0"),
            ("prompts", "different prompts; one for each caller if it is 0"),
            ("pad", "bytes added to each event"),
            ("slow", "bytes that a caller reads in a second"),
            ("servers-end", "servers whose process ends amid its streams")):
        parser.add_argument(f"--{name}", type=int, default=0, help=text)
    for name, text in (
            ("store-lost", "seconds without the store, over the release"),
            ("moved", "second at which the route gets another service")):
        parser.add_argument(f"--{name}", type=float, default=0, help=text)
    parser.add_argument("--gap", type=float, default=0.3,
                        help="seconds between two events")
    parser.add_argument("--kill-at", type=float, default=7.7, help="second")
    parser.add_argument("--record", default="", help="folder for the record")
    options = parser.parse_args()
    folder = options.record or standins.tempfile.mkdtemp(prefix="take-ups-")
    os.makedirs(folder, exist_ok=True)
    try:
        return asyncio.run(play(options, folder))
    finally:
        if not options.record:
            standins.shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
