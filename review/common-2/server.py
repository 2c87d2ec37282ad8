"""Stand-in of one server of the users' platform, by PROTOCOL.md.

A separate process. It writes one JSON line to its log for each request that
arrives, runs, is rejected or ends. Lines on standard input change how it
behaves: each is a JSON object that is merged into its settings.
"""

import asyncio
import json
import os
import signal
import sys
import time

SETTINGS = json.loads(sys.argv[1])
LOG = open(SETTINGS["log"], "a", encoding="utf-8")
BORN = int(time.time() * 1000)
HOLDS, HANDLES = set(), set()
COUNTER = [0]
RUNNING = [0]


def note(event, **fields):
    fields.update(t=round(time.monotonic(), 4), server=SETTINGS["id"],
                  born=BORN, event=event)
    LOG.write(json.dumps(fields) + "\n")
    LOG.flush()


def crash(request):
    """The process ends while the request runs."""
    note("crash", id=request["id"], path=request["path"])
    os.kill(os.getpid(), signal.SIGKILL)


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return {"method": method, "path": path, "fields": fields, "body": body,
            "id": fields.get("x-shallotford-request-id", "")}


def head_of(status, request, fields, length=None, signed=False):
    reason = {200: "OK", 400: "Bad Request", 404: "Not Found",
              421: "Misdirected Request", 503: "Service Unavailable"}[status]
    lines = [f"HTTP/1.1 {status} {reason}"]
    if request["id"]:
        lines.append(f"X-Shallotford-Request-Id: {request['id']}")
    if signed:
        lines.append(
            f"X-Shallotford-Response-Signature: {SETTINGS['id']}.{BORN}.{request['id']}")
    lines.append(f"X-Shallotford-Server-Load: {RUNNING[0]},0,{SETTINGS['slots']}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Transfer-Encoding: chunked" if length is None
                 else f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def answer(writer, request, status, fields=None, body=b"", signed=False):
    writer.write(head_of(status, request, fields or {}, len(body), signed) + body)
    await writer.drain()


async def answer_json(writer, request, value):
    await answer(writer, request, 200, {"Content-Type": "application/json"},
                 json.dumps(value).encode())


async def reject(writer, request, status):
    note("reject", id=request["id"], path=request["path"], status=status)
    fields = ({"X-Shallotford-Instance-Id": SETTINGS["id"]} if status == 421
              else {"X-Shallotford-Not-Executed": "1"})
    await answer(writer, request, status, fields)


async def own_api(writer, request):
    """The server's own calls. Returns whether the request was one."""
    path, method = request["path"], request["method"]
    if path == "/healthz":
        await answer(writer, request, 200,
                     {"X-Shallotford-Instance-Id": SETTINGS["id"]})
    elif path == "/api/hold-take" and method == "POST":
        COUNTER[0] += 1
        hold = f"hold-{BORN}-{COUNTER[0]}"
        HOLDS.add(hold)
        await answer_json(writer, request, {"hold": hold})
    elif path.startswith("/api/hold-drop/") or path.startswith("/api/kv-handle/"):
        name = path.rsplit("/", 1)[1]
        HOLDS.discard(name)
        HANDLES.discard(name)
        await answer(writer, request, 200)
    elif path == "/api/report":
        await answer_json(writer, request, {
            "stage": SETTINGS.get("stage", ""), "busy": False, "seq": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "waiting": 0, "running": RUNNING[0], "kv-used": 0,
            "kv-total": 59729, "handles": len(HANDLES), "born": BORN})
    else:
        return False
    return True


async def watch_caller(reader, task):
    """Ends the work when the caller closes the connection."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
    task.cancel()


async def run_stream(writer, request):
    """Sends events with increasing ids, and goes on after Last-Event-Id."""
    after = int(request["fields"].get("last-event-id") or 0)
    events = SETTINGS.get("events", 20)
    await asyncio.sleep(SETTINGS.get("first_ms", 40) / 1000)
    writer.write(head_of(200, request, {"Content-Type": "text/event-stream",
                                        "X-Shallotford-Weight-Versions": "1"},
                         signed=True))
    mark = SETTINGS.get("poison", "")
    poisonous = mark and mark in request["path"]
    for number in range(after + 1, events + 1):
        data = f"id: {number}\ndata: token {number} of {request['path']}\n\n"
        writer.write(chunk(data.encode()))
        await writer.drain()
        note("event", id=request["id"], path=request["path"], number=number)
        await asyncio.sleep(SETTINGS.get("event_ms", 50) / 1000)
        if number == SETTINGS.get("preempt_after") and not after and \
                SETTINGS["preempt"] in request["path"]:
            # Another request needs the memory; this one is read in again.
            note("preempt", id=request["id"], path=request["path"])
            await asyncio.sleep(SETTINGS["preempt_ms"] / 1000)
        if poisonous and SETTINGS.get("crash"):
            crash(request)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def run_plain(writer, request):
    mark = SETTINGS.get("poison", "")
    if mark and mark in request["path"] and SETTINGS.get("crash"):
        await asyncio.sleep(0.02)
        crash(request)
    await asyncio.sleep(SETTINGS.get("work_ms", 30) * SETTINGS.get("slow_x", 1)
                        / 1000)
    size, parts = SETTINGS.get("bytes", 800), SETTINGS.get("parts", 1)
    text = (f"{request['id']} by {SETTINGS['id']}\n".encode() * (size // 8 + 1))[:size]
    writer.write(head_of(200, request, {"Content-Type": "text/plain"}, size,
                         signed=True))
    ends = [size * (part + 1) // parts for part in range(parts)]
    ends = [max(end, SETTINGS.get("at_once", 0)) for end in ends]
    begin = 0
    for end in ends:
        writer.write(text[begin:end])
        await writer.drain()
        begin = end
        if end < size:
            await asyncio.sleep(SETTINGS.get("part_ms", 0) / 1000)


async def work(writer, request):
    expected = request["fields"].get("x-shallotford-expect-instance")
    if expected is not None and expected != SETTINGS["id"]:
        await reject(writer, request, 421)
        return
    if await own_api(writer, request):
        return
    if not request["id"]:
        await reject(writer, request, 400)
        return
    stage = SETTINGS.get("stage")
    wants_prefill = request["fields"].get("x-shallotford-stage") == "prefill"
    if stage and wants_prefill != (stage == "prefill"):
        await reject(writer, request, 421)
        return
    if RUNNING[0] >= SETTINGS["slots"]:
        await reject(writer, request, 503)
        return
    if wants_prefill:
        note("prefill", id=request["id"], path=request["path"])
        await asyncio.sleep(SETTINGS.get("prefill_ms", 40) / 1000)
        COUNTER[0] += 1
        handle = f"{BORN:x}{COUNTER[0]:x}"
        HANDLES.add(handle)
        await answer_json(writer, request,
                          {"handle": handle, "tokens": 100, "version": 1})
        return
    note("run", id=request["id"], path=request["path"],
         method=request["method"],
         deadline=request["fields"].get("x-shallotford-deadline-ms"),
         after=request["fields"].get("last-event-id"))
    RUNNING[0] += 1
    try:
        if SETTINGS.get("stream"):
            await run_stream(writer, request)
        else:
            await run_plain(writer, request)
        note("answered", id=request["id"], path=request["path"])
    except (asyncio.CancelledError, ConnectionError):
        note("dropped", id=request["id"], path=request["path"])
        raise
    finally:
        RUNNING[0] -= 1


async def serve(reader, writer):
    try:
        while True:
            request = await read_request(reader)
            note("arrive", id=request["id"], path=request["path"],
                 method=request["method"])
            task = asyncio.ensure_future(work(writer, request))
            watch = asyncio.ensure_future(watch_caller(reader, task))
            try:
                await task
            finally:
                watch.cancel()
                try:
                    await watch
                except (asyncio.CancelledError, ConnectionError):
                    pass
    except (asyncio.IncompleteReadError, asyncio.CancelledError,
            ConnectionError, ValueError):
        pass
    finally:
        writer.transport.abort()


async def read_orders():
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader),
                                 sys.stdin)
    while True:
        line = await reader.readline()
        if not line:
            os._exit(0)  # the script that started this server has ended
        SETTINGS.update(json.loads(line))
        note("settings", change=json.loads(line))


async def main():
    server = await asyncio.start_server(serve, SETTINGS["host"],
                                        SETTINGS["port"], backlog=256)
    print(json.dumps({"born": BORN}), flush=True)
    async with server:
        await read_orders()


asyncio.run(main())
