"""A small crowd that keeps to no limit, against one daemon after the other.

Usage: untrusted_clients.py BUILD [KIND ...]

For each kind a daemon with a stand-in store and server is started and a crowd
plays the kind. Then it must be alive, its peak of memory and its descriptors
within the bounds that its settings give, and it must answer one ordinary
request.
Nothing here judges times or the share of requests that is served.
"""

import asyncio
import os
import shutil
import socket
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scripts"))
from soak import Daemon, config  # noqa: E402
from soak_world import (SIGNATURE, Server, World,  # noqa: E402
                        read_message, sign)

MAX_CONNECTIONS = 48  # "limits.max_connections" of the daemon
MAX_HEAD = 16 << 10  # limits of the configuration
MAX_BODY = 64 << 10
CROWD = 40  # below MAX_CONNECTIONS, so that an ordinary caller finds room
# A connection may hold a head, a body, 64 KB sent ahead and 128 KB of answers
# that wait; memory is taken in doubling steps, hence twice.
PER_CONNECTION = 2 * (MAX_HEAD + MAX_BODY + (64 << 10) + (128 << 10))
MAX_GROWTH = MAX_CONNECTIONS * PER_CONNECTION  # bytes above calm: 25.5 MB
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS + 64  # an upstream's for each caller's
AHEAD = 1 << 20  # bytes that a client sends at most
SEND_S = 3.0  # after which a client gives up sending what isn't taken
HOLD_S = 1.0  # in which a client reads nothing, all of it being sent
ANSWER_S = 30.0  # within which the ordinary request is answered
LARGE = 48 << 10  # bytes of a large answer


class Upstream(Server):
    """Answers by the target: late, at length, or as a stream."""

    async def _answer(self, first, fields, body, writer):
        target = first.split(" ")[1]
        request = fields.get("x-shallotford-request-id", "")
        text = "x" * LARGE if "large" in target else "ordinary"
        if "slow" in target:
            await asyncio.sleep(0.02)
        named = self._fields(request, sign(request, text))
        if "stream" not in target:
            head, end = f"Content-Length: {len(text)}", text
        else:
            head = ("Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked")
            event = f"id: 1\ndata: {text}\n\n"
            end = f"{len(event):x}\r\n{event}\r\n0\r\n\r\n"
        lines = ["HTTP/1.1 200 X", head]
        lines += [f"{n}: {v}" for n, v in named.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + end).encode())


def request(number, target="/safe/x", body=b"", pad=0, host="h", length=None):
    length = len(body) if length is None else length
    method = "POST" if length else "GET"
    return (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Shallotford-Request-Id: u-{number}\r\n"
            f"X-Shallotford-Deadline-Ms: 5000\r\nX-Pad: {'p' * pad}\r\n"
            f"Content-Length: {length}\r\n\r\n").encode() + body


def many(one):
    """Requests up to AHEAD bytes, each with an id of its own."""
    def make(client):
        size = len(one(f"{client}-0"))
        return b"".join(one(f"{client}-{n}") for n in range(AHEAD // size))
    return make


def fields(client):
    """A whole head of as many fields as fit, whose body never comes."""
    first, rest = request(client, length=9).split(b"\r\n", 1)
    return (first + b"\r\n" + b"a:b\r\n" * ((MAX_HEAD - 300) // 5) + rest)


KINDS = {  # name: (connections, what each sends, bytes a second it reads, port)
    "ahead": (CROWD, many(lambda n: request(n, "/safe/slow", pad=400)),
              1 << 20),
    "ahead_large": (CROWD, many(lambda n: request(n, "/safe/slow", pad=7000)),
                    1 << 20),
    "unread": (CROWD, many(lambda n: request(n, "/safe/large", pad=1000)), 0),
    "unread_streams": (CROWD, many(
        lambda n: request(n, "/events/stream-large", pad=1000)), 0),
    "unread_refusals": (CROWD, many(
        lambda n: request(n, host="g" * 1000)), 0),
    "heads": (CROWD, lambda n: request(n, pad=MAX_HEAD - 300)[:-2], 0),
    "bodies": (CROWD, lambda n: request(
        n, "/once/x", b"b" * (MAX_BODY - 1), length=MAX_BODY), 0),
    "heads_without_bodies": (CROWD, fields, 0),
    "idle_after_pipelined": (CROWD, lambda n: b"".join(
        request(f"{n}-{i}") for i in range(500)), 1 << 20),
    "connections": (6 * MAX_CONNECTIONS, lambda n: b"", 0),
    "slow_readers": (CROWD, many(
        lambda n: request(n, "/safe/large", pad=1000)), 2 << 10),
    "relays": (CROWD, many(lambda n: request(n, host="g" * 1000)), 0, "relays"),
    "peers": (CROWD, many(lambda n: request(n, "/rpc", b"{}")), 0, "peers"),
    "operators": (CROWD, many(
        lambda n: request(n, "/metrics")), 0, "operators"),
}


class Play:
    """One daemon under one kind of crowd."""

    def __init__(self, build):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="untrusted-")
        self.world = World(1)
        self.daemon = None

    async def start(self):
        await self.world.store.open()
        server = Upstream(self.world, "plain")
        await server.start()
        published = config(1)
        published["limits"].update({"max-header-bytes": MAX_HEAD,
                                    "max-body-bytes": MAX_BODY})
        published["routes"].append(
            {"name": "events", "host": "h", "prefix": "/events/",
             "kind": "streaming", "service": "plain", "max-attempts": 1,
             "timeout-ms": 4000, "resumable": False})
        self.world.store.put("op/config", published)
        self.daemon = Daemon(self, 0)
        await self.daemon.store_proxy.open()
        self.daemon.write_settings(
            [], {"max_connections": MAX_CONNECTIONS})
        await self.daemon.start()
        await self.ordinary()

    def figure(self, name):
        with open(f"/proc/{self.daemon.process.pid}/status",
                  encoding="ascii") as file:
            return next(int(line.split()[1]) << 10 for line in file
                        if line.startswith(name))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.daemon.process.pid}/fd"))

    async def ordinary(self):
        """One caller that sends its request again while it is refused."""
        end = asyncio.get_running_loop().time() + ANSWER_S
        while asyncio.get_running_loop().time() < end:
            try:
                return await asyncio.wait_for(self.ask(), 5)
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                await asyncio.sleep(0.1)
        raise RuntimeError("an ordinary request isn't answered")

    async def ask(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.daemon.ports["callers"])
        try:
            writer.write(request("ordinary", body=b"b"))
            first, fields, body = await read_message(reader)
            if " 200 " not in first or fields[SIGNATURE.lower()] != sign(
                    "u-ordinary", body.decode()):
                raise ValueError(first)
        finally:
            writer.transport.abort()

    async def client(self, number, make, rate, port="callers"):
        """Sends all that is taken, and reads little or nothing."""
        loop = asyncio.get_running_loop()
        with socket.socket() as own:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            own.setblocking(False)
            reading = None
            try:
                await loop.sock_connect(
                    own, ("127.0.0.1", self.daemon.ports[port]))
                if rate:
                    reading = asyncio.create_task(self.read(own, rate))
                await asyncio.wait_for(
                    loop.sock_sendall(own, make(number)), SEND_S)
            except (OSError, asyncio.TimeoutError):
                pass  # refused, or what it sent isn't taken
            await asyncio.sleep(HOLD_S)
            if reading is not None:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)

    @staticmethod
    async def read(own, rate):
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(own, min(rate, 65536)):
            await asyncio.sleep(min(rate, 65536) / rate)

    async def run(self, kind):
        connections, *plays = KINDS[kind]
        await self.start()
        calm = self.figure("VmHWM")
        crowd = [asyncio.create_task(self.client(n, *plays))
                 for n in range(connections)]
        most = 0
        while not all(one.done() for one in crowd) and self.daemon.is_up():
            most = max(most, self.descriptors())
            await asyncio.sleep(0.05)
        await asyncio.gather(*crowd)
        problems = []
        if not self.daemon.is_up():
            return [f"the process ended: {self.daemon.process.returncode}"]
        try:
            await self.ordinary()
        except RuntimeError as error:
            problems.append(str(error))
        growth = self.figure("VmHWM") - calm
        print(f"{kind}: memory +{growth >> 10} KB (bound {MAX_GROWTH >> 10}), "
              f"descriptors {most} (bound {MAX_DESCRIPTORS})", flush=True)
        if growth > MAX_GROWTH:
            problems.append(f"memory grew by {growth >> 10} KB")
        if most > MAX_DESCRIPTORS:
            problems.append(f"{most} descriptors are open")
        return problems

    async def end(self):
        if self.daemon is not None:
            await self.daemon.kill()
        shutil.rmtree(self.folder)


async def main(build, kinds):
    failed = False
    for kind in kinds or KINDS:
        play = Play(build)
        try:
            for problem in await play.run(kind):
                failed = True
                print(f"{kind}: {problem}", flush=True)
        finally:
            await play.end()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2:])))
