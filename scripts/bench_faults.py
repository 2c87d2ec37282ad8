"""Nine daemons, twelve engines and three plain services under faults.

Phase 1 kills, pauses and restarts daemons and engines and stalls transfers
under load. Phase 2 sends a poison request again and again through all daemons.
What happened is read from the stand-ins and from the load generator.

Usage: bench_faults.py BUILD SEED
"""

import json
import random
import signal
import sys
import threading
import time

from fleet import Fleet, fetch

REGIONS = ("mtl", "capitale", "saglac")
DAEMONS, PREFILL, DECODE, SERVICES = 9, 4, 8, 3
PHASE_1_S = 30
LOAD_RATE = 40
LOAD_REQUESTS = LOAD_RATE * PHASE_1_S
PHASE_2_REQUESTS = LOAD_RATE * 10
POISON_WORD = "zyzzyva"
POISON_SENDS = 12
HELD_BOUND_S = 5.0
ENGINES_PER_POISON = 2
JSON_HEADERS = {"content-type": "application/json"}


def load_options(fleet, seed, requests):
    return {"requests": requests, "rate": LOAD_RATE, "seed": seed,
            "service": "/services/booking/lookup", "service_share": 0.1,
            "non_repeatable": "/services/booking/holds",
            "non_repeatable_share": 0.3, "cancel_share": 0.1,
            "resubmits": 20, "max_tokens": 60,
            "executions": ",".join(s["address"] for s in fleet.services)}


def admin(entry, faults):
    try:
        fetch(entry["address"], "/admin/faults", json.dumps(faults),
              headers=JSON_HEADERS, timeout=2)
    except OSError:
        pass  # it is down or paused just now


class Faults:
    """Injects one seeded fault after the other until told to stop."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts = {}
        self.threads = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        kinds = [self.kill_daemon, self.pause_daemon, self.stop_daemon,
                 self.kill_engine, self.pause_engine, self.stall_transfers]
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.counts[kind.__name__] = self.counts.get(kind.__name__, 0) + 1
            thread = threading.Thread(target=kind)
            thread.start()
            self.threads.append(thread)
            time.sleep(self.random.uniform(0.8, 2.0))
        for thread in self.threads:
            thread.join()

    def free(self, entries):
        """Returns an entry that no other fault has hold of."""
        idle = [e for e in entries if not e.get("busy")]
        if not idle:
            return None
        entry = self.random.choice(idle)
        entry["busy"] = True
        return entry

    def kill_daemon(self):
        entry = self.free(self.fleet.daemons)
        if entry is None:
            return
        entry["process"].kill()
        time.sleep(2)
        entry["process"].start()
        self.fleet.wait_ready(entry)
        entry["busy"] = False

    def pause_daemon(self):
        entry = self.free(self.fleet.daemons)
        if entry is None:
            return
        entry["process"].signal(signal.SIGSTOP)
        time.sleep(4)
        entry["process"].signal(signal.SIGCONT)
        time.sleep(1)
        entry["busy"] = False

    def stop_daemon(self):
        entry = self.free(self.fleet.daemons)
        if entry is None:
            return
        entry["process"].signal(signal.SIGTERM)
        time.sleep(0.2)
        entry["process"].signal(signal.SIGTERM)
        code = entry["process"].wait()
        if code != 0:
            self.counts["stop_failed"] = self.counts.get("stop_failed", 0) + 1
            print(f"{entry['name']} stopped with exit code {code}")
        entry["process"].start()
        self.fleet.wait_ready(entry)
        entry["busy"] = False

    def kill_engine(self):
        entry = self.free(self.fleet.engines)
        if entry is None:
            return
        entry["process"].kill()
        time.sleep(1.5)
        self.fleet.restart(entry)
        entry["busy"] = False

    def pause_engine(self):
        entry = self.free(self.fleet.engines)
        if entry is None:
            return
        entry["process"].signal(signal.SIGSTOP)
        time.sleep(1)
        entry["process"].signal(signal.SIGCONT)
        entry["busy"] = False

    def stall_transfers(self):
        for entry in self.fleet.engines:
            admin(entry, {"stall_rate": 0.5, "stall_ms": 3000})
        time.sleep(2)
        for entry in self.fleet.engines:
            admin(entry, {"stall_rate": 0})


def held_streams(fleet):
    """Returns what engines hold, as (engine, stream, state, age_ms)."""
    held = []
    for entry in fleet.engines:
        _, body = fetch(entry["address"], "/engine/v1/streams")
        for stream in json.loads(body)["streams"]:
            held.append((entry["name"], stream["stream"], stream["state"],
                         stream["age_ms"]))
    return held


def time_until_free(fleet, limit):
    """Returns seconds until no engine holds anything."""
    start = time.monotonic()
    held = held_streams(fleet)
    while held and time.monotonic() - start < limit:
        time.sleep(0.1)
        held = held_streams(fleet)
    for entry in held[:10]:
        print("still held:", entry)
    return time.monotonic() - start


def report_of(process):
    for line in process.log_text().splitlines():
        if line.startswith("{"):
            return json.loads(line)
    raise RuntimeError("no report: " + process.log_text()[-2000:])


def send_poison(fleet, number):
    """Sends the poison request through one daemon after the other."""
    body = json.dumps({"model": "draft-1", "max_tokens": 20, "messages": [
        {"role": "user", "content": f"menu {number} {POISON_WORD}"}]})
    answers = []
    for index in range(POISON_SENDS):
        daemon = fleet.daemons[index % len(fleet.daemons)]
        try:
            status, answer = fetch(daemon["address"], "/v1/chat/completions",
                                   body, headers=JSON_HEADERS, timeout=40)
            code = json.loads(answer).get("error", {}).get("code", "")
            answers.append((status, code))
        except OSError as error:
            answers.append((0, str(error)))
        time.sleep(0.2)
    return answers


def phase_1(fleet, seed):
    load = fleet.start_load("load-1", **load_options(fleet, seed,
                                                     LOAD_REQUESTS))
    faults = Faults(fleet, seed)
    faults.run(PHASE_1_S)
    load.wait(180)
    report = report_of(load)
    held = time_until_free(fleet, 20)
    print("faults injected:", faults.counts)
    return report, held, faults.counts.get("stop_failed", 0)


def phase_2(fleet, seed):
    for entry in fleet.engines:
        if entry["role"] == "prefill":
            admin(entry, {"poison_word": POISON_WORD,
                          "poison_stage": "decode"})
    load = fleet.start_load("load-2", **load_options(fleet, seed + 1000,
                                                     PHASE_2_REQUESTS))
    time.sleep(3)
    answers = send_poison(fleet, seed)
    load.wait(180)
    crashed = [e for e in fleet.engines if not e["process"].alive()]
    for entry in crashed:
        print("crashed:", entry["name"], entry["process"].child.poll())
        fleet.restart(entry)
    print("answers to the poison request:", answers)
    held = time_until_free(fleet, 20)
    return report_of(load), held, len(crashed)


def bookings_run_twice(fleet):
    """Counts keys that the services, taken together, ran more than once."""
    runs = {}
    for service in fleet.services:
        _, body = fetch(service["address"], "/admin/executions")
        for key, count in json.loads(body).items():
            runs[key] = runs.get(key, 0) + count
    return sum(1 for key, count in runs.items()
               if key.startswith("booking") and count > 1)


def failed_drafts(report):
    """Failures that are no bookings: an engine's loss must not show."""
    bookings = sum(1 for o in report["bookings"].values() if o == "failed")
    return report["failed"] - bookings, bookings


def main():
    build, seed = sys.argv[1], int(sys.argv[2])
    fleet = Fleet(build, REGIONS, PREFILL, DECODE, SERVICES, DAEMONS)
    try:
        fleet.start()
        first, held_1, stop_failed = phase_1(fleet, seed)
        second, held_2, per_poison = phase_2(fleet, seed)
        ran_twice = bookings_run_twice(fleet)
    finally:
        codes = fleet.stop()
    totals = {"sent": 0, "lost": 0, "twice": 0, "refused": 0, "unknown": 0,
              "ran_though_refused": 0, "answered": 0, "cancelled": 0}
    for report in (first, second):
        drafts, bookings = failed_drafts(report)
        totals["sent"] += report["sent"]
        totals["answered"] += report["answered"]
        totals["cancelled"] += report["cancelled"]
        totals["refused"] += report["refused"]
        totals["lost"] += report["lost"] + drafts + \
            report["answered_but_not_run"]
        totals["twice"] += report["twice"]
        totals["unknown"] += bookings
        totals["ran_though_refused"] += report["ran_though_refused"]
        print("reasons:", report["reasons"], "problems:",
              report["problems"][:5])
    print("answered:", totals["answered"], "refused:", totals["refused"],
          "cancelled:", totals["cancelled"], "exit codes:", codes)
    held = max(held_1, held_2)
    print(f"faults: requests={totals['sent']} lost={totals['lost']} "
          f"answered_twice={totals['twice']} ran_twice={ran_twice} "
          f"refused_but_ran={totals['ran_though_refused']} "
          f"held_after_s={held:.1f} engines_lost_per_poison={per_poison} "
          f"unknown={totals['unknown']}")
    good = (totals["lost"] == 0 and totals["twice"] == 0 and ran_twice == 0
            and totals["ran_though_refused"] == 0 and held <= HELD_BOUND_S
            and per_poison <= ENGINES_PER_POISON and stop_failed == 0
            and all(code == 0 for code in codes))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
