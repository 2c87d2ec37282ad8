"""Randomised fault soak: real daemons as processes, stand-ins around them.

Usage: soak.py BUILD [--seed N] [--seeds N] [--seconds S] [--daemons N]
                     [--planned] [--keys] [--keep]

Clients send requests through proxies to daemons while faults begin and end at
random: proxies that delay, reset, hold back one way or both; daemons that are
stopped, paused, killed and started again; settings that change; a store that is
away, slow or forgets; servers that crash, drain, go dark, shed, break off, send
too much or name limits; equal requests under which servers crash. Some clients
rest on open connections while the idle limit changes, or send two requests at
once. From what clients and servers see it checks the promises of
docs/PLATFORM.md. --planned plays planned work only, under which nothing may be
lost. --keys adds organisations: clients use keys, configurations withdraw
them, the store is away for longer. A seed repeats the choice of faults, not the processes' timing.
Exits 1 if a promise was broken; --keep leaves the daemons' logs.
"""

import argparse
import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

from fleet import free_port
from soak_keys import REVOKE_S, Keys
from soak_world import (Proxy, SIGNATURE, World, read_message, sign,
                        stream_event, stream_length)

DRAIN_S = 4.0  # of the settings; shorter than what a dark server holds
STOP_MARGIN_S = 4.0  # for a busy machine
CALM_S = 4.0  # after the last unplanned fault
HEAL_S = 30.0  # within which all is served again
CLIENTS = 6
RESTING_CLIENTS = 24
IDLE_MS = (400, 1000, 3000, 15000)
IDLE_SHARE = 0.8  # of the newest idle limit that clients may rest
REST_S = 3.0  # at most
UNSEEN_S = 0.05  # in which a client doesn't see a close, as over a long way
ANSWER_S = 12.0  # for two requests with a deadline of 5 s each
RESET_S = 1.0  # within which a reset follows an end
MANY_ROUTES = 3000  # hold up a daemon's loop

ROUTES = {  # prefix: (kind, service, attempts, resumable)
    "/safe/": ("safe", "plain", 2, False),
    "/once/": ("unsafe", "plain", 1, False),
    "/stream/": ("streaming", "model", 2, True),
    "/fixed/": ("streaming", "model", 1, False),
}


def config(version, idle_ms=15000, header_ms=3000, timeout_ms=4000, many=0,
           keys=None):
    routes = [{"name": prefix, "host": "h", "prefix": prefix, "kind": kind,
               "timeout-ms": timeout_ms, "target-latency-ms": 500,
               "max-attempts": n,
               "resumable": resumable, "service": service}
              for prefix, (kind, service, n, resumable) in ROUTES.items()]
    added = [("added", "h", f"/v{version}/")]
    added += [(f"many-{n}", f"h{n}", f"/v{version}/") for n in range(many)]
    routes += [{"name": name, "host": host, "prefix": prefix, "kind": "safe",
                "service": "plain", "max-attempts": 2,
                "timeout-ms": timeout_ms} for name, host, prefix in added]
    tenants = {"tenants": keys.tenants()} if keys else {}
    return {"version": version, "routes": routes, **tenants,
            "services": [{"name": "plain", "max-connections": 100},
                         {"name": "model", "max-connections": 100,
                          "engine": {"hold-ms": 2000, "slots": 8,
                                     "kv-tokens": 100000}}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1 << 20,
                       "header-timeout-ms": header_ms,
                       "idle-timeout-ms": idle_ms}}


class Daemon:
    """One daemon's process and the proxy in front of it."""

    def __init__(self, soak, number):
        self.soak = soak
        self.name = f"vm-{number}"
        self.ports = {n: free_port()
                      for n in ("callers", "peers", "operators", "relays")}
        self.proxy = Proxy(self.ports["callers"])
        self.store_proxy = Proxy(soak.world.store.port)
        self.file = os.path.join(soak.folder, self.name + ".json")
        self.process = None
        self.stopping = False
        self.starts = 0

    def write_settings(self, seeds, limits=None):
        routing = {"seeds": seeds, "failure_domains": {"z1": "r1"},
                   "retry_slack": 50, "drain_s": DRAIN_S}
        if self.soak.world.keys:
            routing["revoke_ms"] = 1000 * REVOKE_S
        settings = {
            "platform": self.store_proxy.address, "region": "r1",
            "failure_domain": "z1", "routing": routing,
            "limits": limits or {}}
        for name, port in self.ports.items():
            settings[name] = {"listen": f"127.0.0.1:{port}"}
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(self.file + ".new", self.file)

    async def start(self):
        self.starts += 1
        self.stopping = True  # until there is a process to watch
        with open(f"{self.file}.{self.starts}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(self.soak.build, "shallotfordd"), "--config",
                self.file, stdout=log, stderr=log)
        self.stopping = False

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        self.stopping = True
        if self.is_up():
            self.process.kill()
            await self.process.wait()

    async def stop(self):
        """A planned stop; it must end in time and well."""
        self.stopping = True
        began = time.monotonic()
        self.process.terminate()
        try:
            code = await asyncio.wait_for(
                self.process.wait(), DRAIN_S + STOP_MARGIN_S)
        except asyncio.TimeoutError:
            self.soak.world.problem("DRAIN", f"{self.name} doesn't end")
            await self.kill()
            return
        if code not in (0, -signal.SIGKILL):
            self.soak.world.problem(
                "DRAIN", f"{self.name} ended with {code} after "
                f"{time.monotonic() - began:.1f} s")


class Answer:
    def __init__(self):
        self.status = 0  # 0: none
        self.fields = {}
        self.body = ""
        self.whole = False


class Soak:
    def __init__(self, options, seed):
        self.seed = seed
        self.seconds = options.seconds
        self.planned_only = options.planned
        self.build = options.build
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.world = World(seed)
        self.random = self.world.random
        if options.keys:
            self.world.keys = Keys(self.world)
        self.daemons = [Daemon(self, n) for n in range(options.daemons)]
        self.version = 1
        self.newest = None  # configuration
        self.idle_ms = IDLE_MS[-1]  # the newest that was published
        self.unplanned_until = 0.0
        self.ended = False
        self.counts = {}
        self.faults = []

    # ------------------------------------------------------------- clients

    async def client(self, number):
        """Sends one request after the other, mostly on kept connections."""
        connection = None
        count = 0
        while not self.ended:
            count += 1
            if connection is None:
                daemon = self.random.choice(self.daemons)
                connection = await self.connect(daemon.proxy.port)
                if connection is None:
                    await asyncio.sleep(0.1)
                    continue
            prefix = self.random.choice(list(ROUTES))
            keep = await self.request(
                connection, prefix, f"{self.seed}-{number}-{count}")
            if not keep or self.random.random() < 0.1:
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def resting_client(self, number):
        """Rests on open connections. It has no proxy, which hides resets."""
        connection = None
        count = 0
        while not self.ended:
            count += 1
            if connection is None:
                daemon = self.random.choice(self.daemons)
                connection = await self.connect(daemon.ports["callers"])
                if connection is None:
                    await asyncio.sleep(0.1)
                    continue
            ids = [f"{self.seed}-rest-{number}-{count}-{n}"
                   for n in range(self.random.choice((1, 1, 1, 2)))]
            keep = await self.requests(connection, ids)
            answered = time.monotonic()
            if keep:
                await self.rest()
                keep = self.may_reuse(connection[0], answered)
            if keep:
                await asyncio.sleep(UNSEEN_S)
            else:
                connection[1].transport.abort()
                connection = None

    async def rest(self):
        newest = IDLE_SHARE * self.idle_ms / 1000
        seconds = self.random.choice((
            0.0, self.random.uniform(0, min(newest, REST_S)),
            # Until a limit ends that may have been raised meanwhile.
            self.random.choice(IDLE_MS[:3]) / 1000 -
            self.random.uniform(0, UNSEEN_S)))
        end = time.monotonic() + seconds
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(min(0.05, max(0, end - time.monotonic())))

    def may_reuse(self, reader, answered):
        if reader._buffer:  # pylint: disable=protected-access
            self.world.problem("MIXED", "bytes on an idle connection")
        rested = time.monotonic() + UNSEEN_S - answered
        return not (reader.at_eof() or reader.exception()) and \
            rested <= IDLE_SHARE * self.idle_ms / 1000

    @staticmethod
    async def connect(port):
        try:
            return await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", port), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def request(self, connection, prefix, request_id, target=None):
        """Returns whether the connection may be used again."""
        patience = self.random.choice((0.2, 5.0, 5.0, 5.0))
        began = time.monotonic()
        connection[1].write(self.compose(prefix, request_id, target))
        answer, outcome, _ = await self.receive(connection, patience)
        self.finish(request_id, answer, outcome, began)
        return self.keeps(answer)

    async def requests(self, connection, ids):
        """Sends requests at once, not through a proxy; returns the same."""
        began = time.monotonic()
        connection[1].write(b"".join(
            self.compose(self.random.choice(list(ROUTES)), request_id)
            for request_id in ids))
        keep = True
        for position, request_id in enumerate(ids):
            if not keep:  # owed no answer, as long as it doesn't run
                self.finish(request_id, Answer(), "closed", began)
                continue
            answer, outcome, bare = await self.receive(connection, ANSWER_S)
            if outcome == "left":
                outcome = "unanswered"
            elif bare:
                outcome = await self.end_of(connection)
                # Only an end that was announced may cut off the next request.
                if position > 0:
                    outcome = "dropped"
                elif self.world.runs.get(request_id):
                    outcome = "closed"
            self.finish(request_id, answer, outcome, began)
            keep = self.keeps(answer)
        return keep

    def compose(self, prefix, request_id, target=None):
        kind, service, _, resumable = ROUTES[prefix]
        method = "GET" if kind == "safe" else "POST"
        body = b"" if kind == "safe" else os.urandom(8).hex().encode()
        target = target or f"{prefix}%2e/{request_id}?q=%41"
        may_repeat = kind == "safe" or resumable
        self.world.sent[request_id] = (method, target, body, may_repeat,
                                       service)
        fields = [f"{method} {target} HTTP/1.1", "Host: h",
                  f"X-Shallotford-Request-Id: {request_id}",
                  "X-Shallotford-Deadline-Ms: 5000",
                  "X-Shallotford-Token-Count: 500,30",
                  f"Content-Length: {len(body)}"]
        if self.world.keys:
            fields.append(self.world.keys.use(request_id))
        return "\r\n".join(fields).encode() + b"\r\n\r\n" + body

    async def receive(self, connection, patience):
        """Returns (answer, outcome, whether it ended without a byte)."""
        answer = Answer()
        try:
            await asyncio.wait_for(self.read(connection[0], answer), patience)
        except asyncio.TimeoutError:
            return answer, "left", False
        except asyncio.IncompleteReadError as error:
            return answer, "closed", not answer.status and not error.partial
        except OSError:
            return answer, "closed", not answer.status
        return answer, str(answer.status), False

    @staticmethod
    async def end_of(connection):
        """A reset tells that what was sent last has not been read."""
        reader, writer = connection
        own = writer.get_extra_info("socket")
        end = time.monotonic() + RESET_S
        # Another byte would be reset by a socket that had read all, too.
        while time.monotonic() < end:
            if reader.exception() or writer.transport.is_closing() or \
                    own.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return "unread"
            await asyncio.sleep(0.02)
        return "dropped"

    def finish(self, request_id, answer, outcome, began):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        self.judge(request_id, answer, outcome, began)

    @staticmethod
    def keeps(answer):
        return answer.whole and \
            answer.fields.get("connection", "") != "close"

    @staticmethod
    async def read(reader, answer):
        first, answer.fields, body = await read_message(reader)
        answer.status = int(first.split(" ")[1])
        answer.body = body.decode()
        while "transfer-encoding" in answer.fields:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:size].decode()
            if size == 0:
                break
        answer.whole = True

    def judge(self, request_id, answer, outcome, began):
        runs = self.world.runs.get(request_id, [])
        streams = "transfer-encoding" in answer.fields
        if answer.fields.get("x-shallotford-request-id",
                             request_id) != request_id:
            self.world.problem("MIXED", f"{request_id} got another's answer")
        if streams:
            events = [stream_event(request_id, n)
                      for n in range(1, stream_length(request_id) + 1)]
            whole = "".join(events)
            if not whole.startswith(answer.body):
                self.world.problem("ORDER", f"{request_id} got {answer.body}")
            if answer.whole and answer.body != whole:
                self.world.problem("ORDER", f"{request_id} ended too early")
        elif answer.whole and 200 <= answer.status < 300:
            mark = answer.fields.get(SIGNATURE.lower())
            if mark != sign(request_id, answer.body) or not runs:
                self.world.problem("MIXED", f"{request_id}: {answer.body!r}")
        if answer.status in (408, 421, 429, 503):
            if runs and not self.world.sent[request_id][3]:
                self.world.problem("REFUSED", f"{request_id} ran at {runs}")
            asyncio.get_running_loop().call_later(
                2, self.check_never_runs, request_id, len(runs))
        if 300 <= answer.status < 500 and answer.status not in (
                408, 421, 429) and not (
                    answer.status == 401 and self.world.keys and
                    self.world.keys.may_refuse(request_id)):
            self.world.problem("DENIED", f"{request_id}: {answer.status}")
        calm = self.unplanned_until < began
        if outcome == "closed" and calm and runs:
            self.world.problem("LOST", f"{request_id} ran at {runs}")
        if outcome in ("dropped", "unanswered") and calm:
            self.world.problem("LOST", f"{request_id} was {outcome}, "
                               f"sent at {began:.2f}, ran at {runs}")

    def check_never_runs(self, request_id, before):
        if len(self.world.runs.get(request_id, [])) > before:
            self.world.problem("REFUSED", f"{request_id} ran afterwards")

    # -------------------------------------------------------------- faults

    async def faults_until(self, end):
        planned = [self.stop_daemon, self.hang_up, self.reconfigure,
                   self.drain_server, self.limit_server]
        unplanned = [self.kill_daemon, self.pause_daemon, self.cut_link,
                     self.reset_link, self.store_mood, self.restore_store,
                     self.spoil_server,
                     self.crash_server, self.crashing_request]
        if self.world.keys:
            planned += [self.reconfigure] * 3
            unplanned += [self.lose_store] * 2
        choices = planned if self.planned_only else planned + unplanned
        running = set()
        while time.monotonic() < end:
            fault = self.random.choice(choices)
            if fault in unplanned:
                self.unplanned_until = float("inf")
            running.add(asyncio.create_task(self.play(fault)))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        self.unplanned_until = time.monotonic() + CALM_S

    async def play(self, fault):
        self.faults.append(f"{time.monotonic():.2f} {fault.__name__}")
        await fault()

    def up_daemon(self):
        """A daemon that no other fault stops; one at least goes on."""
        up = [d for d in self.daemons if d.is_up() and not d.stopping]
        return self.random.choice(up) if len(up) > 1 else None

    async def stop_daemon(self):
        daemon = self.up_daemon()
        if daemon is not None:
            await daemon.stop()
            await daemon.start()

    async def kill_daemon(self):
        daemon = self.up_daemon()
        if daemon is not None:
            await daemon.kill()
            await asyncio.sleep(self.random.uniform(0, 1))
            await daemon.start()

    async def pause_daemon(self):
        daemon = self.up_daemon()
        if daemon is not None:
            process = daemon.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 2.5))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def hang_up(self):
        daemon = self.up_daemon()
        if daemon is not None:
            seeds = [f"127.0.0.1:{d.ports['peers']}" for d in self.daemons]
            daemon.write_settings(self.random.sample(seeds, 2))
            daemon.process.send_signal(signal.SIGHUP)

    async def reconfigure(self):
        self.version += self.random.randrange(1, 4)
        self.idle_ms = self.random.choice(IDLE_MS)
        keys = self.world.keys
        withdrawn = keys and keys.change()
        self.newest = config(
            self.version, self.idle_ms,
            header_ms=self.random.choice((1500, 3000, 6000)),
            timeout_ms=self.random.choice((4000, 5000, 8000)),
            many=self.random.choice((0, 0, 0, MANY_ROUTES)), keys=keys)
        self.world.store.put("op/config", self.newest)
        if withdrawn:
            keys.on_acknowledged(withdrawn)

    def links(self):
        return [p for d in self.daemons for p in (d.proxy, d.store_proxy)] + \
            [s.proxy for s in self.world.servers]

    async def cut_link(self):
        link = self.random.choice(self.links())
        how = self.random.choice(("delay", "to", "from", "both", "refuse"))
        link.delay = self.random.uniform(0.05, 0.4) if how == "delay" else 0.0
        link.refusing = how == "refuse"
        link.silent = {"to", "from"} if how == "both" else {how}
        await asyncio.sleep(self.random.uniform(0.2, 3))
        link.heal()

    async def reset_link(self):
        self.random.choice(self.links()).reset_all()

    async def store_mood(self):
        self.world.store.mood = self.random.choice(
            ("busy", "silent", "slow", "compacted"))
        await asyncio.sleep(self.random.uniform(0.2, 4))
        self.world.store.mood = "well"
        self.world.store.reset_all()

    async def lose_store(self):
        """All daemons, or some, lose the store; keys are withdrawn then."""
        proxies = [d.store_proxy for d in self.daemons]
        lost = self.random.choice((proxies, self.random.sample(
            proxies, self.random.randrange(1, len(proxies) + 1))))
        refusing = self.random.random() < 0.5
        for proxy in lost:
            proxy.refusing = refusing
            proxy.silent = set() if refusing else {"to", "from"}
            if refusing:
                proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 1.5))
        await self.reconfigure()
        await asyncio.sleep(self.random.uniform(6, 9))
        for proxy in lost:
            proxy.heal()

    async def restore_store(self):
        """The store comes back from a copy; what it lost is written again."""
        copy = self.world.store.revision
        await asyncio.sleep(self.random.uniform(0.5, 3))
        if self.world.store.revision < copy:
            return  # another one has gone back further
        lost = self.world.store.go_back(copy)
        await asyncio.sleep(self.random.uniform(0, 1))
        for key, item in lost.items():
            if key == "op/config" and self.world.keys:
                self.world.store.put(key, self.newest)
            elif self.world.store.items.get(key, {}) != item:
                self.world.store.write_again(key, item)

    async def spoil_server(self):
        server = self.random.choice(self.world.servers)
        server.fault = self.random.choice(
            ("dark", "slow", "shed", "break", "extra", "fail"))
        await asyncio.sleep(self.random.uniform(0.2, 3))
        server.fault = ""

    async def replace(self, server):
        # Removed first: another fault may replace it while the new one starts.
        self.world.servers.remove(server)
        return await self.world.start_server(server.service, server.stage)

    async def drain_server(self):
        server = self.random.choice(self.world.servers)
        await self.replace(server)
        server.publish(draining=True)
        await asyncio.sleep(7)
        self.world.store.remove(f"servers/{server.id}")
        server.die()

    async def crash_server(self):
        server = self.random.choice(self.world.servers)
        await self.replace(server)
        server.die()
        await asyncio.sleep(2)
        self.world.store.remove(f"servers/{server.id}")

    async def limit_server(self):
        server = self.random.choice(self.world.servers)
        if server.limit is not None:
            return
        server.name_limit(self.random.choice((0.4, 2.0, 5.0)))
        await asyncio.sleep(self.random.uniform(3, 9))
        server.end_limit()

    async def crashing_request(self):
        """Clients repeat a request at all daemons; servers crash under it."""
        target = f"/safe/crash-{len(self.world.crashing)}"
        self.world.crashing[target] = []
        for number in range(self.random.randrange(20, 60)):
            daemon = self.up_daemon()
            connection = daemon and await self.connect(daemon.proxy.port)
            if connection:
                await self.request(connection, "/safe/",
                                   f"{self.seed}-{target}-{number}", target)
                connection[1].transport.abort()
            for server in self.world.crashed:
                if server in self.world.servers:
                    await self.replace(server)
                asyncio.get_running_loop().call_later(
                    2, self.world.store.remove, f"servers/{server.id}")
            self.world.crashed.clear()
            await asyncio.sleep(self.random.uniform(0, 0.3))

    # ----------------------------------------------------------------- run

    async def watch_daemons(self):
        while not self.ended:
            for daemon in self.daemons:
                if not daemon.is_up() and not daemon.stopping:
                    self.world.problem(
                        "FAULT", f"{daemon.name} ended by itself with "
                        f"{daemon.process.returncode}")
                    await daemon.start()
            await asyncio.sleep(0.1)

    async def all_served(self, label):
        """Waits until each daemon serves each kind of request."""
        end = time.monotonic() + HEAL_S
        number = 0
        for daemon in self.daemons:
            for prefix in ROUTES:
                served = False
                while not served and time.monotonic() < end:
                    number += 1
                    connection = await self.connect(daemon.proxy.port)
                    if connection is not None:
                        request_id = f"{self.seed}-{label}-{number}"
                        await self.request(connection, prefix, request_id)
                        served = bool(self.world.runs.get(request_id))
                        connection[1].transport.abort()
                    if not served:
                        await asyncio.sleep(0.2)
                if not served:
                    self.world.problem(
                        "RECOVER", f"{daemon.name} doesn't serve {prefix}")

    async def run(self):
        await self.world.store.open()
        self.newest = config(self.version, keys=self.world.keys)
        self.world.store.put("op/config", self.newest)
        for _ in range(3):
            await self.world.start_server("plain")
            await self.world.start_server("model", "decode")
        for _ in range(2):
            await self.world.start_server("model", "prefill")
        seeds = [f"127.0.0.1:{d.ports['peers']}" for d in self.daemons]
        for daemon in self.daemons:
            daemon.store_proxy.target = self.world.store.port
            await daemon.proxy.open()
            await daemon.store_proxy.open()
            daemon.write_settings(seeds[:3])
            await daemon.start()
        await self.all_served("first")
        tasks = [asyncio.create_task(self.client(n)) for n in range(CLIENTS)]
        tasks += [asyncio.create_task(self.resting_client(n))
                  for n in range(RESTING_CLIENTS)]
        tasks.append(asyncio.create_task(self.watch_daemons()))
        await self.faults_until(time.monotonic() + self.seconds)
        await self.all_served("last")
        self.ended = True
        await asyncio.gather(*tasks)
        await asyncio.gather(*(d.stop() for d in self.daemons))

    async def run_checked(self):
        try:
            await self.run()
        finally:
            for daemon in self.daemons:
                await daemon.kill()
                daemon.proxy.close()
                daemon.store_proxy.close()
            for server in self.world.servers:
                server.die()
            self.world.store.close()
            await asyncio.sleep(0.1)  # lets the connections' tasks end
        counts = " ".join(f"{k}={v}" for k, v in sorted(self.counts.items()))
        print(f"seed={self.seed} faults={len(self.faults)} {counts} "
              f"problems={len(self.world.problems)}", flush=True)
        if self.world.keys:
            print(f"  runs by key: {self.world.keys.checked}")
        for problem in self.world.problems[:20]:
            print(f"  {problem}")
        return not self.world.problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--keys", action="store_true")
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    good = True
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(options, seed)
        well = asyncio.run(soak.run_checked())
        good = good and well
        if well and not options.keep:
            shutil.rmtree(soak.folder)
        else:
            print(f"  logs: {soak.folder}")
            with open(os.path.join(soak.folder, "faults"), "w",
                      encoding="utf-8") as file:
                file.write("\n".join(soak.faults + soak.world.problems))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
