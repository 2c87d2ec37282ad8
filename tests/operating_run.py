"""Runs the shell blocks of a document against a small fleet.

Usage: operating_run.py BUILD DOCUMENT
"""

import os
import re
import shutil
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))

from fleet import Fleet  # noqa: E402

BLOCK = re.compile(r"^```sh\n(.*?)^```", re.MULTILINE | re.DOTALL)
BLOCK_TIMEOUT_S = 60
LEAST_BLOCKS = 7


def environment(fleet):
    operators = [daemon["operators"] for daemon in fleet.daemons]
    return {**os.environ,
            "PATH": fleet.build + os.pathsep + os.environ["PATH"],
            "VM": operators[0], "FLEET": ",".join(operators),
            "ENTRY": fleet.daemons[0]["address"],
            "PLATFORM": fleet.platform["address"]}


def run_block(number, block, variables, folder):
    """Returns whether the block ended with 0."""
    result = subprocess.run(
        ["bash", "-euo", "pipefail", "-c", block], cwd=folder, env=variables,
        stdin=subprocess.DEVNULL, capture_output=True, text=True,
        timeout=BLOCK_TIMEOUT_S, check=False)
    print(f"--- block {number}: exit {result.returncode}\n{block}"
          f"{result.stdout[-4000:]}{result.stderr[-4000:]}")
    return result.returncode == 0


def main():
    with open(sys.argv[2], encoding="utf-8") as document:
        blocks = BLOCK.findall(document.read())
    fleet = Fleet(sys.argv[1], prefill=1, decode=1, services=1, daemons=2)
    failed = []
    try:
        fleet.start()
        shutil.copy(os.path.join(fleet.folder, "vm-0.json"),
                    os.path.join(fleet.folder, "vm.json"))
        variables = environment(fleet)
        for number, block in enumerate(blocks, 1):
            if not run_block(number, block, variables, fleet.folder):
                failed.append(number)
    finally:
        codes = fleet.stop()
    print(f"{len(blocks)} blocks, failed: {failed}, daemons' codes: {codes}")
    whole = len(blocks) >= LEAST_BLOCKS and not failed
    return 0 if whole and all(code == 0 for code in codes) else 1


if __name__ == "__main__":
    sys.exit(main())
