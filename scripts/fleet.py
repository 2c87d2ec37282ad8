"""Starts a small fleet of daemons and stand-ins on loopback.

Used by the demo and the benches. Every process is started and ended by its own
id.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30


# Below the range that the kernel gives to outgoing connections, so that a port
# stays free while its daemon is down.
PORTS = range(20000, 32000)
TAKEN = set()


def free_port():
    """Returns a port that the kernel let us bind a moment ago."""
    while True:
        port = random.choice(PORTS)
        if port in TAKEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


def fetch(address, path, body=None, method=None, headers=None, timeout=10):
    """Returns (status, body text) of one HTTP call."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """One child process and its log file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, name + ".log")
        self.child = None

    def start(self):
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            os.kill(self.child.pid, number)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Waits for the end and returns the exit code."""
        return self.child.wait(timeout=timeout)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def address(self):
        """Waits for the line that names the address a stand-in listens on."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for line in self.log_text().splitlines():
                if line.startswith("listening address="):
                    return line.split("=", 1)[1].strip()
            if not self.alive():
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start: {self.log_text()}")


class Fleet:
    """Platform, engines, plain services and daemons.

    regions: names of regions, each with one failure domain.
    prefill, decode, services, daemons: how many of each, spread over regions.
    engine: further settings of every engine, by name.
    """

    def __init__(self, build, regions=("mtl",), prefill=2, decode=2,
                 services=1, daemons=3, engine=None, text=None,
                 settings=None):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="shallotford-")
        self.regions = list(regions)
        self.engine = engine or {}
        self.settings = settings or {}
        self.text_changes = text or {}
        self.counts = (prefill, decode, services, daemons)
        self.engines, self.services, self.daemons = [], [], []
        self.platform = None
        self.text = None

    def program(self, name):
        return os.path.join(self.build, name)

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)
        return path

    def region(self, index):
        return self.regions[index % len(self.regions)]

    # ------------------------------------------------------------- start

    def start(self):
        prefill, decode, services, daemons = self.counts
        for index in range(prefill + decode):
            self.start_engine(index, "prefill" if index < prefill else "decode")
        for index in range(services):
            self.start_service(index)
        for index in range(daemons):
            self.plan_daemon(index)
        self.text = self.fleet_text()
        self.start_platform()
        for daemon in self.daemons:
            daemon["process"].start()
        for daemon in self.daemons:
            self.wait_ready(daemon)

    def start_engine(self, index, role):
        name = f"{role}-{index}"
        settings = {"listen": "127.0.0.1:0", "role": role, "model": "draft-1",
                    "version": "1", "seed": index + 1, **self.engine}
        settings.update(self.engine.get(role, {}))
        settings.pop("prefill", None)
        settings.pop("decode", None)
        process = Process(name, [
            self.program("shallotford-standin"), "engine", "--config",
            self.write(name + ".json", settings)], self.folder)
        process.start()
        entry = {"name": name, "role": role, "process": process,
                 "region": self.region(index), "address": process.address()}
        self.engines.append(entry)
        # A restart takes the same address again.
        settings["listen"] = entry["address"]
        self.write(name + ".json", settings)
        return entry

    def restart(self, entry):
        open(entry["process"].log_path, "w").close()
        entry["process"].start()
        entry["process"].address()

    def start_service(self, index):
        name = f"service-{index}"
        process = Process(name, [
            self.program("shallotford-standin"), "service",
            "--listen", "127.0.0.1:0"], self.folder)
        process.start()
        address = process.address()
        process.command[-1] = address
        self.services.append({"name": name, "process": process,
                              "region": self.region(index),
                              "address": address})

    def plan_daemon(self, index):
        name = f"vm-{index}"
        ports = [free_port() for _ in range(3)]
        callers, peers, operators = (f"127.0.0.1:{port}" for port in ports)
        entry = {"name": name, "address": callers, "peers": peers,
                 "operators": operators, "region": self.region(index)}
        self.daemons.append(entry)

    def daemon_settings(self, entry):
        return {"callers": {"listen": entry["address"]},
                "peers": {"listen": entry["peers"]},
                "operators": {"listen": entry["operators"]},
                "platform": self.platform["address"],
                "region": entry["region"],
                "failure_domain": entry["region"] + "-1", **self.settings}

    def start_platform(self):
        fleet = self.write("fleet.json", self.text)
        vms = self.write("vms.json", self.vm_list())
        process = Process("platform", [
            self.program("shallotford-standin"), "platform",
            "--listen", "127.0.0.1:0", "--fleet", fleet, "--vms", vms],
            self.folder)
        process.start()
        self.platform = {"name": "platform", "process": process,
                         "address": process.address()}
        for entry in self.daemons:
            path = self.write(entry["name"] + ".json",
                              self.daemon_settings(entry))
            entry["process"] = Process(
                entry["name"],
                [self.program("shallotfordd"), "--config", path], self.folder)

    def wait_ready(self, entry):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if fetch(entry["address"], "/readyz", timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            if not entry["process"].alive():
                break
            time.sleep(0.05)
        raise RuntimeError(
            f"{entry['name']} is not ready: {entry['process'].log_text()}")

    # ------------------------------------------------------------- texts

    def fleet_text(self):
        links = [{"from": a, "to": b,
                  "bytes_per_second": 12_500_000_000 if a == b
                  else 2_500_000_000,
                  "latency_us": 500 if a == b else 6000,
                  "cost": 0 if a == b else 0.02}
                 for a in self.regions for b in self.regions]
        engines = [{"address": e["address"], "server": e["name"],
                    "region": e["region"],
                    "failure_domain": e["region"] + "-1", "role": e["role"],
                    "kv_pieces": self.engine.get("kv_pieces", 200),
                    "batch_limit": self.engine.get("batch_limit", 20)}
                   for e in self.engines]
        servers = [{"address": s["address"], "region": s["region"],
                    "failure_domain": s["region"] + "-1"}
                   for s in self.services]
        text = {
            "revision": 1,
            "regions": [{"name": r, "failure_domains": [r + "-1"]}
                        for r in self.regions],
            "links": links,
            "models": [{
                "name": "draft-1", "version": "1",
                "prefill_tokens_per_second":
                    self.engine.get("prefill_tokens_per_second", 20000),
                "decode_step_us": self.engine.get("decode_step_us", 30000),
                "kv_bytes_per_token": 131072, "max_prompt_tokens": 40000,
                "max_output_tokens": 4096}],
            "services": [{"name": "drafting", "kind": "model",
                          "model": "draft-1", "deadline_ms": 30000,
                          "engines": engines}],
            "anonymous_callers": True,
        }
        if servers:
            text["services"].append(
                {"name": "booking", "kind": "plain", "deadline_ms": 10000,
                 "servers": servers,
                 "non_repeatable": [{"method": "POST", "path": "/holds"}]})
        text.update(self.text_changes)
        return text

    def vm_list(self):
        vms = [{"address": d["peers"], "kind": "entry", "state": "live"}
               for d in self.daemons]
        vms += [{"address": e["address"], "kind": "engine", "state": "live"}
                for e in self.engines]
        vms += [{"address": s["address"], "kind": "service", "state": "live"}
                for s in self.services]
        return {"vms": vms}

    # -------------------------------------------------------------- load

    def load_command(self, **options):
        command = [self.program("shallotford-standin"), "load", "--daemons",
                   ",".join(d["address"] for d in self.daemons),
                   "--model", "draft-1"]
        for name, value in options.items():
            command.append("--" + name.replace("_", "-"))
            if value is not True:
                command.append(str(value))
        return command

    def start_load(self, name="load", **options):
        process = Process(name, self.load_command(**options), self.folder)
        process.start()
        return process

    # -------------------------------------------------------------- stop

    def everything(self):
        entries = self.daemons + self.engines + self.services
        return entries + ([self.platform] if self.platform else [])

    def stop(self):
        """Ends all by id; daemons by a planned stop. Returns their codes.

        The folder with the logs is removed, unless SHALLOTFORD_KEEP is set.
        """
        codes = []
        for entry in self.daemons:
            if "process" in entry:
                entry["process"].signal(signal.SIGCONT)
                entry["process"].signal(signal.SIGTERM)
        for entry in self.daemons:
            process = entry.get("process")
            if process is None or process.child is None:
                continue
            try:
                codes.append(process.wait())
            except subprocess.TimeoutExpired:
                process.kill()
                codes.append(-9)
        for entry in self.everything():
            process = entry.get("process")
            if process is not None and process.alive():
                process.signal(signal.SIGCONT)
                process.kill()
        if "SHALLOTFORD_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        return codes
