"""Stand-ins for the review's scripts: the platform's store, servers, clients
and a proxy, and the daemons as processes.

The daemons are the ones that the deploy file builds. Their settings come from
the deploy file's template and a table like that of DEPLOY.md. Each machine has
a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEAD_END = b"\r\n\r\n"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def loopback_addresses(count):
    """Returns distinct loopback addresses that nobody listens on."""
    found = []
    while len(found) < count:
        ip = "127.%d.%d.%d" % (random.randrange(1, 250),
                               random.randrange(1, 250),
                               random.randrange(2, 250))
        if ip not in found:
            found.append(ip)
    return sorted(found)


def free_port(ips):
    """Returns a port that is free on all of these addresses."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue


async def read_head(reader):
    """Returns the first line and the fields, by name in lower case."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_request(reader):
    first, fields = await read_head(reader)
    length = int(fields.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, fields, body


def write_answer(writer, status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + HEAD_END + body)


class Port:
    """A listener and its connections."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip, self.port, self.server = ip, port, None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._connected, self.ip, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the peer broke off, or the script ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Port):
    """The platform's store: items with revisions, listed and watched."""

    def __init__(self):
        super().__init__()
        self.items, self.history = {}, []
        self.revision = 1
        self.discarded = 0  # changes up to here are no longer available
        self.changed = asyncio.Event()

    def put(self, key, value):
        created = self.items[key]["create-rev"] if key in self.items else None
        self.revision += 1
        item = {"key": key, "revision": self.revision,
                "create-rev": created or self.revision, "lease": 0,
                "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.items[key] = item
        self._add(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "removed": True})

    def discard_history(self):
        """Forgets all changes so far; what holds stays. Waiting watches are
        cut."""
        self.discarded = self.revision
        self.history = []
        for writer in list(self.writers):
            writer.transport.abort()

    def _add(self, item):
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            first, _, _ = await read_request(reader)
            path, _, query = first.split(" ")[1].partition("?")
            status, body = await self._answer(path, urllib.parse.parse_qs(
                query, keep_blank_values=True))
            write_answer(writer, status, {"Content-Type": "application/json"},
                         json.dumps(body).encode())
            await writer.drain()

    async def _answer(self, path, query):
        prefix = query.get("prefix", [""])[0]
        if path == "/api/kv-range":
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(prefix) and k > query.get("after", [""])[0]]
            return 200, {"items": items, "truncated": False,
                         "current-rev": self.revision}
        if path != "/api/kv-watch":
            return 404, {}
        after = int(query["after"][0])
        end = time.monotonic() + int(query["wait-ms"][0]) / 1000
        while True:
            if after < self.discarded:
                return 410, {}
            changed = self.changed
            events = [i for i in self.history if i["revision"] > after
                      and i["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server(Port):
    """A server of a service. Subclasses say how it answers."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, service, zone, version="1", slots=8,
                 stage=None):
        super().__init__()
        self.store, self.record = store, record
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.entry = {"service": service, "zone": zone, "version": version,
                      "slots": slots, "state": "ready", "cold-ms": 0, "seq": 0,
                      "born": int(time.time() * 1000)}
        if stage:
            self.entry["stage"] = stage
            self.entry["models"] = [{"name": "m", "version": 1,
                                     "adapters": []}]
        self.beat = None

    async def start(self):
        await self.open()
        self.entry["address"] = self.address
        self.beat = asyncio.create_task(self._beat())
        await asyncio.sleep(0)

    async def _beat(self):
        while True:
            self.publish()
            await asyncio.sleep(self.HEARTBEAT_S)

    def publish(self, **changes):
        self.entry.update(changes)
        self.entry["seq"] += 1
        self.store.put(f"servers/{self.id}", self.entry)

    def unlist(self):
        """Removes its entry, and goes on serving."""
        self.beat.cancel()
        self.store.remove(f"servers/{self.id}")

    def leave(self):
        """Ends: its entry is removed and nothing is served any more."""
        self.unlist()
        self.close()

    async def serve(self, reader, writer):
        while True:
            first, fields, body = await read_request(reader)
            method, target, _ = first.split(" ")
            expected = fields.get("x-shallotford-expect-instance", self.id)
            if expected != self.id:
                write_answer(writer, 421, self.named(fields))
            else:
                await self.answer(method, target, fields, body, writer)
            await writer.drain()

    def named(self, fields):
        request = fields.get("x-shallotford-request-id")
        return {"X-Shallotford-Request-Id": request} if request else {}

    def signed(self, fields):
        return {**self.named(fields),
                "X-Shallotford-Response-Signature": f"{self.id}.1"}

    async def answer(self, method, target, fields, body, writer):
        raise NotImplementedError


# ------------------------------------------------------------------ daemons


def render(template, table):
    """Fills in the placeholders that the project's template uses."""
    def find(name):
        value = table
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if value is not None else None
        return value

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = find(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if find(m.group(1)) else "", template,
                  flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", fill, text)


class Daemon:
    """One front machine: its settings, its process and its log."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.file = os.path.join(world.folder, name + ".yaml")
        self.process, self.starts, self.log = None, 0, None

    def address(self, port):
        return f"{self.ip}:{self.world.ports[port]}"

    def write_settings(self, seeds, bootstrap):
        table = dict(self.world.settings)
        table.update({
            "node": self.name, "ip": self.ip, "zone": self.zone,
            "region": self.world.settings["zones"][self.zone],
            "listen": {p: self.address(p)
                       for p in ("front", "ready", "control")},
            "port-range": [self.world.ports["range"],
                           self.world.ports["range"] + 15],
            "seeds": seeds, "bootstrap": bootstrap,
            "platform": {"address": self.world.store.address, "form": "read",
                         "history-s": 20, "reads-per-s": 2000}})
        with open(os.path.join(ROOT, "deploy/settings.json.template"),
                  encoding="utf-8") as file:
            text = render(file.read(), table)
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.file + ".new", self.file)

    async def start(self):
        self.starts += 1
        self.log = f"{self.file}.{self.starts}.log"
        with open(self.log, "wb") as log:
            # The deploy file's command, with the path of this settings file.
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/shallotfordd"), "--config",
                self.file, stdout=log, stderr=log, cwd=ROOT)
        self.world.record.add(f"start {self.name} at {self.ip}")

    def signal(self, number):
        self.world.record.add(
            f"send {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.world.ports["ready"])
        except OSError:
            return False
        writer.write(f"GET /readyz HTTP/1.1\r\nHost: {self.ip}\r\n"
                     "Connection: close\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
        return b" 200 " in line


class World:
    """One small deployment: store, machines, and the record."""

    SETTINGS = {
        "role": "router", "machine-class": "front",
        "serves": ["front", "control"],
        "zones": {"mtl-est": "mtl", "cap-nord": "capitale",
                  "saglac-1": "saglac"},
        "heartbeat-ms": 1200,
        "bounds": {"drain-ms": 2500, "contact-ms": 3000, "grace-s": 8,
                   "loss-slack-ms": 200, "retry-budget-ratio": 0.2,
                   "retry-window-s": 10, "budget-slack": 58,
                   "require-fencing": True, "lease-ms": 3000}}

    def __init__(self, folder, machines):
        self.record = Record(folder)
        self.settings = self.SETTINGS
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        ips = loopback_addresses(machines)
        self.ports = {}
        for name in ("front", "ready", "control"):
            self.ports[name] = free_port(ips)
        self.ports["range"] = free_port(ips)
        zones = list(self.settings["zones"])
        self.daemons = [Daemon(self, f"front-{i}", ip, zones[i % len(zones)])
                        for i, ip in enumerate(ips)]
        self.servers = []

    async def start_daemons(self, bootstrap=True):
        seeds = [d.address("control") for d in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.write_settings(seeds, bootstrap)
            await daemon.start()

    async def until_ready(self):
        end = time.monotonic() + 15
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end or \
                        daemon.process.returncode is not None:
                    raise CannotRun(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)

    async def add(self, server):
        self.servers.append(server)
        await server.start()
        self.record.add(f"server {server.id} of {server.entry['service']}, "
                        f"version {server.entry['version']}, at "
                        f"{server.address}")
        return server

    async def end(self):
        for daemon in self.daemons:
            if daemon.process is not None and \
                    daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        for server in self.servers:
            if server.beat is not None:
                server.beat.cancel()
            server.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            self.record.add(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, machines, case, limit_s=110):
    """Plays one case and returns its exit code."""
    async def run():
        world = World(folder, machines)
        try:
            await world.store.open()
            problems = await asyncio.wait_for(case(world), limit_s)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.end()
        for problem in problems:
            world.record.add(f"broken: {problem}")
            print(f"broken: {problem}")
        verdict = "broken" if problems else "held"
        world.record.add(f"the rule was {verdict}")
        print(f"the rule was {verdict}; disruption "
              f"{'played' if TROUBLE else 'left out'}")
        return BROKEN if problems else HELD
    if not os.access(os.path.join(ROOT, "target/shallotfordd"), os.X_OK):
        print("target/shallotfordd is missing: run the deploy file's build")
        return NOT_RUN
    return asyncio.run(run())
