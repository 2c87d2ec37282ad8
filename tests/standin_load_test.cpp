/// Tests that the load generator notices wrong, doubled and lost answers. A
/// fake daemon misbehaves in one way a test.

#define BOOST_TEST_MODULE standin_load
#include <boost/test/unit_test.hpp>

#include "standin_load.h"
#include "standin_load_call.h"
#include "standin_text.h"

using namespace shallotford;
using namespace shallotford::standin;
using namespace std::chrono_literals;

namespace {

enum class Fault
{
  None,
  WrongText,
  DoubledToken,
  CutOff,
  BreaksOnce,  ///< mid-stream; goes on after the last event id
  BreaksEarly, ///< the first submission gets no answer
  RefusesOnce, ///< with a retry time
  Fails,       ///< run=unknown
};

/// Answers as a daemon would, from the same pure token function.
class FakeDaemon : public HttpHandlerI
{
public:
  explicit FakeDaemon(Fault aFault)
    : m_fault(aFault)
  {
  }

  void OnRequest(Exchange aExchange, HttpRequest aRequest) override
  {
    bool first = ++m_requests == 1;
    if (aRequest.m_path == "/v1/tickets") {
      aExchange->Respond(
        201, {}, m_fault == Fault::Fails ? "{}" : R"({"ticket":"t1"})");
      return;
    }
    if (first && m_fault == Fault::BreaksEarly) {
      aExchange->Abort();
      return;
    }
    if (first && m_fault == Fault::RefusesOnce) {
      Error error(ErrorKind::Overloaded, "full", "Come back.");
      error.WithRetryAfter(1ms);
      aExchange->Respond(503, {}, ErrorBody(error));
      return;
    }
    if (m_fault == Fault::Fails) {
      Error error(
        ErrorKind::UpstreamFailed, "gone", "Look.", RunState::Unknown);
      aExchange->Respond(502, {}, ErrorBody(error));
      return;
    }
    Json::Value body = ParseJson(aRequest.m_body);
    if (body.isMember("key")) {
      m_tickets.push_back(*FindHeader(aRequest.m_headers, "idempotency-key"));
      body["count"] = m_fault == Fault::DoubledToken ? 2 : 1;
      aExchange->Respond(200, {}, WriteJson(body));
      return;
    }
    const std::string* last = FindHeader(aRequest.m_headers, "last-event-id");
    Stream(*aExchange, body, last ? std::stoul(*last) + 1 : 0);
  }

  const std::vector<std::string>& Tickets() const { return m_tickets; }

private:
  void Stream(HttpExchangeI& aExchange,
              const Json::Value& aBody,
              std::size_t aFrom)
  {
    std::string seed =
      Fingerprint("user: " + aBody["messages"][0]["content"].asString() + "\n");
    auto count = aBody["max_tokens"].asUInt();
    aExchange.Begin(200, { { "content-type", "text/event-stream" } });
    for (auto i = static_cast<std::uint32_t>(aFrom); i < count; ++i) {
      bool middle = i == count / 2;
      std::string token = TokenText(seed, i);
      if (middle && m_fault == Fault::WrongText) {
        token = "wrong ";
      }
      Token(aExchange, i, token);
      if (middle && m_fault == Fault::DoubledToken) {
        Token(aExchange, i, token);
      }
      if (middle && m_fault == Fault::BreaksOnce && aFrom == 0) {
        aExchange.End();
        return;
      }
      if (middle && m_fault == Fault::CutOff) {
        break;
      }
    }
    aExchange.Write("data: [DONE]\n\n");
    aExchange.End();
  }

  static void Token(HttpExchangeI& aExchange,
                    std::uint32_t aPosition,
                    const std::string& aText)
  {
    Json::Value data(Json::objectValue);
    data["choices"][0]["delta"]["content"] = aText;
    aExchange.Write("id: " + std::to_string(aPosition) +
                    "\ndata: " + WriteJson(data) + "\n\n");
  }

  Fault m_fault;
  std::uint32_t m_requests{ 0 };
  std::vector<std::string> m_tickets;
};

/// Sends one planned call to a daemon with aFault.
CallResult
RunOne(Fault aFault, CallKind aKind, std::uint32_t aCancelAfter = 0)
{
  LoadOptions options;
  options.m_requests = 1;
  options.m_daemons = { "127.0.0.1:1" };
  options.m_nonRepeatablePath = "/services/bookings/holds";
  options.m_nonRepeatableShare = aKind == CallKind::NonRepeatable ? 1.0 : 0.0;
  options.m_streamShare = 1.0;
  options.m_resubmits = 1;
  PlannedCall plan = PlanCalls(options).at(0);
  BOOST_REQUIRE((plan.m_kind == aKind));
  plan.m_cancelAfter = aCancelAfter;

  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "load" });
  FakeDaemon daemon(aFault);
  std::unique_ptr<HttpServerI> server = loop->Listen({}, daemon);
  options.m_daemons = { "127.0.0.1:" + std::to_string(server->Port()) };
  CallResult result;
  auto call = std::make_shared<LoadCall>(
    *loop, options, plan, [&](const PlannedCall&, const CallResult& aResult) {
      result = aResult;
      loop->Stop();
    });
  loop->Post([&] { call->Start(); });
  loop->Run();
  return result;
}

CallOutcome
OutcomeOf(Fault aFault)
{
  return RunOne(aFault, CallKind::ChatStream).m_outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(whole_streams_are_answered)
{
  CallResult result = RunOne(Fault::None, CallKind::ChatStream);
  BOOST_TEST((result.m_outcome == CallOutcome::Answered));
  BOOST_TEST(result.m_firstToken.has_value());
  BOOST_TEST(result.m_duplicates == 0u);
}

BOOST_AUTO_TEST_CASE(wrong_doubled_and_cut_texts_are_lost)
{
  BOOST_TEST((OutcomeOf(Fault::WrongText) == CallOutcome::Lost));
  BOOST_TEST((OutcomeOf(Fault::CutOff) == CallOutcome::Lost));
  CallResult doubled = RunOne(Fault::DoubledToken, CallKind::ChatStream);
  BOOST_TEST((doubled.m_outcome == CallOutcome::Lost));
  BOOST_TEST(doubled.m_duplicates == 1u);
}

BOOST_AUTO_TEST_CASE(broken_streams_are_resumed)
{
  CallResult resumed = RunOne(Fault::BreaksOnce, CallKind::ChatStream);
  BOOST_TEST((resumed.m_outcome == CallOutcome::Answered));
  BOOST_TEST(resumed.m_resumes == 1u);
  BOOST_TEST((OutcomeOf(Fault::BreaksEarly) == CallOutcome::Answered));
}

BOOST_AUTO_TEST_CASE(refused_requests_come_again_when_told)
{
  CallResult result = RunOne(Fault::RefusesOnce, CallKind::ChatStream);
  BOOST_TEST((result.m_outcome == CallOutcome::Answered));
  BOOST_TEST(result.m_resubmits == 1u);
  BOOST_TEST((OutcomeOf(Fault::Fails) == CallOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(cancelled_streams_end_as_cancelled)
{
  CallResult result = RunOne(Fault::None, CallKind::ChatStream, 1);
  BOOST_TEST((result.m_outcome == CallOutcome::Cancelled));
}

BOOST_AUTO_TEST_CASE(bookings_carry_a_ticket_and_doubles_are_seen)
{
  CallResult once = RunOne(Fault::None, CallKind::NonRepeatable);
  BOOST_TEST((once.m_outcome == CallOutcome::Answered));
  BOOST_TEST(once.m_duplicates == 0u);
  CallResult twice = RunOne(Fault::DoubledToken, CallKind::NonRepeatable);
  BOOST_TEST(twice.m_duplicates == 1u);
  CallResult none = RunOne(Fault::Fails, CallKind::NonRepeatable);
  BOOST_TEST((none.m_outcome == CallOutcome::Lost));
}

BOOST_AUTO_TEST_CASE(executions_are_compared_with_what_callers_were_told)
{
  LoadOptions options;
  options.m_requests = 3;
  RunReport report(options);
  auto add = [&](const std::string& aKey, CallOutcome aOutcome) {
    PlannedCall plan;
    plan.m_kind = CallKind::NonRepeatable;
    plan.m_key = aKey;
    CallResult result;
    result.m_outcome = aOutcome;
    report.Add(plan, result);
  };
  add("a", CallOutcome::Answered);
  add("b", CallOutcome::Refused);
  add("c", CallOutcome::Failed);
  report.CheckExecutions({ { "a", 1 }, { "c", 1 } });
  BOOST_TEST(report.IsGood(false));
  BOOST_TEST(!report.IsGood(true));
  report.CheckExecutions({ { "b", 1 }, { "c", 2 } });
  BOOST_TEST(!report.IsGood(false));
  BOOST_TEST(report.LastLine() == "answered=1 lost=1 twice=1 refused=1 "
                                  "failed=1 cancelled=0 ran_though_refused=1");
}

BOOST_AUTO_TEST_CASE(plans_depend_on_the_seed_alone)
{
  LoadOptions options;
  options.m_daemons = { "127.0.0.1:1", "127.0.0.1:2" };
  std::vector<PlannedCall> one = PlanCalls(options);
  std::vector<PlannedCall> same = PlanCalls(options);
  options.m_seed = 2;
  std::vector<PlannedCall> other = PlanCalls(options);
  BOOST_TEST(one[7].m_body == same[7].m_body);
  BOOST_TEST((one[7].m_at == same[7].m_at));
  BOOST_TEST(one[7].m_body != other[7].m_body);
}
