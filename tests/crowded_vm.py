"""Crowds that press a small VM to its memory or its connections, against one
daemon after the other.

Usage: crowded_vm.py BUILD [KIND ...]

The daemon's settings name the memory of its VM. Its peak must stay within that,
its descriptors within what its connections need, it must be alive, and one
ordinary request must be answered beside the crowd and another one afterwards.
Nothing here judges times or the share of requests that is served.
"""

import asyncio
import os
import shutil
import socket
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scripts"))
from fleet import Fleet, fetch  # noqa: E402
from soak import Daemon, config  # noqa: E402
from soak_keys import Keys  # noqa: E402
from soak_world import (SIGNATURE, Server, World,  # noqa: E402
                        read_message, sign, write_answer)
from untrusted_clients import fields, request  # noqa: E402

MEMORY_MB = 48  # "limits.memory_mb" of the daemon
MAX_CONNECTIONS = 300  # "limits.max_connections"
OTHER_DESCRIPTORS = 128  # of listeners, peers and the store
CROWD = 240  # below MAX_CONNECTIONS, so that an ordinary caller finds room
TAKERS = MAX_CONNECTIONS + 40  # above it
POSTERS = 120  # of bodies of 1 MB but for a byte
UPLOADS = 20  # at once, of UPLOAD bytes each
UPLOAD = 4 << 20
MAX_BODY = 1 << 20  # limits of the configuration
MAX_HEAD = 16 << 10
HELD = 240 << 10  # an answer that is held until it is complete
LATE = 10 << 10  # its last bytes, which come later
LONG = 4 << 20  # an answer that is too long to be held
STREAM = 1 << 20  # bytes of a stream
DELAY_S = 1.0  # until an answer, so that all requests are under way
HOLD_S = 4.0  # in which the crowd's answers arrive
AGAIN_S = 0.1  # until a client that was closed comes back
ANSWER_S = 30.0  # within which an ordinary request is answered
LIMIT_MS = 60000  # of idle connections and of heads: longer than a play


class Upstream(Server):
    """Answers by the target: late, at length, in parts, or not well."""

    async def start(self):
        await self.open()
        self.proxy = self  # no fault needs one
        self.publish()

    async def _answer(self, first, fields, body, writer):
        target = first.split(" ")[1]
        if target.startswith("/api/"):
            await super()._answer(first, fields, body, writer)
            return
        request_id = fields.get("x-shallotford-request-id", "")
        if fields.get("x-shallotford-stage") == "prefill":
            write_answer(writer, 200, {}, '{"handle":"h","tokens":9,'
                                          '"version":1}')
            return
        if "held" in target or "late" in target:
            await asyncio.sleep(DELAY_S)
        sizes = {"held": HELD, "late": HELD, "unsized": HELD, "fails": HELD,
                 "long": LONG}
        size = next((sizes[n] for n in sizes if n in target), 8)
        text = "x" * size
        named = self._fields(request_id, sign(request_id, text))
        if self.stage or "stream" in target:
            await self._events(named, writer)
        elif "unsized" in target:
            await self._chunks(named, text, writer)
        elif "late" in target:
            await self._parts(named, text, writer)
        else:
            write_answer(writer, 500 if "fails" in target else 200, named,
                         text)

    @staticmethod
    def _begin(fields, writer):
        lines = ["HTTP/1.1 200 X"] + [f"{n}: {v}" for n, v in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _events(self, named, writer):
        self._begin({**named, "Content-Type": "text/event-stream",
                     "Transfer-Encoding": "chunked"}, writer)
        for number in range(STREAM >> 12):
            event = f"id: {number + 1}\ndata: {'x' * 4000}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def _chunks(self, named, text, writer):
        self._begin({**named, "Transfer-Encoding": "chunked"}, writer)
        await asyncio.sleep(DELAY_S)
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text.encode()))

    async def _parts(self, named, text, writer):
        self._begin({**named, "Content-Length": len(text)}, writer)
        writer.write(text[:-LATE].encode())
        await writer.drain()
        await asyncio.sleep(2 * DELAY_S)
        writer.write(text[-LATE:].encode())


def post(number, size, target="/once/x"):
    """A request but for the last byte of its body."""
    return request(number, target, b"b" * (size - 1), length=size)


def chat(_):
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {MAX_BODY}\r\n\r\n").encode() + \
        b"{" + b" " * (MAX_BODY - 2)


def key(number):
    first, rest = request(number, pad=1000).split(b"\r\n", 1)
    return first + b"\r\nAuthorization: Bearer none\r\n" + rest


MIXED = [  # by turns
    lambda n: request(n, "/safe/held"),
    lambda n: b"".join(request(f"{n}-{i}", "/safe/held", pad=7000)
                       for i in range(8)),
    lambda n: b"".join(request(f"{n}-{i}", "/once/held", b"b" * (16 << 10))
                       for i in range(8)),
    lambda n: request(n, pad=MAX_HEAD - 300)[:-2],
    lambda n: request(n, "/events/stream"),
    lambda n: post(n, MAX_BODY),
]


class Kind:
    """What a crowd does.

    make: number of the client to what it sends
    connections: how many clients
    upstreams: connections to upstreams that each client's request takes; a
        stream of engines goes to one that reads its prompt, and to another one
    reads: whether they read what comes
    again: whether they send the same again once it is answered, and come back
        once they are closed
    """

    def __init__(self, make, connections=CROWD, reads=False, again=False,
                 port="callers", beside=True, keys=False, upstreams=1):
        self.make = make
        self.connections = connections
        self.reads = reads
        self.again = again
        self.port = port
        self.beside = beside
        self.keys = keys
        self.max_descriptors = (1 + upstreams) * MAX_CONNECTIONS + \
            OTHER_DESCRIPTORS


KINDS = {
    "held_unread": Kind(lambda n: request(n, "/safe/held")),
    "held_read": Kind(lambda n: request(n, "/safe/held"), reads=True,
                      again=True),
    "held_late": Kind(lambda n: request(n, "/once/late")),
    "held_unsized": Kind(lambda n: request(n, "/safe/unsized")),
    "held_failures": Kind(lambda n: request(n, "/safe/fails-held")),
    "held_twice": Kind(lambda n: request(f"{n}-0", "/safe/held") +
                       request(f"{n}-1", "/safe/held")),
    "streams": Kind(lambda n: request(n, "/events/stream")),
    "engine_streams": Kind(lambda n: request(n, "/fixed/x"), upstreams=2),
    "fields": Kind(fields),
    "mixed": Kind(lambda n: MIXED[n % len(MIXED)](n)),
    "keys": Kind(lambda n: b"".join(key(f"{n}-{i}") for i in range(100)),
                 keys=True),
    "peers": Kind(lambda n: post(n, MAX_BODY, "/rpc"), POSTERS, port="peers"),
    "operators": Kind(lambda n: post(n, 60 << 10, "/metrics"), POSTERS,
                      port="operators"),
    "relays": Kind(lambda n: post(n, MAX_BODY), POSTERS, port="relays"),
    "taken_silent": Kind(lambda n: b"", TAKERS, reads=True, again=True),
    "taken_heads": Kind(lambda n: request(n)[:-2], TAKERS, reads=True,
                        again=True),
    "taken_answered": Kind(request, TAKERS, reads=True, again=True),
    "taken_unread": Kind(lambda n: request(n, "/safe/held"), TAKERS),
}
OWN_KINDS = {
    "own_callers": Kind(chat, POSTERS),
    "own_peers": Kind(lambda n: post(n, MAX_BODY, "/"), POSTERS, port="peers"),
    "own_operators": Kind(lambda n: post(n, MAX_BODY, "/"), POSTERS,
                          port="operators"),
}


class Play:
    """One daemon under one kind of crowd."""

    def __init__(self, build):
        self.build = build
        self.over = asyncio.Event()

    async def wait(self, seconds):
        """Waits for so long, or until the crowd's end."""
        try:
            await asyncio.wait_for(self.over.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    def peak(self):
        with open(f"/proc/{self.pid()}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) << 10 for line in file
                        if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid()}/fd"))

    async def ordinary(self, ask=None):
        """One caller that sends its request again while it is refused."""
        end = asyncio.get_running_loop().time() + ANSWER_S
        while asyncio.get_running_loop().time() < end:
            try:
                return await asyncio.wait_for((ask or self.ask)(), 5)
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                await asyncio.sleep(AGAIN_S)
        raise RuntimeError("an ordinary request isn't answered")

    async def client(self, number, kind):
        while not self.over.is_set():
            try:
                await self.connection(number, kind)
            except OSError:
                pass  # refused or closed
            if not kind.again:
                return
            await self.wait(AGAIN_S)

    async def connection(self, number, kind):
        loop = asyncio.get_running_loop()
        with socket.socket() as own:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                           65536 if kind.reads else 4096)
            own.setblocking(False)
            await loop.sock_connect(own, ("127.0.0.1", self.port(kind)))
            sending = asyncio.create_task(
                loop.sock_sendall(own, kind.make(number)))
            end = asyncio.create_task(self.over.wait())
            reading = asyncio.create_task(self.read(own)) \
                if kind.reads else end
            try:
                await asyncio.wait({reading, end},
                                   return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (sending, reading, end):
                    task.cancel()
                await asyncio.gather(sending, reading, end,
                                     return_exceptions=True)

    @staticmethod
    async def read(own):
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(own, 65536):
            pass

    async def run(self, kind):
        await self.start(kind)
        await self.ordinary()
        calm = self.peak()
        crowd = [asyncio.create_task(self.client(n, kind))
                 for n in range(kind.connections)]
        problems = []
        most = await self.watch(HOLD_S)
        if kind.beside and self.is_up():
            try:
                await self.ordinary()
            except RuntimeError as error:
                problems.append(f"beside the crowd, {error}")
        self.over.set()
        await asyncio.gather(*crowd)
        problems += await self.judge()
        if most > kind.max_descriptors:
            problems.append(f"{most} descriptors are open")
        if self.is_up():
            print(f"memory {calm >> 20} MB in calm, {self.peak() >> 20} MB at "
                  f"its peak (bound {MEMORY_MB}), descriptors {most} (bound "
                  f"{kind.max_descriptors})", flush=True)
        return problems

    async def watch(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        most = 0
        while loop.time() < end and self.is_up():
            most = max(most, self.descriptors())
            await asyncio.sleep(0.05)
        return most

    async def judge(self):
        if not self.is_up():
            return ["the process ended"]
        problems = []
        try:
            await self.ordinary()
        except RuntimeError as error:
            problems.append(str(error))
        if self.peak() > MEMORY_MB << 20:
            problems.append(f"its peak is {self.peak() >> 20} MB")
        return problems


class RouterPlay(Play):
    """A daemon that routes, between a stand-in store and servers."""

    max_body = MAX_BODY

    def __init__(self, build):
        super().__init__(build)
        self.folder = tempfile.mkdtemp(prefix="crowded-")
        self.world = World(1)
        self.daemon = None
        self.key = ""

    async def start(self, kind):
        await self.world.store.open()
        if kind is not None and kind.keys:
            self.world.keys = Keys(self.world)
            self.key = next(iter(self.world.keys.held))
        for service, stage in (("plain", ""), ("model", "prefill"),
                               ("model", "decode")):
            await Upstream(self.world, service, stage).start()
        self.world.store.put("op/config", self.config())
        self.daemon = Daemon(self, 0)
        await self.daemon.store_proxy.open()
        self.daemon.write_settings([], {"max_connections": MAX_CONNECTIONS,
                                        "memory_mb": MEMORY_MB})
        await self.daemon.start()

    def config(self):
        published = config(1, LIMIT_MS, LIMIT_MS, keys=self.world.keys)
        published["limits"]["max-body-bytes"] = self.max_body
        for service in published["services"]:
            service["max-connections"] = 4 * MAX_CONNECTIONS
        published["routes"].append(
            {"name": "events", "host": "h", "prefix": "/events/",
             "kind": "streaming", "service": "plain", "max-attempts": 1,
             "timeout-ms": 4000, "resumable": False})
        return published

    def pid(self):
        return self.daemon.process.pid

    def is_up(self):
        return self.daemon.is_up()

    def port(self, kind):
        return self.daemon.ports[kind.port]

    async def ask(self):
        await self.exchange(request("ordinary", body=b"b"), "ordinary", 8)

    async def exchange(self, sent, number, size):
        """One request on a connection of its own, whose answer has a size."""
        if self.key:
            first, rest = sent.split(b"\r\n", 1)
            sent = (first + b"\r\nAuthorization: Bearer " +
                    self.key.encode() + b"\r\n" + rest)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.daemon.ports["callers"])
        try:
            writer.write(sent)
            if size > HELD:  # passed on as it comes
                head = await reader.readuntil(b"\r\n\r\n")
                first, body = head.decode(), await self.chunks(reader)
            else:
                first, _, body = await read_message(reader)
            if " 200 " not in first or body.decode() != "x" * size:
                raise ValueError(first)
        finally:
            writer.transport.abort()

    @staticmethod
    async def chunks(reader):
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        return body

    async def end(self):
        if self.daemon is not None:
            await self.daemon.kill()
        shutil.rmtree(self.folder)


class UploadsPlay(RouterPlay):
    """The largest requests inside the limits: one in calm, then some at once,
    whose callers come back while they are refused."""

    max_body = UPLOAD

    async def run(self, kind):
        await self.start(None)
        await self.ordinary()
        body = b"b" * UPLOAD
        for name, sent, size in (
                ("head", request("u-0", pad=MAX_HEAD - 400), 8),
                ("body", request("u-1", "/once/x", body), 8),
                ("answer", request("u-2", "/safe/unsized"), HELD),
                ("long answer", request("u-3", "/safe/long"), LONG)):
            try:
                await asyncio.wait_for(
                    self.exchange(sent, name, size), ANSWER_S)
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as error:
                return [f"the largest {name} isn't served: {error!r}"]
        uploads = [asyncio.create_task(self.ordinary(
            lambda n=n: self.exchange(request(f"up-{n}", "/once/x", body),
                                      n, 8))) for n in range(UPLOADS)]
        results = await asyncio.gather(*uploads, return_exceptions=True)
        unserved = sum(1 for one in results if one is not None)
        problems = [f"{unserved} of {UPLOADS} uploads aren't served"] \
            if unserved else []
        print(f"memory {self.peak() >> 20} MB at its peak (bound {MEMORY_MB})",
              flush=True)
        return problems + await self.judge()


class OwnPlay(Play):
    """A daemon with the product's own interface, between stand-ins."""

    def __init__(self, build):
        super().__init__(build)
        self.fleet = Fleet(build, prefill=1, decode=1, services=1, daemons=1,
                           settings={"limits": {
                               "max_connections": MAX_CONNECTIONS,
                               "memory_mb": MEMORY_MB}})

    async def start(self, kind):
        await asyncio.to_thread(self.fleet.start)

    @property
    def daemon(self):
        return self.fleet.daemons[0]

    def pid(self):
        return self.daemon["process"].child.pid

    def is_up(self):
        return self.daemon["process"].alive()

    def port(self, kind):
        name = "address" if kind.port == "callers" else kind.port
        return int(self.daemon[name].rpartition(":")[2])

    async def ask(self):
        status, _ = await asyncio.to_thread(
            fetch, self.daemon["address"], "/v1/chat/completions",
            '{"model":"draft-1","max_tokens":3,'
            '"messages":[{"role":"user","content":"hello"}]}',
            None, {"content-type": "application/json"}, 4)
        if status != 200:
            raise ValueError(status)

    async def end(self):
        await asyncio.to_thread(self.fleet.stop)


PLAYS = {**{name: (RouterPlay, kind) for name, kind in KINDS.items()},
         "uploads": (UploadsPlay, None),
         **{name: (OwnPlay, kind) for name, kind in OWN_KINDS.items()}}


async def main(build, names):
    failed = False
    for name in names or PLAYS:
        play_class, kind = PLAYS[name]
        print(f"{name}:", end=" ", flush=True)
        play = play_class(build)
        try:
            for problem in await play.run(kind):
                failed = True
                print(f"{name}: FAILED: {problem}", flush=True)
        finally:
            await play.end()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2:])))
