"""A small deployment on loopback: the project's daemons, a stand-in of the
platform's store, and server stand-ins as processes of their own.

The daemons are started with the command and the template of the deploy file.
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
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0  # contact-ms of the deployment


class CouldNotRun(Exception):
    pass


# ------------------------------------------------------------------ settings

def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                break
        else:
            return value
    return None


def render(text, scopes):
    """Fills a template in, as DEPLOY.md describes."""
    section = re.compile(r"\{\{([#^])([\w.\-]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, inner = match.groups()
        value = lookup(scopes, name)
        is_set = value is not None and value is not False
        if kind == "^":
            return "" if is_set else render(inner, scopes)
        return render(inner, scopes) if is_set else ""

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(scopes, name)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.\-|]+)\}\}", fill, section.sub(expand, text))


def free_ports(count, addresses):
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


# --------------------------------------------------------------------- store

class Store:
    """The platform's metadata store, for reading calls."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 10
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def _add(self, item):
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        before = self.items.get(key)
        item = {"key": key, "revision": self.revision, "lease": 0,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "create-rev": before["create-rev"] if before else self.revision}
        self.items[key] = item
        self._add(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "removed": True})

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500,
                         "current-rev": self.revision}
        if url.path == "/api/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while True:
                events = [i for i in self.history if i["revision"] > after
                          and i["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        item = self.items.get(query.get("key"))
        return (200, item) if item else (404, {})

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                await asyncio.sleep(0.004)
                status, value = await self.answer(head.split(" ", 2)[1])
                body = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} OK\r\nContent-Type: "
                             f"application/json\r\nContent-Length: {len(body)}"
                             "\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


# -------------------------------------------------------------------- client

class Connection:
    """One connection of a client."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None
        self.requests = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port, limit=1 << 22), 1)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def call(self, method, path, host, request_id, deadline_ms,
                   fields=None, body=b"", on_bytes=None):
        """Sends one request. Returns what the client saw."""
        seen = {"id": request_id, "path": path, "kept": self.requests > 0,
                "status": 0, "signed": False, "complete": False, "body": b"",
                "sent": time.monotonic(), "end": "closed"}
        try:
            if self.writer is None:
                await self.open()
                self.requests = 0
                seen["kept"] = False
            self.requests += 1
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                     f"X-Shallotford-Request-Id: {request_id}",
                     f"X-Shallotford-Deadline-Ms: {deadline_ms}"]
            lines += [f"{k}: {v}" for k, v in (fields or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            await asyncio.wait_for(self.read_answer(seen, on_bytes),
                                   deadline_ms / 1000)
            seen["end"] = "answered"
        except asyncio.TimeoutError:
            seen["end"] = "deadline"
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            seen["end"] = "closed"
        seen["took"] = round(time.monotonic() - seen["sent"], 3)
        if seen["end"] != "answered" or seen.get("close"):
            self.close()
        return seen

    async def read_answer(self, seen, on_bytes):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        seen["status"] = int(lines[0].split(" ")[1])
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        seen["signed"] = "x-shallotford-response-signature" in fields
        seen["answer_id"] = fields.get("x-shallotford-request-id", "")
        seen["retry_after"] = fields.get("retry-after")
        seen["close"] = fields.get("connection", "").lower() == "close"

        def take(data):
            seen["body"] += data
            if on_bytes is not None:
                on_bytes(data)

        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                take(data[:-2])
        else:
            left = int(fields.get("content-length", 0))
            while left > 0:
                data = await self.reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                take(data)
        seen["complete"] = True


# ---------------------------------------------------------------- deployment

class World:
    HOST = "desk.example"

    def __init__(self, folder):
        self.folder = folder  # of the case
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.temporary = tempfile.mkdtemp(prefix="shallotford-review-")
        self.store = Store()
        self.nodes, self.servers = [], {}
        self.began = time.monotonic()
        self.next_id = random.getrandbits(40)
        self.tasks = []
        self.counter = 0

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    # ----------------------------------------------------------- servers

    async def start_server(self, name, service, **settings):
        """Starts a server process and registers it in the store."""
        known = self.servers.get(name)
        if known is None:
            known = self.servers[name] = {
                "name": name, "service": service, "settings": settings,
                "port": free_ports(1, ["127.0.0.1"])[0], "seq": 0,
                "log": os.path.join(self.temporary, name + ".jsonl"),
                "address": None}
        self.counter += 1
        known["id"] = settings.pop("id", None) or known.get("next_id") or \
            f"i-{self.counter:03d}-{name}"
        full = {"host": "127.0.0.1", "port": known["port"], "log": known["log"],
                "id": known["id"], "slots": 64, **known["settings"]}
        known["process"] = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(HERE, "server.py"),
            json.dumps(full), stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=open(os.path.join(self.temporary, name + ".err"), "ab"))
        line = await asyncio.wait_for(known["process"].stdout.readline(), 10)
        if not line:
            raise CouldNotRun(f"server {name} did not start")
        known["born"] = json.loads(line)["born"]
        known["slots"] = full["slots"]
        known["address"] = known["address"] or f"127.0.0.1:{known['port']}"
        self.register(known)
        self.note(f"server {name} started as {known['id']} born {known['born']}"
                  f" at {known['address']}")
        return known

    def register(self, server, state="ready"):
        entry = {"service": server["service"], "address": server["address"],
                 "zone": server["settings"].get("zone", "mtl-est"),
                 "version": "v1", "slots": server["slots"], "state": state,
                 "cold-ms": 0, "seq": 1, "born": server["born"],
                 "models": [{"name": "m", "version": 1, "adapters": []}]}
        if server["settings"].get("stage"):
            entry["stage"] = server["settings"]["stage"]
        self.store.put("servers/" + server["id"], entry)

    def order(self, server, **settings):
        server["process"].stdin.write((json.dumps(settings) + "\n").encode())
        self.note(f"server {server['name']}: {json.dumps(settings)}")

    def signal(self, server, number):
        """Sends a signal to a server's process, which has to run."""
        process = server["process"]
        if process.returncode is not None:
            with open(os.path.join(self.temporary, server["name"] + ".err"),
                      encoding="utf-8", errors="replace") as errors:
                raise CouldNotRun(f"{server['name']} ended by itself with "
                                  f"{process.returncode}: {errors.read()[-800:]}")
        os.kill(process.pid, number)

    async def keep_up(self, server, back_s, same_id=False, lease_s=3.6):
        """Starts a crashed server again, as the platform does."""
        while True:
            await server["process"].wait()
            crashed = time.monotonic()
            before = server["id"]
            self.note(f"server {server['name']} ({before}) is gone")
            back = back_s() if callable(back_s) else back_s
            if not same_id:
                asyncio.get_running_loop().call_later(
                    lease_s, self.store.remove, "servers/" + before)
            await asyncio.sleep(max(0, crashed + back - time.monotonic()))
            server["next_id"] = before if same_id else None
            await self.start_server(server["name"], server["service"])

    def server_log(self):
        """Returns what all servers noted, in the order of time."""
        entries = []
        for server in self.servers.values():
            with open(server["log"], encoding="utf-8") as log:
                entries += [json.loads(line) for line in log]
        return sorted(entries, key=lambda entry: entry["t"])

    # ------------------------------------------------------------- nodes

    async def start_nodes(self, count, zones=("mtl-est", "cap-nord", "saglac-1")):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        regions = {"mtl-est": "mtl", "cap-nord": "capitale",
                   "saglac-1": "saglac"}
        # Addresses of its own for each case, as the metrics' port is fixed.
        net = int(os.path.basename(self.folder)) % 250
        ips = [f"127.0.{net}.{11 + i}" for i in range(count)]
        front, ready, control, relay = free_ports(4, ips)
        seeds = [f"{ip}:{control}" for ip in ips[:3]]
        for index, ip in enumerate(ips):
            zone = zones[index % len(zones)]
            fields = {
                "node": f"front-{zone}-{index + 1}", "ip": ip, "zone": zone,
                "region": regions[zone], "zones": regions,
                "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                           "control": f"{ip}:{control}"},
                "port-range": [relay, relay + 15], "seeds": seeds,
                "bootstrap": True, "heartbeat-ms": 1200,
                "limits": {"memory-mb": 110, "max-fds": 4100},
                "bounds": {"retry-budget-ratio": 0.2, "budget-slack": 58,
                           "retry-window-s": 10, "grace-s": 8,
                           "drain-ms": 2500},
                "platform": {"address": self.store.address, "history-s": 20}}
            settings = os.path.join(self.temporary, f"node-{index + 1}.yaml")
            with open(settings, "w", encoding="utf-8") as file:
                file.write(render(template, [fields]))
            command = role["run"].split(" ")
            command[command.index("--config") + 1] = settings
            self.nodes.append({
                "name": f"vm-{index + 1}", "ip": ip, "front": front,
                "ready": ready, "command": command, "settings": settings,
                "log": os.path.join(self.temporary, f"node-{index + 1}.log")})
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CouldNotRun(f"{command[0]} is missing; build it first")
        for node in self.nodes:
            await self.start_node(node)
        for node in self.nodes:
            await self.wait_ready(node)

    async def start_node(self, node):
        node["process"] = await asyncio.create_subprocess_exec(
            *node["command"], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=open(node["log"], "ab"), stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                 "HOME": self.temporary,
                 "SHALLOTFORD_SETTINGS": node["settings"]})

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node["ip"], node["ready"]), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, node):
        end = time.monotonic() + 20
        while not await self.is_ready(node):
            if time.monotonic() > end or node["process"].returncode is not None:
                raise CouldNotRun(f"{node['name']} is not ready")
            await asyncio.sleep(0.1)
        self.note(f"{node['name']} is ready")

    def connect(self, node):
        return Connection(node["ip"], node["front"])

    def grep_nodes(self, *events):
        """Returns the nodes' own log lines with these events, for the record."""
        lines = []
        for node in self.nodes:
            with open(node["log"], encoding="utf-8", errors="replace") as log:
                lines += [f"{node['name']}: {line.rstrip()}" for line in log
                          if any(event in line for event in events)]
        return lines

    # --------------------------------------------------------------- end

    def close(self):
        for task in self.tasks:
            task.cancel()
        for owner in self.nodes + list(self.servers.values()):
            process = owner.get("process")
            if process is not None and process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass


def show(seen):
    return (f"{seen['id']} {seen['path']} -> {seen['status']} "
            f"{'signed' if seen['signed'] else 'unsigned'} "
            f"{'complete' if seen['complete'] else 'incomplete'} "
            f"{len(seen['body'])} bytes, {seen['end']} after {seen['took']} s, "
            f"{'kept' if seen['kept'] else 'new'} connection")


def run(case, folder, limit_s=112):
    """Runs a case, a coroutine of a World that returns an exit code."""
    async def play():
        world = World(folder)
        world.note(f"TROUBLE={int(TROUBLE)}")
        result = COULD_NOT_RUN
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await world.store.start(free_ports(1, ["127.0.0.1"])[0])
            result = await asyncio.wait_for(case(world), limit_s)
        except Exception as error:  # whatever it is, the rule wasn't judged
            world.note(f"could not run: {error!r}")
            world.record.write(traceback.format_exc())
        except asyncio.CancelledError:
            world.note("could not run: ended from outside")
        finally:
            world.close()
            await asyncio.sleep(0.3)
            world.note(f"exit {result}")
            world.record.close()
            if os.environ.get("KEEP"):
                print("kept:", world.temporary)
            else:
                shutil.rmtree(world.temporary, ignore_errors=True)
        return result

    sys.exit(asyncio.run(play()))
