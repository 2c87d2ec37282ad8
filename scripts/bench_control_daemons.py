"""Nine real daemons: a new revision while the platform is down for eight of
them, an upstream that leaves, and the cost of control at rest.

Usage: bench_control_daemons.py BUILD
"""

import json
import os
import sys
import time

from fleet import Fleet, Process, fetch

REGIONS = ("mtl", "capitale", "saglac")
DAEMONS, PREFILL, DECODE, SERVICES = 9, 4, 8, 3
REST_S = 10
IN_FORCE_BOUND_S = 2.0
LEAVING_BOUND_S = 3.0
CORE_PCT_BOUND = 4.3
RSS_MB_BOUND = 128
JSON_HEADERS = {"content-type": "application/json"}


class SplitFleet(Fleet):
    """A fleet in which all daemons but the first have a platform of their own
    that can be ended."""

    def start_platform(self):
        self.second = None
        super().start_platform()
        process = Process("platform-2", [
            self.program("shallotford-standin"), "platform",
            "--listen", "127.0.0.1:0",
            "--fleet", os.path.join(self.folder, "fleet.json"),
            "--vms", os.path.join(self.folder, "vms.json")], self.folder)
        process.start()
        self.second = {"name": "platform-2", "process": process,
                       "address": process.address()}
        for entry in self.daemons[1:]:
            self.write(entry["name"] + ".json", self.daemon_settings(entry))

    def daemon_settings(self, entry):
        settings = super().daemon_settings(entry)
        if self.second is not None:
            settings["platform"] = self.second["address"]
        return settings

    def everything(self):
        return super().everything() + ([self.second] if self.second else [])


def status(daemon):
    body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "status",
                       "params": {}})
    _, answer = fetch(daemon["operators"], "/rpc", body, headers=JSON_HEADERS)
    return json.loads(answer)["result"]


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def rest(fleet):
    """Returns percent of a core and MB of the busiest daemon at rest."""
    pids = [d["process"].child.pid for d in fleet.daemons]
    before = [cpu_seconds(pid) for pid in pids]
    time.sleep(REST_S)
    used = [cpu_seconds(pid) - b for pid, b in zip(pids, before)]
    return 100 * max(used) / REST_S, max(rss_mb(pid) for pid in pids)


def time_in_force(fleet):
    """Publishes a revision where one daemon alone can read it."""
    fleet.second["process"].kill()
    text = {**fleet.text, "revision": 2}
    start = time.monotonic()
    fetch(fleet.platform["address"], "/admin/config", json.dumps(text),
          method="PUT", headers=JSON_HEADERS)
    while time.monotonic() - start < 20:
        if all(status(d)["revision"] == 2 for d in fleet.daemons):
            return time.monotonic() - start
        time.sleep(0.02)
    return float("inf")


def claims(engine):
    """Returns how often the engine was asked for memory, whatever it said."""
    _, body = fetch(engine["address"], "/admin/stats")
    stats = json.loads(body)
    return stats["imports_claimed"] + stats["imports_refused"]


def time_until_unused(fleet):
    """Lets a decode engine say that it leaves; returns when the last new claim
    reached it after that."""
    engine = next(e for e in fleet.engines if e["role"] == "decode")
    load = fleet.start_load(requests=300, rate=50, max_tokens=20)
    time.sleep(1.5)
    fetch(engine["address"], "/admin/faults", '{"leaving": true}',
          headers=JSON_HEADERS)
    start = time.monotonic()
    last, seen = 0.0, claims(engine)
    while load.alive() and time.monotonic() - start < 20:
        time.sleep(0.02)
        now = claims(engine)
        if now != seen:
            seen, last = now, time.monotonic() - start
    load.wait()
    report = json.loads(next(line for line in load.log_text().splitlines()
                             if line.startswith("{")))
    print(f"load beside the leaving engine: answered={report['answered']} "
          f"lost={report['lost']} of {report['sent']}")
    return last, report["lost"] + report["failed"]


def main():
    fleet = SplitFleet(sys.argv[1], REGIONS, PREFILL, DECODE, SERVICES, DAEMONS)
    try:
        fleet.start()
        core_pct, rss = rest(fleet)
        in_force = time_in_force(fleet)
        leaving, lost = time_until_unused(fleet)
    finally:
        codes = fleet.stop()
    print(f"daemons: vms={DAEMONS} core_pct={core_pct:.2f} rss_mb={rss:.1f} "
          f"config_in_force_s={in_force:.2f} leaving_stop_s={leaving:.2f} "
          f"lost={lost}")
    good = (core_pct <= CORE_PCT_BOUND and rss <= RSS_MB_BOUND
            and in_force <= IN_FORCE_BOUND_S and leaving <= LEAVING_BOUND_S
            and lost == 0 and all(code == 0 for code in codes))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
