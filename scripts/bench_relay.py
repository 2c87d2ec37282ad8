"""Starts one daemon and two fast engines and runs relay_bench against them.

Usage: bench_relay.py BUILD
"""

import subprocess
import sys

from fleet import Fleet

FAST_ENGINE = {"prefill_tokens_per_second": 100_000_000, "decode_step_us": 20,
               "decode_step_per_stream_us": 0, "batch_limit": 64,
               "kv_pieces": 2000, "link_bytes_per_second": 100_000_000_000_000,
               "load_lag_ms": 100}


def main():
    fleet = Fleet(sys.argv[1], prefill=1, decode=1, services=0, daemons=1,
                  engine=FAST_ENGINE, settings={"log_level": "warning"})
    try:
        fleet.start()
        daemon = fleet.daemons[0]
        return subprocess.run(
            [fleet.program("relay_bench"), daemon["address"],
             fleet.engines[0]["address"], fleet.engines[1]["address"],
             str(daemon["process"].child.pid)], check=False,
            timeout=240).returncode
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
