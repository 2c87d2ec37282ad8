"""Starts a small fleet and drives its daemons with the stock client.

Usage: run.py BUILD
"""

import hashlib
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "scripts"))

from fleet import Fleet  # noqa: E402

SALT = bytes.fromhex("00ff")
TEST_TIMEOUT_S = 120


def caller(name, **limits):
    """Returns an entry of the fleet text; the key is the name."""
    digest = hashlib.sha256(SALT + name.encode()).hexdigest()
    return {"name": name, "key_salt": SALT.hex(), "key_hash": digest, **limits}


def main():
    callers = [caller("planners"),
               caller("couples", tokens_per_second=1, burst_tokens=1)]
    fleet = Fleet(sys.argv[1], prefill=1, decode=1, services=0, daemons=2,
                  text={"anonymous_callers": False, "callers": callers})
    try:
        fleet.start()
        entries = ",".join(daemon["address"] for daemon in fleet.daemons)
        environment = {**os.environ, "ENTRIES": entries,
                       "OPERATORS": fleet.daemons[0]["operators"],
                       "MODEL": "draft-1",
                       "KEY": "planners", "LIMITED_KEY": "couples"}
        result = subprocess.run(
            ["node", "--test", os.path.join(HERE, "client_test.mjs")],
            env=environment, timeout=TEST_TIMEOUT_S, check=False)
    finally:
        codes = fleet.stop()
    if result.returncode != 0:
        for daemon in fleet.daemons:
            print(daemon["process"].log_text())
    print(f"exit codes of the daemons: {codes}")
    return 0 if result.returncode == 0 and codes == [0, 0] else 1


if __name__ == "__main__":
    sys.exit(main())
