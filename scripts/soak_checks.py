"""Tests of the soak's checks: each one sees the fault that it is for."""

import asyncio
import time
import types
import unittest

from soak import Answer, Soak
from soak_world import (SIGNATURE, Server, sign, stream_event,
                        stream_length)


def make_soak(keys=False):
    options = types.SimpleNamespace(
        seconds=0, planned=False, build="", daemons=1, keys=keys)
    return Soak(options, 1)


class Checks(unittest.TestCase):
    def setUp(self):
        self.soak = make_soak()
        self.world = self.soak.world

    def send(self, request_id, prefix="/once/", may_repeat=False,
             service="plain"):
        self.world.sent[request_id] = (
            "POST", prefix + request_id, b"x", may_repeat, service)

    def run_at(self, request_id, service="plain", fields=None):
        server = types.SimpleNamespace(id="i-1", service=service)
        self.world.on_run(request_id, server, fields or {})

    def judge(self, request_id, status=200, body="", fields=None, whole=True,
              outcome=None):
        answer = Answer()
        answer.status, answer.body, answer.whole = status, body, whole
        answer.fields = fields or {}

        async def judge():
            self.soak.judge(request_id, answer, outcome or str(status),
                            time.monotonic())
        asyncio.run(judge())

    def rules(self):
        return {p.split(":")[0] for p in self.world.problems}

    def use_key(self, request_id, withdrawn_ago):
        """Sends a request with a key that was withdrawn some time before."""
        keys = self.world.keys
        keys.use(request_id)
        key, sent_at = keys.uses[request_id]
        if withdrawn_ago is not None:
            keys.withdrawn[key] = sent_at - withdrawn_ago
        self.send(request_id)
        return {"x-shallotford-tenant": keys.holders[key]}

    def test_keys_are_checked(self):
        self.soak = make_soak(keys=True)
        self.world = self.soak.world
        self.run_at("valid", fields=self.use_key("valid", None))
        self.run_at("recent", fields=self.use_key("recent", 4.9))
        self.use_key("refused", 9.0)
        self.judge("refused", status=401)
        self.assertEqual(self.world.problems, [])
        self.run_at("late", fields=self.use_key("late", 5.1))
        self.assertEqual(self.rules(), {"CONFIG"})
        self.world.problems.clear()
        for fields in ({}, {"x-shallotford-tenant": "another"},
                       {**self.use_key("passed", None),
                        "authorization": "Bearer k"}):
            self.run_at("passed", fields=fields)
            self.assertIn("UNASKED", self.rules())
            self.world.problems.clear()

    def test_a_valid_key_may_not_be_refused(self):
        self.soak = make_soak(keys=True)
        self.world = self.soak.world
        for key in self.world.keys.held:
            self.world.keys.held[key] -= 10
        self.use_key("r", None)
        self.judge("r", status=401)
        self.assertEqual(self.rules(), {"DENIED"})

    def test_sound_answers_break_nothing(self):
        self.send("r")
        self.run_at("r")
        self.judge("r", body="b", fields={SIGNATURE.lower(): sign("r", "b")})
        self.send("s")
        self.judge("s", status=503)
        self.send("t", may_repeat=True)
        self.run_at("t")
        self.run_at("t")
        whole = "".join(stream_event("t", n)
                        for n in range(1, stream_length("t") + 1))
        self.judge("t", body=whole, fields={"transfer-encoding": "chunked"})
        self.assertEqual(self.world.problems, [])

    def test_a_second_run(self):
        self.send("r")
        self.run_at("r")
        self.run_at("r")
        self.assertEqual(self.rules(), {"TWICE"})

    def test_a_run_at_another_service(self):
        self.send("r")
        self.run_at("r", service="model")
        self.assertEqual(self.rules(), {"ROUTE"})

    def test_a_changed_or_unknown_request(self):
        self.send("r")
        self.world.check_unchanged("r", "POST", "/once/r", b"y")
        self.world.check_unchanged("u", "POST", "/once/u", b"x")
        self.assertEqual(len(self.world.problems), 2)
        self.assertEqual(self.rules(), {"UNASKED"})

    def test_anothers_handle(self):
        self.send("r")
        handle = self.world.new_handle("other")
        self.run_at("r", fields={"x-shallotford-kv-source": f"a:1/{handle}"})
        self.assertEqual(self.rules(), {"MIXED"})

    def test_a_forged_or_foreign_answer(self):
        self.send("r")
        self.run_at("r")
        self.judge("r", body="b", fields={SIGNATURE.lower(): "wrong"})
        self.judge("r", body="b", fields={
            SIGNATURE.lower(): sign("r", "b"),
            "x-shallotford-request-id": "s"})
        self.assertEqual(len(self.world.problems), 2)
        self.assertEqual(self.rules(), {"MIXED"})

    def test_a_refusal_that_ran(self):
        self.send("r")
        self.run_at("r")
        self.judge("r", status=503)
        self.assertEqual(self.rules(), {"REFUSED"})
        self.send("s")
        self.run_at("s")
        self.world.problems.clear()
        self.soak.check_never_runs("s", 0)
        self.assertEqual(self.rules(), {"REFUSED"})

    def test_a_stream_with_a_gap_or_an_early_end(self):
        self.send("r", "/stream/", True, "model")
        self.run_at("r", "model")
        chunked = {"transfer-encoding": "chunked"}
        self.judge("r", body=stream_event("r", 2), fields=chunked,
                   whole=False)
        self.judge("r", body=stream_event("r", 1), fields=chunked)
        self.assertEqual(len(self.world.problems), 2)
        self.assertEqual(self.rules(), {"ORDER"})

    def test_a_denied_and_a_lost_request(self):
        self.send("r")
        self.judge("r", status=404)
        self.assertEqual(self.rules(), {"DENIED"})
        self.world.problems.clear()
        self.run_at("r")
        self.judge("r", status=0, whole=False, outcome="closed")
        self.assertEqual(self.rules(), {"LOST"})

    def test_a_request_that_is_read_and_dropped(self):
        self.send("r")
        self.judge("r", status=0, whole=False, outcome="unread")
        self.assertEqual(self.world.problems, [])
        self.judge("r", status=0, whole=False, outcome="dropped")
        self.judge("r", status=0, whole=False, outcome="unanswered")
        self.assertEqual(len(self.world.problems), 2)
        self.assertEqual(self.rules(), {"LOST"})
        self.world.problems.clear()
        self.soak.unplanned_until = float("inf")
        self.judge("r", status=0, whole=False, outcome="dropped")
        self.assertEqual(self.world.problems, [])

    def converse(self, serve, requests=1):
        """Sends requests at once to a listener; returns their outcomes."""
        async def talk():
            listener = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = await self.soak.connect(
                listener.sockets[0].getsockname()[1])
            await asyncio.sleep(0.1)
            await self.soak.requests(
                connection, [f"r{n}" for n in range(requests)])
            connection[1].transport.abort()
            listener.close()
            await asyncio.sleep(0.05)  # lets the connections' tasks end
        asyncio.run(talk())
        return self.soak.counts

    def test_ends_that_leave_a_request_unread(self):
        async def close_first(_, writer):
            writer.close()

        async def close_over_it(reader, writer):
            writer.transport.pause_reading()
            await asyncio.sleep(0.2)
            writer.close()
        for serve in (close_first, close_over_it):
            self.soak.counts = {}
            self.assertEqual(self.converse(serve), {"unread": 1})
        self.assertEqual(self.world.problems, [])

    def test_ends_that_drop_what_they_read(self):
        async def linger(reader, writer):
            writer.write_eof()
            await reader.read()
            writer.close()

        async def read_and_close(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.05)  # for the body
            writer.close()
        for serve in (linger, read_and_close):
            self.soak.counts = {}
            self.world.problems.clear()
            self.assertEqual(self.converse(serve), {"dropped": 1})
            self.assertEqual(self.rules(), {"LOST"})

    def test_an_end_between_two_requests(self):
        def answer_one(field):
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 X\r\n" + field +
                             b"Content-Length: 0\r\n\r\n")
                await asyncio.sleep(0.05)
                writer.close()
            return serve
        self.converse(answer_one(b"Connection: close\r\n"), 2)
        self.assertEqual(self.world.problems, [])
        self.converse(answer_one(b""), 2)
        self.assertEqual(self.rules(), {"LOST"})

    def test_bytes_on_an_idle_connection(self):
        async def look():
            reader = asyncio.StreamReader()
            reader.feed_data(b"HTTP/1.1 200 X\r\n\r\n")
            self.soak.may_reuse(reader, time.monotonic())
        asyncio.run(look())
        self.assertEqual(self.rules(), {"MIXED"})

    def test_a_limit_that_is_exceeded(self):
        server = Server(self.world, "plain")
        server.name_limit(1.0)
        server.limited_since -= 10
        now = time.monotonic()
        server.arrivals = [now - 6 + 0.1 * n for n in range(11)]
        server.end_limit()
        self.assertEqual(self.world.problems, [])  # 11 are allowed
        server.name_limit(1.0)
        server.limited_since -= 10
        server.arrivals = [now - 6 + 0.1 * n for n in range(12)]
        server.end_limit()
        self.assertEqual(self.rules(), {"LIMIT"})

    def test_a_request_that_goes_on_crashing_servers(self):
        self.world.crashing["/safe/crash"] = []
        server = Server(self.world, "plain")
        for _ in range(9):
            self.world.on_crash("/safe/crash", server)
        self.assertEqual(self.world.problems, [])  # not late
        times = self.world.crashing["/safe/crash"]
        times[:] = [t - 4 for t in times]
        for _ in range(4):
            self.world.on_crash("/safe/crash", server)
        self.assertEqual(self.rules(), {"BUDGET"})


if __name__ == "__main__":
    unittest.main()
