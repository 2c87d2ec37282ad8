"""Servers that stream events, and clients that take streams up again."""

import asyncio
import time

from standins import Server, read_head

DEADLINE_S = 14.0


def event(version, number):
    return f"id: {number}\ndata: token {number} of version {version}\n\n"


class StreamServer(Server):
    """Streams events that name its version, and resumes after an event."""

    def __init__(self, *args, events, gap_s, **kwargs):
        super().__init__(*args, **kwargs)
        self.events, self.gap_s = events, gap_s

    async def answer(self, method, target, fields, body, writer):
        request = fields.get("x-shallotford-request-id")
        last = int(fields.get("last-event-id") or 0)
        version = self.entry["version"]
        self.record.add(f"run {request} at {self.id}, version {version}, "
                        f"from event {last + 1}")
        named = {**self.signed(fields), "Content-Type": "text/event-stream",
                 "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{n}: {v}\r\n" for n, v in named.items()) + "\r\n").encode())
        for number in range(last + 1, self.events + 1):
            data = event(version, number).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")


class Stream:
    """A client's stream: what it has received over all of its attempts."""

    def __init__(self, record, host, path, name, names_origin=False):
        # names_origin: its attempts name the one that brought the first event
        self.names_origin, self.retry_after = names_origin, 0.0
        self.record, self.host, self.path, self.name = record, host, path, name
        self.began = time.monotonic()
        self.text, self.last, self.whole = "", 0, False
        self.origin = None  # the attempt that brought the first event
        self.attempts = 0
        self.status = 0

    async def attempt(self, ip, port):
        """Returns False if no connection was made."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        self.attempts += 1
        self.status, self.retry_after = 0, 0.0
        request = f"{self.name}{self.attempts:02x}"
        left = DEADLINE_S - (time.monotonic() - self.began)
        body = b'{"prompt":"inquiry"}'
        fields = [f"POST {self.path} HTTP/1.1", f"Host: {self.host}",
                  f"X-Shallotford-Request-Id: {request}",
                  f"X-Shallotford-Deadline-Ms: {int(left * 1000)}",
                  "X-Shallotford-Model: m",
                  "X-Shallotford-Token-Count: 5200,71",
                  f"Content-Length: {len(body)}"]
        if self.last:
            fields.append(f"Last-Event-Id: {self.last}")
            if self.names_origin:
                fields.append(f"Resumes: {self.origin}")
        self.record.add(f"send {request} to {ip}, deadline {left:.2f} s"
                        + (f", after event {self.last}" if self.last else ""))
        try:
            writer.write("\r\n".join(fields).encode() + b"\r\n\r\n" + body)
            await asyncio.wait_for(self._read(reader, request), max(left, 0.1))
            end = "whole" if self.whole else "no stream"
        except (OSError, asyncio.IncompleteReadError) as error:
            end = f"broken ({type(error).__name__})"
        except asyncio.TimeoutError:
            end = "the deadline is over"
        finally:
            writer.close()
        self.record.add(f"answer {request}: status {self.status}, {end}, "
                        f"last event {self.last}")
        return True

    async def _read(self, reader, request):
        first, fields = await read_head(reader)
        self.status = int(first.split(" ")[1])
        self.retry_after = float(fields.get("retry-after", 0))
        if self.status != 200:
            return
        rest = ""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = (await reader.readexactly(size + 2))[:size]
            if size == 0:
                self.whole = True
                return
            rest += data.decode()
            while "\n\n" in rest:
                one, rest = rest.split("\n\n", 1)
                self.text += one + "\n\n"
                self.last = int(one.split("id: ")[1].split("\n")[0])
                self.origin = self.origin or request

    def versions(self):
        return sorted({line.rsplit(" ", 1)[1]
                       for line in self.text.split("\n")
                       if line.startswith("data: ")})
