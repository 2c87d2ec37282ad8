/// The whole path of a request: callers' sockets, the router, the store's and
/// the servers' stand-ins.

#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Two plain servers.
struct Plain : RouterFixture
{
  explicit Plain(const RouterOptions& aOptions = Options())
    : RouterFixture(aOptions)
  {
    Publish(ConfigText(1));
    m_a = &AddServer("i-a", "plain");
    m_b = &AddServer("i-b", "plain");
    Start();
    WaitFor([this] { return Knows(2); });
  }
  /// Returns whether the router knows so many upstreams.
  bool Knows(std::size_t aUpstreams)
  {
    HttpResult result = FetchAndWait(
      m_loop,
      { .m_address = "127.0.0.1:" + std::to_string(m_router->OperatorPort()),
        .m_path = "/metrics" });
    return result.m_reply &&
           Has(result.m_reply->m_body,
               "shallotford_upstreams " + std::to_string(aUpstreams) + "\n");
  }
  void ScriptBoth(const PublishedServer::Script& aScript)
  {
    m_loop.Do([&] {
      m_a->SetScript(aScript);
      m_b->SetScript(aScript);
    });
  }
  int AllRuns(const std::string& aId)
  {
    return Runs(*m_a, aId) + Runs(*m_b, aId);
  }
  PublishedServer* m_a;
  PublishedServer* m_b;
  int m_broken{ 0 };                     ///< on the loop's thread
  std::vector<CallerExchangePtr> m_held; ///< on the loop's thread
};

/// One prefill engine and two decode engines.
struct Engines : Plain
{
  explicit Engines(const RouterOptions& aOptions = Options())
    : Plain(aOptions)
  {
    m_prefill = &AddServer("i-p", "model", "prefill");
    m_decode = &AddServer("i-d", "model", "decode");
    m_other = &AddServer("i-e", "model", "decode");
    WaitFor([this] { return Knows(5); });
  }
  /// Streams aText by one event an id, from aFrom on, then ends well.
  void StreamAll(PublishedServer& aServer, int aEvents)
  {
    m_loop.Do([&] {
      aServer.SetScript([&aServer, aEvents](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_prefill ||
            aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        const std::string* after =
          FindField(aCall.m_request.m_head.m_fields, "Last-Event-Id");
        aServer.BeginStream(aCall);
        int first = after == nullptr ? 1 : std::stoi(*after) + 1;
        for (int i = first; i <= aEvents; ++i) {
          aCall.m_exchange->Write(Event(i));
        }
        aCall.m_exchange->End();
        return true;
      });
    });
  }
  static std::string Event(int aNumber)
  {
    std::string number = std::to_string(aNumber);
    return "id: " + number + "\ndata: token" + number + "\n\n";
  }
  PublishedServer* m_prefill;
  PublishedServer* m_decode;
  PublishedServer* m_other;
};

/// Engines without any retry budget.
struct EnginesWithoutBudget : Engines
{
  EnginesWithoutBudget()
    : Engines(WithoutBudget())
  {
  }
  static RouterOptions WithoutBudget()
  {
    RouterOptions options = Options();
    options.m_retryBudget = { .m_ratio = 0, .m_slack = 0 };
    return options;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_passes_unchanged, Plain)
{
  RawSocket socket(Port());
  socket.Send("POST /once/%2e%2E//x;y?q=%41 HTTP/1.1\r\nHost: h\r\n"
              "X-Shallotford-Request-Id: r1\r\nX-OwN: v\r\n"
              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Has(answer, "X-Shallotford-Response-Signature: mark-r1\r\n"));
  BOOST_TEST(Has(answer, " abcde"));
  const CallerRequest received = m_loop.Do([this] {
    return m_a->Received().empty() ? m_b->Received().front()
                                   : m_a->Received().front();
  });
  BOOST_TEST(received.m_head.m_target == "/once/%2e%2E//x;y?q=%41");
  BOOST_TEST(*FindField(received.m_head.m_fields, "X-OwN") == "v");
  BOOST_TEST(*received.m_body == "abcde");
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, Plain)
{
  RawSocket socket(Port());
  socket.Send(Request("/safe/1", "r1", "one") +
              Request("/safe/2", "r2", "two") +
              Request("/safe/3", "r3", "three", "Connection: close\r\n"));
  std::string answers = socket.ReadToEnd();
  std::size_t one = answers.find(" one");
  std::size_t two = answers.find(" two");
  std::size_t three = answers.find(" three");
  BOOST_TEST(three != std::string::npos);
  BOOST_TEST((one < two && two < three));
}

BOOST_FIXTURE_TEST_CASE(what_has_no_route_is_not_found, Plain)
{
  BOOST_TEST(Ask("/none/", "r1").starts_with("HTTP/1.1 404 "));
}

BOOST_FIXTURE_TEST_CASE(limits_of_the_configuration_hold, Plain)
{
  std::string large(5'000, 'x');
  RawSocket body(Port());
  body.Send(Request("/safe/", "r1", large));
  BOOST_TEST(body.ReadToEnd().starts_with("HTTP/1.1 413 "));
  RawSocket head(Port());
  head.Send(Request("/safe/", "r2", "", "X-Long: " + large + "\r\n"));
  BOOST_TEST(head.ReadToEnd().starts_with("HTTP/1.1 431 "));
  RawSocket slow(Port());
  slow.Send("POST /safe/ HTTP/1.1\r\nHos");
  BOOST_TEST(slow.ReadToEnd().starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(a_smuggled_request_is_never_run, Plain)
{
  RawSocket socket(Port());
  socket.Send("POST /once/a HTTP/1.1\r\nHost: h\r\n"
              "X-Shallotford-Request-Id: r1\r\n"
              "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n" +
              Request("/once/b", "hidden"));
  BOOST_TEST(socket.ReadToEnd().starts_with("HTTP/1.1 400 "));
  BOOST_TEST(AllRuns("r1") == 0);
  BOOST_TEST(AllRuns("hidden") == 0);
}

BOOST_FIXTURE_TEST_CASE(not_run_goes_elsewhere_even_if_it_may_run_once, Plain)
{
  m_loop.Do([this] {
    m_a->SetScript([](const PublishedCall& aCall) {
      PublishedServer::AnswerNotRun(aCall);
      return true;
    });
  });
  for (int i = 0; i < 6; ++i) {
    std::string id = "r" + std::to_string(i);
    BOOST_TEST(Has(Ask("/once/", id), "i-b body"));
    BOOST_TEST(AllRuns(id) == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(if_nobody_ran_it_the_caller_may_come_again, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    PublishedServer::AnswerNotRun(aCall);
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "Retry-After: 0."));
  BOOST_TEST(Has(answer, "\"run\":\"no\""));
}

BOOST_FIXTURE_TEST_CASE(a_broken_answer_is_no_refusal, Plain)
{
  ScriptBoth([this](const PublishedCall& aCall) {
    ++m_broken;
    aCall.m_exchange->Abort();
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(Has(answer, "\"run\":\"unknown\""));
  BOOST_TEST(m_loop.Do([this] { return m_broken; }) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_repeatable_request_survives_a_broken_answer, Plain)
{
  m_loop.Do([this] {
    auto script = [this](const PublishedCall& aCall) {
      if (++m_broken > 1) {
        return false;
      }
      aCall.m_exchange->Abort();
      return true;
    };
    m_a->SetScript(script);
    m_b->SetScript(script);
  });
  BOOST_TEST(Ask("/safe/", "r1").starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(anothers_answer_is_never_given, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    PublishedCall other = aCall;
    other.m_id = "other";
    aCall.m_exchange->Respond(
      200, "OK", PublishedServer::SignedFields(other), "secret");
    return true;
  });
  std::string answer = Ask("/safe/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(!Has(answer, "secret"));
}

BOOST_FIXTURE_TEST_CASE(an_unsigned_success_is_never_given, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    aCall.m_exchange->Respond(200, "OK", {}, "forged");
    return true;
  });
  BOOST_TEST(Ask("/once/", "r1").starts_with("HTTP/1.1 502 "));
}

BOOST_FIXTURE_TEST_CASE(bytes_behind_an_answer_are_nobodys, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    HttpHeaders fields = PublishedServer::SignedFields(aCall);
    // A length below that of the body: the rest follows the answer.
    fields.push_back({ "X-Pad", "1" });
    aCall.m_exchange->Respond(200, "OK", fields, "good");
    aCall.m_exchange->Write("HTTP/1.1 200 OK\r\n\r\nlate");
    return true;
  });
  for (int i = 0; i < 4; ++i) {
    std::string answer = Ask("/once/", "r" + std::to_string(i));
    BOOST_TEST(answer.ends_with("\r\n\r\ngood"));
  }
}

BOOST_FIXTURE_TEST_CASE(an_upstreams_failure_is_passed_as_it_is, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    aCall.m_exchange->Respond(
      500, "Own Words", PublishedServer::SignedFields(aCall), "why");
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 500 Own Words\r\n"));
  BOOST_TEST(Has(answer, "mark-r1"));
  BOOST_TEST(answer.ends_with("\r\n\r\nwhy"));
}

BOOST_FIXTURE_TEST_CASE(a_request_ends_at_its_routes_timeout, Plain)
{
  ScriptBoth([this](const PublishedCall& aCall) {
    m_held.push_back(aCall.m_exchange);
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 504 "));
  m_loop.Do([this] { m_held.clear(); });
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_stops_the_upstream, Plain)
{
  Inbox<bool> closed;
  ScriptBoth([&closed](const PublishedCall& aCall) {
    aCall.m_exchange->OnClosed([&closed] { closed.Put(true); });
    return true;
  });
  auto socket = std::make_unique<RawSocket>(Port());
  socket->Send(Request("/once/", "r1"));
  WaitFor([this] {
    return m_loop.Do(
      [this] { return m_a->Received().size() + m_b->Received().size() > 0; });
  });
  socket.reset();
  BOOST_TEST(closed.Take().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_draining_upstream_gets_nothing_more, Plain)
{
  m_loop.Do(
    [this] { m_store->Put("servers/i-a", m_a->Entry("plain", "", true)); });
  BOOST_TEST(WaitFor([this] {
    return Has(Ask("/safe/", "x"), "i-b") && Has(Ask("/safe/", "y"), "i-b") &&
           Has(Ask("/safe/", "z"), "i-b");
  }));
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(Has(Ask("/safe/", "d" + std::to_string(i)), "i-b body"));
  }
}

BOOST_FIXTURE_TEST_CASE(an_address_with_another_server_runs_nothing, Plain)
{
  // Another server now answers at the address of i-a.
  m_loop.Do([this] {
    m_store->Put("servers/i-gone", m_a->Entry("plain", ""));
    m_store->Remove("servers/i-a");
  });
  BOOST_TEST(WaitFor([this] { return Knows(2); }));
  for (int i = 0; i < 6; ++i) {
    std::string id = "r" + std::to_string(i);
    BOOST_TEST(Ask("/once/", id).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(AllRuns(id) == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(a_configuration_never_goes_back, Plain)
{
  const std::string kAdded =
    R"(,{"name":"new","host":"h","prefix":"/new/","kind":"safe",)"
    R"("service":"plain"})";
  Publish(ConfigText(5, kAdded));
  BOOST_TEST(WaitFor(
    [this] { return Ask("/new/", "r1").starts_with("HTTP/1.1 200 "); }));
  Publish(ConfigText(4));
  std::uint64_t calls = m_loop.Do([this] { return m_store->Calls(); });
  WaitFor(
    [&] { return m_loop.Do([this] { return m_store->Calls(); }) > calls + 1; });
  BOOST_TEST(Ask("/new/", "r2").starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(a_wrong_configuration_changes_nothing, Plain)
{
  Publish(R"({"version":9,"routes":[{"name":"r"}]})");
  m_loop.Do([this] { m_store->Put("servers/i-x", "garbage"); });
  BOOST_TEST(WaitFor([this] {
    return m_loop.Do([this] {
      int ignored = 0;
      for (const std::string& line : m_log.Lines()) {
        ignored += Has(line, "event=item_ignored") ? 1 : 0;
      }
      return ignored == 2;
    });
  }));
  BOOST_TEST(Ask("/safe/", "r1").starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(routing_goes_on_without_the_store, Plain)
{
  for (StoreMood mood : { StoreMood::Unavailable, StoreMood::Silent }) {
    m_loop.Do([&] { m_store->SetMood(mood); });
    BOOST_TEST(Ask("/safe/", "r1").starts_with("HTTP/1.1 200 "));
  }
  m_loop.Do([this] {
    m_store->SetMood(StoreMood::Compacted);
    m_store->Put("op/config",
                 ConfigText(8,
                            R"(,{"name":"n","host":"h",)"
                            R"("prefix":"/n/","kind":"safe",)"
                            R"("service":"plain"})"));
  });
  BOOST_TEST(
    WaitFor([this] { return Ask("/n/", "r2").starts_with("HTTP/1.1 200 "); }));
}

BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_denied)
{
  RouterFixture fixture;
  fixture.m_loop.Do([&] { fixture.m_router->Start(); });
  BOOST_TEST(fixture.Ready() == 503);
  std::string answer = fixture.Ask("/safe/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(a_planned_stop_loses_nothing, Plain)
{
  RawSocket kept(Port());
  kept.Send(Request("/safe/1", "r1"));
  kept.ReadUntil("body");
  Inbox<bool> drained;
  m_loop.Do([&] { m_router->Drain([&drained] { drained.Put(true); }); });
  BOOST_TEST(Ready() == 503);
  kept.Send(Request("/safe/2", "r2"));
  std::string answers = kept.ReadToEnd();
  BOOST_TEST(Has(answers, "Connection: close"));
  BOOST_TEST(Has(answers, "mark-r2"));
  BOOST_TEST(Ask("/safe/", "r3").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(drained.Take(20s).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_stream_runs_at_two_engines, Engines)
{
  StreamAll(*m_decode, 3);
  StreamAll(*m_other, 3);
  std::string answer = Ask("/stream/x", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  for (int i = 1; i <= 3; ++i) {
    BOOST_TEST(Has(answer, Event(i)));
  }
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
  BOOST_TEST(Runs(*m_decode, "r1") + Runs(*m_other, "r1") == 1);
  const CallerRequest run = m_loop.Do([this] {
    return m_decode->Runs().empty() ? m_other->Received().back()
                                    : m_decode->Received().back();
  });
  BOOST_TEST(*FindField(run.m_head.m_fields, "X-Shallotford-Kv-Source") ==
             m_prefill->Address() + "/k1");
  BOOST_TEST(*FindField(run.m_head.m_fields, "X-Shallotford-Kv-Hold") == "h1");
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_goes_on_elsewhere, Engines)
{
  // The first run breaks inside the third event.
  auto broken = std::make_shared<bool>(false);
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([engine, broken](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        const std::string* after =
          FindField(aCall.m_request.m_head.m_fields, "Last-Event-Id");
        engine->BeginStream(aCall);
        if (!std::exchange(*broken, true)) {
          aCall.m_exchange->Write(Event(1) + Event(2) + "id: 3\ndata: tok");
          aCall.m_exchange->Abort();
          return true;
        }
        for (int i = std::stoi(*after) + 1; i <= 4; ++i) {
          aCall.m_exchange->Write(Event(i));
        }
        aCall.m_exchange->End();
        return true;
      });
    }
  });
  std::string answer = Ask("/stream/x", "r1");
  std::string all = Event(1) + Event(2) + Event(3) + Event(4);
  std::string body;
  auto reader = MakeAnswerReader(4'096);
  struct Sink : MessageSinkI
  {
    void OnBody(std::string_view aBytes) override { m_body += aBytes; }
    void OnEnd() override { m_ended = true; }
    std::string m_body;
    bool m_ended{ false };
  } sink;
  reader->Feed(answer, sink);
  BOOST_TEST(sink.m_body == all);
  BOOST_TEST(sink.m_ended);
  BOOST_TEST(Runs(*m_decode, "r1") == 1);
  BOOST_TEST(Runs(*m_other, "r1") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_waited_in_vain_comes_back_later, Engines)
{
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([](const PublishedCall& aCall) {
        PublishedServer::AnswerNotRun(aCall);
        return true;
      });
    }
  });
  std::string answer = Ask("/fixed/x", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  // At most 0.3 of the time left of 6 s, and beyond the 0.4 s of others.
  std::size_t at = answer.find("Retry-After: ");
  BOOST_REQUIRE(at != std::string::npos);
  double seconds = std::stod(answer.substr(at + 13));
  BOOST_TEST(seconds > 0.5);
  BOOST_TEST(seconds <= 1.8);
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_waits_for_memory_elsewhere, Engines)
{
  // After the break no engine has room for a while.
  auto broken = std::make_shared<bool>(false);
  auto refusals = std::make_shared<int>(8);
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([engine, broken, refusals](const PublishedCall& aCall) {
        if (aCall.m_reserve && *broken && (*refusals)-- > 0) {
          PublishedServer::AnswerNotRun(aCall);
          return true;
        }
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        const HttpHeaders& fields = aCall.m_request.m_head.m_fields;
        bool first = !std::exchange(*broken, true);
        if (!first && FindField(fields, "X-Shallotford-Kv-Hold") == nullptr) {
          PublishedServer::AnswerNotRun(aCall); // no room without a reservation
          return true;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(first ? 1 : 2));
        if (first) {
          aCall.m_exchange->Abort();
        } else {
          aCall.m_exchange->End();
        }
        return true;
      });
    }
  });
  std::string answer = Ask("/stream/x", "r1");
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(Has(answer, Event(2)));
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_preempted_stream_stays_where_it_is, Engines)
{
  // Both engines give the first event only after a second.
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([this, engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        m_loop->RunAfter(1s, [engine, aCall] {
          engine->BeginStream(aCall);
          aCall.m_exchange->Write(Event(1));
          aCall.m_exchange->End();
        });
        return true;
      });
    }
  });
  BOOST_TEST(Has(Ask("/stream/x", "r1"), Event(1)));
  std::size_t sent = m_loop.Do([this] {
    return m_decode->Received().size() + m_other->Received().size();
  });
  BOOST_TEST(sent == 2U); // one reservation, one run
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_may_not_go_on_shows_its_break, Engines)
{
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        aCall.m_exchange->Abort();
        return true;
      });
    }
  });
  std::string answer = Ask("/fixed/x", "r1");
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
  BOOST_TEST(Runs(*m_decode, "r1") + Runs(*m_other, "r1") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_lost_prefill_leaves_the_prompt_to_decode, Engines)
{
  StreamAll(*m_decode, 2);
  StreamAll(*m_other, 2);
  m_loop.Do([this] {
    m_prefill->SetScript([](const PublishedCall& aCall) {
      aCall.m_exchange->Abort();
      return true;
    });
  });
  std::string answer = Ask("/fixed/x", "r1");
  BOOST_TEST(Has(answer, Event(2)));
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_lost_prefill_counts_as_sent, EnginesWithoutBudget)
{
  StreamAll(*m_decode, 1);
  StreamAll(*m_other, 1);
  BOOST_TEST(Has(Ask("/fixed/x", "r1"), Event(1)));
  m_loop.Do([this] {
    m_prefill->SetScript([](const PublishedCall& aCall) {
      aCall.m_exchange->Abort();
      return true;
    });
  });
  BOOST_TEST(Ask("/fixed/x", "r2").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Runs(*m_decode, "r2") + Runs(*m_other, "r2") == 0);
}

BOOST_FIXTURE_TEST_CASE(a_full_engine_makes_requests_wait, Engines)
{
  StreamAll(*m_decode, 1);
  StreamAll(*m_other, 1);
  // Both engines have no memory for the first calls.
  auto refusals = std::make_shared<int>(6);
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([engine, refusals](const PublishedCall& aCall) {
        if (aCall.m_reserve && (*refusals)-- > 0) {
          PublishedServer::AnswerNotRun(aCall);
          return true;
        }
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        aCall.m_exchange->End();
        return true;
      });
    }
  });
  BOOST_TEST(Has(Ask("/fixed/x", "r1"), Event(1)));
  // No prompt was read before there was memory.
  std::size_t prefills =
    m_loop.Do([this] { return m_prefill->Received().size(); });
  BOOST_TEST(prefills == 1U);
}

BOOST_FIXTURE_TEST_CASE(two_vms_share_what_only_one_is_told, Plain)
{
  // A second VM whose store turns it away learns all from the first.
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  auto store =
    m_loop.Do([this] { return std::make_unique<PublishedStore>(*m_loop); });
  std::unique_ptr<DirectorySourceI> source;
  std::unique_ptr<RouterI> other;
  m_loop.Do([&] {
    store->SetMood(StoreMood::Unavailable);
    source = platform::MakeStoreSource(
      *m_loop, m_log, *m_random, { .m_address = store->Address() });
    other = MakeRouter(
      options, { *m_loop, *source, *m_decoder, *m_dialect, m_log, *m_random });
    other->Start();
  });
  BOOST_TEST(WaitFor([&] {
    RawSocket socket(other->CallerPort());
    socket.Send(Request("/safe/", "r1", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  }));
  m_loop.Do([&] {
    other.reset();
    source.reset();
    store.reset();
  });
}
