"""Stand-ins for the script of this review: the platform's store, model servers,
clients, and the daemon's processes.

They follow PROTOCOL.md. Everything listens on 127.0.0.1, on ports that the
kernel chooses. All stand-ins run in the script's own process, so it knows what
each server ran; the daemons are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
SIGNATURE = "X-Shallotford-Response-Signature"
REQUEST_ID = "X-Shallotford-Request-Id"
NOT_RUN = "X-Shallotford-Not-Executed"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port(used=set()):  # pylint: disable=dangerous-default-value
    """Returns a free port below those that the kernel gives to others before
    the daemon listens there."""
    while True:
        port = random.randrange(15000, 32000)
        if port in used:
            continue
        used.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def run_command():
    """Returns the words of the deploy file's command."""
    with open(os.path.join(ROOT, "deploy/system.toml"),
              encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                return shlex.split(json.loads(line.partition("=")[2]))
    raise RuntimeError("the deploy file has no command")


async def read_head(reader):
    """Returns (first line, fields with names in lower case)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_message(reader):
    first, fields = await read_head(reader)
    length = int(fields.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, fields, body


def answer_bytes(status, fields, body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Port:
    """A listener with its connections."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def close(self):
        """Accepts nothing more and resets what is open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Port):
    """The platform's store: items with revisions, read and watched."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        self._add(key, {"value": base64.b64encode(
            json.dumps(value).encode()).decode()})

    def remove(self, key):
        self._add(key, {"removed": True})

    def _add(self, key, item):
        self.revision += 1
        known = self.items.get(key)
        lives = known is not None and not known.get("removed")
        created = known["create-rev"] if lives else self.revision
        item = {"key": key, "revision": self.revision, **item}
        if not item.get("removed"):
            item.update({"create-rev": created, "lease": 0})
        self.history.append(item)
        self.items[key] = item
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            first, _, _ = await read_message(reader)
            path, _, query = first.split(" ")[1].partition("?")
            wanted = dict(part.partition("=")[::2]
                          for part in query.split("&"))
            await asyncio.sleep(0.004)
            status, body = await self._answer(path, wanted)
            writer.write(answer_bytes(
                status, {"Content-Type": "application/json"},
                json.dumps(body)))
            await writer.drain()

    async def _answer(self, path, wanted):
        if path == "/api/kv-range":
            items = [item for _, item in sorted(self.items.items())
                     if not item.get("removed")]
            return 200, {"items": items, "truncated": False,
                         "current-rev": self.revision}
        after = int(wanted["after"])
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(wanted["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        events = [item for item in self.history if item["revision"] > after]
        return 200, {"events": events, "current-rev": self.revision}


class Server(Port):
    """One incarnation of a model server."""

    born_last = 0

    def __init__(self, world, service, stage, version="1", zone="z1"):
        super().__init__()
        self.world = world
        self.service = service
        self.stage = stage
        self.version = version
        self.zone = zone
        Server.born_last = max(Server.born_last + 1, int(time.time() * 1000))
        self.born = Server.born_last
        self.id = f"i-{os.urandom(5).hex()}"
        self.seq = 0
        self.holds = 0
        self.fence = 0  # the highest that came with an order
        self.is_busy = False  # an order is in progress

    async def start(self):
        await self.open()
        self.publish()
        return self

    def entry(self, state="ready"):
        self.seq += 1
        entry = {"service": self.service, "address": self.address,
                 "zone": self.zone, "version": self.version, "slots": 16,
                 "state": state, "cold-ms": 0, "seq": self.seq,
                 "born": self.born, "stage": self.stage}
        return entry

    def publish(self, state="ready"):
        self.world.store.put(f"servers/{self.id}", self.entry(state))

    async def serve(self, reader, writer):
        while True:
            first, fields, body = await read_message(reader)
            method, target, _ = first.split(" ")
            if fields.get("x-shallotford-expect-instance",
                          self.id) != self.id:
                writer.write(answer_bytes(421, {NOT_RUN: "1"}))
            elif target.startswith("/api/"):
                await self.engine_call(method, target, body, writer)
            elif fields.get("x-shallotford-stage") == "prefill":
                await self.prefill(fields, body, writer)
            else:
                await self.run(method, target, fields, body, writer)
            await writer.drain()

    async def engine_call(self, method, target, body, writer):
        if target == "/api/hold-take":
            self.holds += 1
            writer.write(answer_bytes(
                200, {"Content-Type": "application/json"},
                json.dumps({"hold": f"h{self.holds}-{self.id}"})))
        elif target == "/api/order":
            writer.write(answer_bytes(self.take_order(json.loads(body)), {}))
        else:
            writer.write(answer_bytes(200, {}))

    def take_order(self, order):
        """Carries an order out as the protocol says, and returns the status.
        require-fencing applies."""
        self.world.on_order(self, order)
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["stage"] == self.stage:
            return 200
        if self.is_busy:
            return 409
        self.is_busy = True
        asyncio.get_running_loop().call_later(
            6.0, self.end_order, order["stage"])
        return 202

    def end_order(self, stage):
        self.is_busy = False
        self.stage = stage
        self.publish()

    async def prefill(self, fields, body, writer):
        request = fields.get("x-shallotford-request-id", "")
        handle = os.urandom(6).hex()
        self.world.record(f"prefill {request} at {self.id}: {handle}")
        await asyncio.sleep(0.05)
        writer.write(answer_bytes(
            200, {"Content-Type": "application/json", REQUEST_ID: request},
            json.dumps({"handle": handle, "tokens": 1000, "version": 1})))

    async def run(self, method, target, fields, body, writer):
        request = fields.get("x-shallotford-request-id", "")
        self.world.on_run(self, request, fields)
        await self.stream(request, fields, writer)

    async def stream(self, request, fields, writer):
        """Sends the events after Last-Event-Id, as a resumed run does."""
        done = int(fields.get("last-event-id") or 0)
        await asyncio.sleep(self.world.first_s)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 f"{REQUEST_ID}: {request}", f"{SIGNATURE}: sig-{request}",
                 "X-Shallotford-Weight-Versions: 1",
                 "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(done + 1, self.world.events + 1):
            event = self.event(number, request).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.world.gap_s)
        writer.write(b"0\r\n\r\n")

    def event(self, number, request):
        return (f"id: {number}\ndata: piece {number} of service "
                f"{self.service} version {self.version}\n\n")


class Vm:
    """One daemon's process."""

    def __init__(self, world, number, zone, limits=None):
        self.world = world
        self.name = f"vm-{number}"
        self.zone = zone
        self.limits = limits or {"memory_mb": 110, "max_descriptors": 4100,
                                 "max_connections": 4096}
        self.ports = {name: free_port() for name in
                      ("callers", "peers", "operators", "metrics", "relays")}
        self.file = os.path.join(world.folder, self.name + ".json")
        self.process = None
        self.starts = 0

    @property
    def peer(self):
        return f"127.0.0.1:{self.ports['peers']}"

    def write_settings(self, seeds, first_start):
        zones = {zone: zone for zone in self.world.zones}
        settings = {name: {"listen": f"127.0.0.1:{port}"}
                    for name, port in self.ports.items()}
        settings.update({
            "platform": self.world.store.address, "region": self.zone,
            "failure_domain": self.zone, "limits": self.limits,
            "routing": {
                "seeds": seeds, "failure_domains": zones,
                "retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
                "drain_s": 8, "history_s": 20, "heartbeat_ms": 1200,
                "changes_within_ms": 2500, "first_start": first_start,
                "typical_prompt_tokens": 5200,
                "typical_output_tokens": 780}})
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self, seeds, first_start):
        self.starts += 1
        self.write_settings(seeds, first_start)
        words = run_command()
        words[words.index("--config") + 1] = self.file
        with open(f"{self.file}.{self.starts}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.world.folder,
                     "LANG": "C.UTF-8"})
        self.world.record(f"{self.name} starts, process {self.process.pid}")

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.is_up():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.world.record(f"{self.name} was killed")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["operators"])
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _, _ = await asyncio.wait_for(read_message(reader), 2)
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()


class World:
    """A small deployment. Its folder is temporary."""

    def __init__(self, case, zones=("z1", "z2", "z3"), vms=3, limits=None):
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.record = Record(case)
        self.zones = zones
        self.store = Store()
        self.vms = [Vm(self, n, zones[n % len(zones)], limits)
                    for n in range(vms)]
        self.servers = []
        self.runs = []  # (time, server, request id, fields)
        self.orders = []  # (time, server, holder, fence)
        self.first_s = 0.1
        self.gap_s = 0.03
        self.events = 71

    @property
    def seeds(self):
        return [vm.peer for vm in self.vms[:3]]

    def on_run(self, server, request, fields):
        self.runs.append((time.monotonic(), server, request, fields))
        source = fields.get("x-shallotford-kv-source", "")
        after = fields.get("last-event-id", "")
        self.record(f"run {request} at {server.id} ({server.service} "
                    f"{server.version})"
                    + (f" from handle {source}" if source else "")
                    + (f" after event {after}" if after else ""))

    def on_order(self, server, order):
        self.orders.append((time.monotonic(), server, order["holder"],
                            order["fence"]))
        self.record(f"order at {server.id}: {json.dumps(order)}")

    async def add(self, service, stage, version="1", zone="z1"):
        server = Server(self, service, stage, version, zone)
        await server.start()
        self.servers.append(server)
        return server

    async def start_vms(self, first_start=True):
        for vm in self.vms:
            await vm.start(self.seeds, first_start)
        await self.wait_ready()

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{vm.name} is not ready")
                await asyncio.sleep(0.05)
        self.record("all VMs are ready")

    async def close(self):
        for vm in self.vms:
            await vm.kill()
        for server in self.servers:
            server.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status 0 without a head, whole if it ended well."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.whole = False

    @property
    def events(self):
        """Complete events as (number, text)."""
        found = []
        for event in self.body.decode().split("\n\n")[:-1]:
            lines = event.split("\n")
            number = next(int(line[3:]) for line in lines
                          if line.startswith("id:"))
            found.append((number, lines[-1].removeprefix("data: ")))
        return found


def request_bytes(method, target, request, deadline_ms, fields=None,
                  body=b"", host="desk.example"):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
             f"{REQUEST_ID}: {request}",
             f"X-Shallotford-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader, answer):
    first, answer.fields = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.fields:
        answer.body = await reader.readexactly(
            int(answer.fields["content-length"]))
    else:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:size]
            if size == 0:
                break
    answer.whole = True


async def ask(world, vm, method, target, request, deadline_ms, fields=None,
              body=b"", host="desk.example"):
    """Sends one request on a new connection, as clients do."""
    answer = Answer()
    world.record(f"sent {request} to {vm.name}: {method} {target}"
                 + "".join(f", {n}: {v}" for n, v in (fields or {}).items()
                           if n.startswith("Last")))
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            "127.0.0.1", vm.ports["callers"]), 1)
    except (OSError, asyncio.TimeoutError):
        world.record(f"answer {request}: no connection")
        return answer
    try:
        writer.write(request_bytes(method, target, request, deadline_ms,
                                   fields, body, host))
        await asyncio.wait_for(read_answer(reader, answer),
                               deadline_ms / 1000)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        writer.transport.abort()
    world.record(f"answer {request}: {answer.status or 'none'}"
                 f"{'' if answer.whole else ', broken off'}, "
                 f"{len(answer.body)} bytes"
                 + (f", Retry-After {answer.fields['retry-after']}"
                    if "retry-after" in answer.fields else ""))
    return answer


def main(play, **shape):
    """Runs a case: play(world) returns whether the rule held."""
    case = sys.argv[1]

    async def whole():
        world = World(case, **shape)
        try:
            await world.store.open()
            held = await asyncio.wait_for(play(world), 105)
            world.record("the rule " + ("held" if held else "was broken"))
            return 0 if held else 1
        finally:
            await world.close()

    try:
        code = asyncio.run(whole())
    except Exception as error:  # the case could not run
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    print({0: "the rule held", 1: "the rule was broken",
           2: "the case could not run"}[code])
    sys.exit(code)
