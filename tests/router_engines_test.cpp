/// Tests of streams through a router to prefill and decode engines:
/// reservations, failed prefills, resumed streams, and role orders.

#define BOOST_TEST_MODULE router_engines
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

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
  /// Lets aServer stream events 1 to aEvents, or those after the request's
  /// Last-Event-Id, and then end the stream.
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

BOOST_FIXTURE_TEST_CASE(a_stream_uses_a_prefill_and_a_decode_engine, Engines)
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

BOOST_FIXTURE_TEST_CASE(engines_are_told_the_urgency_where_routes_differ,
                        Engines)
{
  constexpr const char* kPriority = "X-Shallotford-Request-Priority";
  StreamAll(*m_decode, 1);
  StreamAll(*m_other, 1);
  auto urgencies = [&](const std::string& aId) {
    std::multiset<std::string> found;
    m_loop.Do([&] {
      for (PublishedServer* server : { m_prefill, m_decode, m_other }) {
        for (const CallerRequest& request : server->Received()) {
          const HttpHeaders& fields = request.m_head.m_fields;
          const std::string* id = FindField(fields, "X-Shallotford-Request-Id");
          const std::string* urgency = FindField(fields, kPriority);
          if (id != nullptr && *id == aId) {
            found.insert(urgency == nullptr ? "none" : *urgency);
          }
        }
      }
    });
    return found;
  };
  Ask("/stream/x", "r1");
  BOOST_TEST(urgencies("r1").count("none") == urgencies("r1").size());
  Publish(ConfigText(2,
                     R"(,{"name":"low","host":"h","prefix":"/low/",)"
                     R"("kind":"streaming","timeout-ms":8000,)"
                     R"("target-latency-ms":900,"max-attempts":1,)"
                     R"("priority":3,"service":"model"})"));
  BOOST_TEST(WaitFor([this] { return Has(Ask("/low/x", "w"), "200 OK"); }));
  Ask("/low/x", "r2");
  Ask("/stream/x", "r3");
  // Of the prefill and of the run.
  BOOST_TEST((urgencies("r2") == std::multiset<std::string>{ "3", "3" }));
  BOOST_TEST((urgencies("r3") == std::multiset<std::string>{ "0", "0" }));
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_is_resumed_at_another_engine, Engines)
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

BOOST_FIXTURE_TEST_CASE(a_stream_without_memory_gets_a_longer_retry_after,
                        Engines)
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
  // The delay exceeds kNoUpstreamRetryAfter (0.4 s) and is at most 0.3 of the
  // 6 s that the request has left.
  std::size_t at = answer.find("Retry-After: ");
  BOOST_REQUIRE(at != std::string::npos);
  double seconds = std::stod(answer.substr(at + 13));
  BOOST_TEST(seconds > 0.5);
  BOOST_TEST(seconds <= 1.8);
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_waits_for_memory_before_it_resumes,
                        Engines)
{
  // After the break both engines refuse eight reservations in all.
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

BOOST_FIXTURE_TEST_CASE(a_slow_stream_is_neither_cut_nor_moved, Engines)
{
  constexpr int kEvents = 6;
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([this, engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        for (int i = 1; i <= kEvents; ++i) {
          m_loop->RunAfter(i * kMaxStreamPause / 3, [aCall, i] {
            aCall.m_exchange->Write(Event(i));
            if (i == kEvents) {
              aCall.m_exchange->End();
            }
          });
        }
        return true;
      });
    }
  });
  std::string answer = Ask("/stream/x", "r1");
  for (int i = 1; i <= kEvents; ++i) {
    BOOST_TEST(Has(answer, Event(i)));
  }
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
  std::size_t sent = m_loop.Do([this] {
    return m_decode->Received().size() + m_other->Received().size();
  });
  BOOST_TEST(sent == 2U); // one reservation, one run
}

BOOST_FIXTURE_TEST_CASE(a_run_goes_on_while_its_engine_has_no_entry, Engines)
{
  // The engines only failed to report in time.
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([this, engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        for (PublishedServer* removed : { m_decode, m_other }) {
          m_store->Remove("servers/" + removed->Id());
        }
        m_loop->RunAfter(kRemovedEntryGrace + 2 * kRouterTick, [aCall] {
          aCall.m_exchange->Write(Event(2));
          aCall.m_exchange->End();
        });
        return true;
      });
    }
  });
  std::string answer = Ask("/fixed/x", "r1");
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(Has(answer, Event(2)));
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
  std::size_t sent = m_loop.Do([this] {
    return m_decode->Received().size() + m_other->Received().size();
  });
  BOOST_TEST(sent == 2U); // one reservation, one run
}

BOOST_FIXTURE_TEST_CASE(a_stream_with_a_late_first_event_is_not_moved, Engines)
{
  // Both engines send the first event only after a second, as an engine does
  // that preempted the request. Another engine would serve it later still.
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

BOOST_FIXTURE_TEST_CASE(a_broken_stream_that_cannot_resume_ends_incomplete,
                        Engines)
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

BOOST_FIXTURE_TEST_CASE(a_failed_prefill_leaves_the_prompt_to_decode, Engines)
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

BOOST_FIXTURE_TEST_CASE(a_failed_prefill_counts_against_the_retry_budget,
                        EnginesWithoutBudget)
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

// Streams that are cut for want of a retry looked like any other cut.
BOOST_FIXTURE_TEST_CASE(a_stream_cut_for_want_of_a_retry_says_so,
                        EnginesWithoutBudget)
{
  m_loop.Do([this] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([this, engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        m_loop->RunAfter(50ms,
                         [exchange = aCall.m_exchange] { exchange->Abort(); });
        return true;
      });
    }
  });
  BOOST_TEST(Has(Ask("/stream/x", "r1"), Event(1)));
  BOOST_TEST(WaitFor([this] {
    return CountLogLines("outcome=cut") == 1 &&
           CountLogLines("retry_budget=spent") == 1;
  }));
  BOOST_TEST(Has(Metrics(), "shallotford_retries_denied_total 1\n"));
}

BOOST_FIXTURE_TEST_CASE(a_request_waits_while_engines_have_no_memory, Engines)
{
  StreamAll(*m_decode, 1);
  StreamAll(*m_other, 1);
  // Both engines refuse six reservations in all.
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
  // No prefill was sent before the reservation.
  std::size_t prefills =
    m_loop.Do([this] { return m_prefill->Received().size(); });
  BOOST_TEST(prefills == 1U);
}

BOOST_FIXTURE_TEST_CASE(prompts_read_in_vain_are_counted_by_cause, Engines)
{
  // The first run is refused after its prompt was read.
  auto refused = std::make_shared<bool>(false);
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([engine, refused](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        if (!std::exchange(*refused, true)) {
          PublishedServer::AnswerNotRun(aCall);
          return true;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        aCall.m_exchange->End();
        return true;
      });
    }
  });
  BOOST_TEST(Has(Ask("/stream/x", "r1"), Event(1)));
  BOOST_TEST(Has(Ask("/stream/x", "r2"), Event(1)));
  BOOST_TEST(
    Has(Metrics(), "wasted_prefills_total{cause=\"handle_refused\"} 1\n"));
  BOOST_TEST(CountLogLines("wasted_by=handle_refused") == 1U);
  BOOST_TEST(CountLogLines("wasted_by=") == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_engines_failure_is_passed_on_if_no_memory_comes_free,
                        Engines)
{
  // One engine fails the request; then both refuse all reservations.
  auto failed = std::make_shared<bool>(false);
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_decode, m_other }) {
      engine->SetScript([failed](const PublishedCall& aCall) {
        if (aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        if (aCall.m_reserve) {
          if (*failed) {
            PublishedServer::AnswerNotRun(aCall);
          }
          return *failed;
        }
        *failed = true;
        aCall.m_exchange->Respond(
          500, "Own Words", PublishedServer::SignedFields(aCall), "why");
        return true;
      });
    }
  });
  std::string answer = Ask("/stream/x", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 500 Own Words\r\n"));
  BOOST_TEST(answer.ends_with("\r\n\r\nwhy"));
}

BOOST_FIXTURE_TEST_CASE(a_prefill_timeout_leaves_the_prompt_to_decode, Engines)
{
  // A second prefill would be one more send, and could time out as well.
  StreamAll(*m_decode, 2);
  StreamAll(*m_other, 2);
  PublishedServer& second = AddServer("i-q", "model", "prefill");
  WaitFor([this] { return Knows(6); });
  m_loop.Do([&] {
    for (PublishedServer* engine : { m_prefill, &second }) {
      engine->SetScript([this](const PublishedCall& aCall) {
        m_held.push_back(aCall.m_exchange);
        return true;
      });
    }
  });
  std::string answer = Ask("/stream/x", "r1");
  BOOST_TEST(Has(answer, Event(2)));
  BOOST_TEST(answer.ends_with("0\r\n\r\n"));
  BOOST_TEST(m_loop.Do([&] {
    return m_prefill->Received().size() + second.Received().size();
  }) == 1U);
  m_loop.Do([this] { m_held.clear(); });
}

BOOST_FIXTURE_TEST_CASE(unreachable_engines_do_not_use_up_the_tries_for_memory,
                        Engines)
{
  // Four decode engines refuse connections. The only running one is in another
  // failure domain, so that it is picked last.
  StreamAll(*m_decode, 1);
  m_loop.Do([this] {
    std::string entry = m_decode->Entry("model", "decode");
    entry.replace(entry.find("z1"), 2, "z2");
    m_store->Put("servers/i-d", entry);
    m_other->Close();
  });
  for (int i = 0; i < 3; ++i) {
    PublishedServer& dead =
      AddServer("i-dead" + std::to_string(i), "model", "decode");
    m_loop.Do([&] { dead.Close(); });
  }
  WaitFor([this] { return Knows(8); });
  BOOST_TEST(Has(Ask("/fixed/x", "r1"), Event(1)));
  BOOST_TEST(!Has(Metrics(), "shallotford_waits_for_memory_total"));
}

namespace {

/// The first start of all VMs, with four prefill and eight decode engines.
struct FirstStart : RouterFixture
{
  FirstStart()
    : RouterFixture(FirstOptions("127.0.0.1:0"))
  {
    Publish(ConfigText(1));
    for (int i = 0; i < 12; ++i) {
      AddServer(
        "i-" + std::to_string(i), "model", i < 4 ? "prefill" : "decode");
    }
  }
  /// @param aFirstSeed  the lowest of the seeds; that VM gives orders
  static RouterOptions FirstOptions(const std::string& aFirstSeed)
  {
    RouterOptions options = Options();
    options.m_seeds = { "127.0.0.9:1", aFirstSeed };
    options.m_firstStart = true;
    options.m_typicalRequest = { .m_promptTokens = 5'200,
                                 .m_outputTokens = 780 };
    return options;
  }
  std::vector<CallerRequest> Orders()
  {
    return m_loop.Do([this] {
      std::vector<CallerRequest> orders;
      for (const auto& server : m_servers) {
        for (const CallerRequest& request : server->Received()) {
          if (request.m_head.m_target == "/api/order") {
            orders.push_back(request);
          }
        }
      }
      return orders;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_lowest_seed_sets_roles_once, FirstStart)
{
  Start();
  BOOST_TEST(
    WaitFor([this] { return CountLogLines("event=role_ordered") > 0; }));
  std::vector<CallerRequest> orders = Orders();
  BOOST_REQUIRE(orders.size() == 1U);
  Json::Value body = ParseJson(*orders.front().m_body);
  BOOST_TEST(body["op"].asString() == "stage");
  BOOST_TEST(body["stage"].asString() == "decode");
  BOOST_TEST(body["holder"].asString() == "127.0.0.1:0");
  BOOST_TEST(body["fence"].asUInt64() > 0U);
  std::this_thread::sleep_for(2 * kRouterTick);
  BOOST_TEST(Orders().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(other_vms_and_later_starts_give_no_orders, FirstStart)
{
  RouterOptions later = FirstOptions("127.0.0.1:0");
  later.m_firstStart = false;
  for (const RouterOptions& options : { FirstOptions("127.0.0.0:1"), later }) {
    OtherVm other(*this, options, m_store->Address());
    std::this_thread::sleep_for(kRoleOrdersUntil + kRouterTick);
    BOOST_TEST(Orders().empty());
  }
}
