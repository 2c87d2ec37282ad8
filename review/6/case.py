"""A stream crashes each server that begins to run it, after its first event."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import world as w  # noqa: E402

BACK_S = 2.0        # a crashed server is back after some seconds
ATTEMPTS = 12       # times that the request comes
ATTEMPT_PAUSE_S = 3.0
ZONES = ("mtl-est", "cap-nord", "saglac-1")


async def case(world):
    for index in range(2):
        await world.start_server(f"prefill-{index}", "gen", stage="prefill",
                                 slots=128, zone=ZONES[index])
    decoders = []
    for index in range(6):
        decoders.append(await world.start_server(
            f"decode-{index}", "gen", stage="decode", stream=True, slots=128,
            events=30, event_ms=50, poison="/poison", crash=w.TROUBLE,
            zone=ZONES[index % 3]))
    world.store.put("op/config", {
        "version": 7,
        "routes": [{"name": "r-sum", "host": world.HOST, "prefix": "/sum/",
                    "kind": "streaming", "timeout-ms": 14000,
                    "target-latency-ms": 900, "priority": 1, "service": "gen",
                    "max-attempts": 2, "sticky": True, "resumable": True,
                    "gap-aim-ms": 300}],
        "services": [{"name": "gen", "health-path": "/healthz",
                      "max-connections": 630, "protocol": "h1", "tls": False,
                      "engine": {"slots": 128, "kv-tokens": 59729,
                                 "kv-bytes": 18432, "link-mbps": 370000.0,
                                 "stride": 11, "handle-ttl-s": 2.0,
                                 "role-switch-s": 6.0, "hold-ms": 2000.0,
                                 "models": [{"name": "m"}]}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
    await world.start_nodes(3)
    for server in decoders:
        world.spawn(world.keep_up(server, BACK_S))
    innocents, stop = [], asyncio.Event()

    def fields_of(own_part):
        return {"X-Shallotford-Model": "m",
                "X-Shallotford-Token-Count": "1000,330",
                "X-Shallotford-Prompt-Prefix": f"5c1e07a2:200,{own_part}:800"}

    async def innocent(number):
        count = 0
        while not stop.is_set():
            count += 1
            connection = world.connect(world.nodes[(number + count) % 3])
            seen = await connection.call(
                "POST", f"/sum/{number}/{count}", world.HOST, world.new_id(),
                14000, fields_of(f"{number + 1:04x}{count:04x}"), b"prompt")
            connection.close()
            innocents.append(seen)
            await asyncio.sleep(0.3)

    clients = [asyncio.ensure_future(innocent(n)) for n in range(6)]
    await asyncio.sleep(2)
    poison = []
    for attempt in range(ATTEMPTS):
        connection = world.connect(world.nodes[attempt % 3])
        seen = await connection.call(
            "POST", "/sum/poison", world.HOST, world.new_id(), 14000,
            fields_of("deadbeef"), b"poison prompt")
        connection.close()
        poison.append(seen)
        world.note("poison " + w.show(seen)
                   + f", Retry-After {seen.get('retry_after')}")
        await asyncio.sleep(ATTEMPT_PAUSE_S)
    stop.set()
    await asyncio.gather(*clients)

    log = world.server_log()
    for entry in log:
        if "poison" in entry.get("path", "") and entry["event"] != "event":
            world.note(f"server {entry['server']} {entry['event']} "
                       f"{entry['id']} at {entry['t'] - world.began:.3f}")
    for line in world.grep_nodes("upstream_crash", "crash_conviction",
                                 "crash_acquittal", "upstream_alive"):
        world.record.write(line + "\n")
    crashes = [e["t"] for e in log if e["event"] == "crash"]
    whole = sum(seen["complete"] for seen in innocents)
    world.note(f"{len(crashes)} crashes; of {len(innocents)} other streams "
               f"{whole} were whole")
    if w.TROUBLE and len(crashes) < 3:
        raise w.CouldNotRun("fewer than three servers crashed")
    if not w.TROUBLE:
        held = all(seen["complete"] for seen in poison)
        world.note(f"without the crashes: all answered: {held}")
        return w.HELD if held and not crashes else w.BROKEN
    # Client attempts, not sends, that reached a server since then.
    since = crashes[2] + w.CONTACT_S
    late = {e["id"] for e in log if e["event"] in ("run", "prefill")
            and "poison" in e["path"] and e["t"] > since}
    world.note(f"{len(late)} retries reached servers later than {w.CONTACT_S} s "
               "after the third crash; 3 are allowed")
    return w.BROKEN if len(late) > 3 else w.HELD


w.run(case, FOLDER)
