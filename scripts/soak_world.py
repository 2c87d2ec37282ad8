"""Stand-ins for the fault soak: a store, servers and engines, and the TCP
proxies through which every connection of a daemon goes.

All of them run in the soak's own process, so that faults can be set at any
moment and what servers ran is known at once.
"""

import asyncio
import base64
import bisect
import hashlib
import json
import random
import time
import urllib.parse

HEAD_END = b"\r\n\r\n"
SIGNATURE = "X-Shallotford-Response-Signature"

CONTACT_S = 3.0  # within which the daemons know what one of them was told
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5  # of a limit that a window may hold, and LIMIT_SLACK more
LIMIT_SLACK = 5
CRASHES = 3  # servers that a request may crash
LATE_CRASHES = 3  # arrivals of it later than CONTACT_S after these


def sign(request_id, body):
    """The mark by which a client knows that a body is a server's whole one."""
    return hashlib.sha256(f"{request_id} {body}".encode()).hexdigest()[:16]


def stream_length(request_id):
    """Events of a request's stream."""
    return 3 + int(hashlib.sha256(request_id.encode()).hexdigest()[:4], 16) % 30


def stream_event(request_id, number):
    return f"id: {number}\ndata: {request_id} token {number}\n\n"


async def read_message(reader):
    """Returns (first line, fields, body) of one message with a length."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, fields, body


def write_answer(writer, status, fields, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + HEAD_END + body.encode())


class Port:
    """A listener on a port of the kernel's choice, with its connections."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

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
            pass  # the peer broke off, a fault did, or the soak ends
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Proxy(Port):
    """Passes bytes on to one address, as long as no fault says otherwise."""

    def __init__(self, target):
        super().__init__()
        self.target = target  # a port number
        self.heal()

    def heal(self):
        self.delay = 0.0
        self.silent = set()  # directions in which bytes are held back
        self.refusing = False

    async def serve(self, reader, writer):
        if self.refusing:
            return
        there_reader, there = await asyncio.open_connection(
            "127.0.0.1", self.target)
        self.writers.add(there)
        try:
            relays = [asyncio.create_task(self._relay(reader, there, "to")),
                      asyncio.create_task(
                          self._relay(there_reader, writer, "from"))]
            _, pending = await asyncio.wait(
                relays, return_when=asyncio.FIRST_COMPLETED)
            for relay in pending:
                relay.cancel()
            await asyncio.gather(*relays, return_exceptions=True)
        finally:
            self.writers.discard(there)
            there.transport.abort()

    async def _relay(self, reader, writer, direction):
        while True:
            data = await reader.read(65536)
            while direction in self.silent:
                await asyncio.sleep(0.05)
            if self.delay:
                await asyncio.sleep(self.delay)
            if not data:
                await writer.drain()
                return
            writer.write(data)
            await writer.drain()


class Store(Port):
    """Items with revisions that can be read and watched."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.history = []
        self.era = 1
        self.revision = 1
        self.mood = "well"  # or "busy", "silent", "compacted", "slow"
        self.changed = asyncio.Event()

    def put(self, key, value):
        self._add(key, {"value": base64.b64encode(
            json.dumps(value).encode()).decode()})

    def remove(self, key):
        self._add(key, {"removed": True})

    def go_back(self, revision):
        """Comes back from an older copy; returns the last lost change of each
        key."""
        lost = {i["key"]: i for i in self.history if i["revision"] > revision}
        self.history = [i for i in self.history if i["revision"] <= revision]
        self.items = {i["key"]: i for i in self.history}
        self.revision = revision
        self.era += 1
        self.reset_all()
        return lost

    def write_again(self, key, lost):
        self._add(key, {name: value for name, value in lost.items()
                        if name in ("value", "removed")})

    def _add(self, key, item):
        self.revision += 1
        item = {"key": key, "revision": self.revision, **item}
        self.history.append(item)
        self.items[key] = item
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            first, _, _ = await read_message(reader)
            if self.mood == "slow":
                await asyncio.sleep(0.4)
            if self.mood == "silent":
                await asyncio.sleep(3600)
            path, _, query = first.split(" ")[1].partition("?")
            status, body = await self._answer(
                path, urllib.parse.parse_qs(query))
            write_answer(writer, status, {"Store-Era": self.era},
                         json.dumps(body))
            await writer.drain()

    async def _answer(self, path, query):
        if self.mood == "busy":
            return 503, {}
        if path == "/api/kv-range":
            items = [i for i in self.items.values() if not i.get("removed")]
            return 200, {"items": items, "truncated": False,
                         "current-rev": self.revision}
        if self.mood == "compacted":
            self.mood = "well"
            return 410, {}
        after = int(query["after"][0])
        if after > self.revision:
            return 410, {}
        if after >= self.revision:
            wait = int(query["wait-ms"][0]) / 1000
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        events = [i for i in self.history if i["revision"] > after]
        return 200, {"events": events, "current-rev": self.revision}


class Server(Port):
    """One incarnation of a server of a service; engines have a stage."""

    def __init__(self, world, service, stage=""):
        super().__init__()
        self.world = world
        self.service = service
        self.stage = stage
        self.id = f"i-{world.random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.fault = ""  # or "dark", "slow", "shed", "break", "extra", "fail"
        self.limit = None  # requests a second that its answers name
        self.limited_since = 0.0
        self.arrivals = []  # times, while it has a limit
        self.proxy = None

    async def start(self):
        await self.open()
        self.proxy = Proxy(self.port)
        await self.proxy.open()
        self.publish()

    def publish(self, draining=False):
        entry = {"service": self.service, "address": self.proxy.address,
                 "zone": "z1", "slots": 8, "seq": 1, "born": self.born,
                 "state": "draining" if draining else "ready"}
        if self.stage:
            entry["stage"] = self.stage
        self.world.store.put(f"servers/{self.id}", entry)

    def die(self):
        """Ends at once; its entry is removed later by its owner."""
        self.close()
        self.proxy.close()

    async def serve(self, reader, writer):
        while True:
            first, fields, body = await read_message(reader)
            if self.fault == "dark":
                await asyncio.sleep(3600)
            if self.fault == "slow":
                await asyncio.sleep(0.3)
            if self.limit is not None:
                self.arrivals.append(time.monotonic())
            await self._answer(first, fields, body, writer)
            await writer.drain()

    def name_limit(self, limit):
        self.limit = limit
        self.limited_since = time.monotonic()
        self.arrivals = []

    def end_limit(self):
        """Names no limit any more, and checks what came while it did."""
        allowed = LIMIT_SHARE * self.limit * LIMIT_WINDOW_S + LIMIT_SLACK
        times = [t for t in self.arrivals
                 if t >= self.limited_since + CONTACT_S]
        most = max((bisect.bisect_left(times, t + LIMIT_WINDOW_S) - i
                    for i, t in enumerate(times)), default=0)
        if most > allowed:
            self.world.problem(
                "LIMIT", f"{self.id} named {self.limit:.1f} a second and got "
                f"{most} in {LIMIT_WINDOW_S} s, allowed {allowed:.0f}")
        self.limit = None
        return most

    def _named(self):
        return {} if self.limit is None else {
            "Server-Limit": f"{self.limit:.2f}"}

    async def _answer(self, first, fields, body, writer):
        method, target, _ = first.split(" ")
        request_id = fields.get("x-shallotford-request-id", "")
        if fields.get("x-shallotford-expect-instance") != self.id:
            write_answer(writer, 421, {}, "")
            return
        if target == "/api/hold-take":
            write_answer(writer, 200, {}, json.dumps({"hold": "h"}))
            return
        if target.startswith("/api/"):
            write_answer(writer, 200, {}, "")
            return
        if self.fault == "shed":
            write_answer(writer, 503, {"X-Shallotford-Not-Executed": "1",
                                       **self._named()}, "")
            return
        self.world.check_unchanged(request_id, method, target, body)
        if fields.get("x-shallotford-stage") == "prefill":
            handle = self.world.new_handle(request_id)
            write_answer(writer, 200, self._named(), json.dumps(
                {"handle": handle, "tokens": 9, "version": 1}))
            return
        self.world.on_run(request_id, self, fields)
        if target in self.world.crashing:
            self.world.on_crash(target, self)
            self.die()
            raise ConnectionError("crashed by a request")
        if self.stage:
            await self._stream(request_id, fields, writer)
        else:
            await self._plain(request_id, writer)

    def _fields(self, request_id, mark):
        return {"X-Shallotford-Request-Id": request_id, SIGNATURE: mark,
                **self._named()}

    async def _plain(self, request_id, writer):
        await asyncio.sleep(self.world.random.uniform(0, 0.04))
        body = f"{self.id} ran {request_id}"
        fields = self._fields(request_id, sign(request_id, body))
        if self.fault == "break":
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\npart")
            await writer.drain()
            raise ConnectionError("broken on purpose")
        if self.fault == "fail":
            write_answer(writer, 500, fields, body)
            return
        write_answer(writer, 200, fields, body)
        if self.fault == "extra":
            write_answer(writer, 200, self._fields("other", "x"), "late")

    async def _stream(self, request_id, fields, writer):
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in self._fields(
            request_id, sign(request_id, "stream")).items()]
        writer.write("\r\n".join(lines).encode() + HEAD_END)
        last = stream_length(request_id)
        for number in range(int(fields.get("last-event-id", 0)) + 1, last + 1):
            await asyncio.sleep(self.world.random.uniform(0, 0.03))
            event = stream_event(request_id, number).encode()
            if self.fault == "break" and number > 2:
                event = event[:len(event) // 2]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if self.fault == "break" and number > 2:
                raise ConnectionError("broken on purpose")
        writer.write(b"0\r\n\r\n")


class World:
    """The store, the servers, and what clients sent and servers ran."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = Store()
        self.servers = []
        self.keys = None  # of organisations, if there are any
        self.sent = {}  # request id: (method, target, body)
        self.runs = {}  # request id: servers that began to run it
        self.handles = {}  # handle: request id
        self.crashing = {}  # target: times at which it crashed servers
        self.crashed = []  # servers, until they are replaced
        self.problems = []

    def problem(self, rule, text):
        self.problems.append(f"{rule}: {text}")

    def new_handle(self, request_id):
        handle = f"k{self.random.randrange(1 << 40):010x}"
        self.handles[handle] = request_id
        return handle

    def check_unchanged(self, request_id, method, target, body):
        sent = self.sent.get(request_id)
        if sent is None:
            self.problem("UNASKED", f"no client sent {request_id}")
        elif sent[:3] != (method, target, body):
            self.problem("UNASKED", f"{request_id} arrived changed")

    def on_run(self, request_id, server, fields):
        self.runs.setdefault(request_id, []).append(server.id)
        source = fields.get("x-shallotford-kv-source", "")
        handle = source.rpartition("/")[2]
        if source and self.handles.get(handle) != request_id:
            self.problem("MIXED", f"{request_id} ran with handle {handle}")
        if self.keys:
            self.keys.check_run(request_id, fields)
        sent = self.sent.get(request_id)
        if sent and not sent[3] and len(self.runs[request_id]) > 1:
            self.problem("TWICE", f"{request_id} ran at "
                         f"{self.runs[request_id]}")
        if sent and sent[4] != server.service:
            self.problem("ROUTE", f"{request_id} ran at {server.service}")

    def on_crash(self, target, server):
        times = self.crashing[target]
        times.append(time.monotonic())
        self.crashed.append(server)
        late = [t for t in times[CRASHES:]
                if t > times[CRASHES - 1] + CONTACT_S]
        if len(late) > LATE_CRASHES:
            self.problem("BUDGET", f"{target} crashed {len(times)} servers, "
                         f"{len(late)} of them late")

    async def start_server(self, service, stage=""):
        server = Server(self, service, stage)
        await server.start()
        self.servers.append(server)
        return server
