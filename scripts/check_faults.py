"""Sends load through three daemons while one of them is killed, one paused, one
stopped, and a decode engine is killed; then checks what must hold.

No time is asserted. Usage: check_faults.py BUILD
"""

import json
import signal
import sys
import time

from bench_faults import bookings_run_twice, held_streams, report_of
from fleet import Fleet

REQUESTS, RATE = 240, 40
FREE_TIMEOUT_S = 60


def inject(fleet):
    """Injects each fault once, one after the other."""
    killed, paused, stopped = fleet.daemons
    killed["process"].kill()
    time.sleep(0.5)
    killed["process"].start()
    fleet.wait_ready(killed)
    paused["process"].signal(signal.SIGSTOP)
    time.sleep(1)
    paused["process"].signal(signal.SIGCONT)
    stopped["process"].signal(signal.SIGTERM)
    code = stopped["process"].wait()
    stopped["process"].start()
    fleet.wait_ready(stopped)
    engine = next(e for e in fleet.engines if e["role"] == "decode")
    engine["process"].kill()
    time.sleep(0.5)
    fleet.restart(engine)
    return code


def main():
    fleet = Fleet(sys.argv[1], ("mtl",), 2, 4, 2, 3,
                  settings={"log_level": "warning"})
    try:
        fleet.start()
        load = fleet.start_load(
            requests=REQUESTS, rate=RATE, cancel_share=0.1, resubmits=50,
            non_repeatable="/services/booking/holds",
            non_repeatable_share=0.3, max_tokens=40,
            executions=",".join(s["address"] for s in fleet.services))
        time.sleep(1)
        stop_code = inject(fleet)
        load.wait(120)
        report = report_of(load)
        deadline = time.monotonic() + FREE_TIMEOUT_S
        while held_streams(fleet) and time.monotonic() < deadline:
            time.sleep(0.1)
        held = len(held_streams(fleet))
        ran_twice = bookings_run_twice(fleet)
    finally:
        codes = fleet.stop()
    drafts = report["failed"] - sum(
        1 for outcome in report["bookings"].values() if outcome == "failed")
    checks = {"lost": report["lost"], "failed drafts": drafts,
              "answered twice": report["twice"], "ran twice": ran_twice,
              "refused but ran": report["ran_though_refused"],
              "answered but not run": report["answered_but_not_run"],
              "streams still held": held, "exit code of the stop": stop_code,
              "exit codes at the end": sum(abs(code) for code in codes)}
    print(json.dumps({"sent": report["sent"], "answered": report["answered"],
                      **checks, "reasons": report["reasons"]}))
    return 0 if not any(checks.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
