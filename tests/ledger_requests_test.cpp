/// Tests of the request ledger, the retry policy and resume tokens: a
/// comparison with naive versions over generated orders of events, and single
/// cases of crashes, stalls, pauses and refusals.

#define BOOST_TEST_MODULE ledger_requests
#include <boost/test/unit_test.hpp>

#include "ledger_check.h"
#include "ledger_naive.h"

using namespace shallotford;
using namespace shallotford::ledger_event;
using namespace std::chrono_literals;

BOOST_GLOBAL_FIXTURE(ManyCases);

namespace {

const std::vector<std::string> kEngines{ "e1", "e2", "e3" };

RequestSpec
AnySpec(std::uint32_t aChoice)
{
  RequestSpec spec{ .m_service = "s", .m_caller = "c" };
  spec.m_model = Take(aChoice, 3) != 0;
  spec.m_repeatable = spec.m_model || Take(aChoice, 2) == 0;
  spec.m_firstPosition = spec.m_model && Take(aChoice, 4) == 0 ? 2 : 0;
  spec.m_deadline = kStart + 500ms * (1 + Take(aChoice, 40));
  return spec;
}

/// Returns an event that mostly fits the request's current attempt; some are
/// late, duplicated, out of order or early.
LedgerEvent
AnyEvent(std::uint32_t aChoice, const NaiveRequest& aRequest)
{
  const Error kBusy(ErrorKind::Overloaded, "busy", "Wait.");
  std::uint32_t attempt = aRequest.m_started;
  if (Take(aChoice, 6) == 0) {
    attempt = Take(aChoice, attempt + 2);
  }
  bool model = aRequest.m_spec.m_model;
  const std::string& one = kEngines[Take(aChoice, 3)];
  const std::string& two = kEngines[Take(aChoice, 3)];
  std::uint64_t position = aRequest.Next();
  if (Take(aChoice, 5) == 0) {
    position = position + Take(aChoice, 3) - 1;
  }
  if (aRequest.m_started > 0 && !aRequest.IsPlaced() && Take(aChoice, 4) != 0) {
    return Placed{ attempt, model ? one : "", two };
  }
  switch (Take(aChoice, 20)) {
    case 15:
      return Moved{ attempt, two };
    case 0:
      return Admitted{};
    case 1:
      return NotPlaced{ attempt, kBusy };
    case 2:
      if (model) {
        return Attached{ attempt, one, { { kFailedVm, 9 }, 1 } };
      }
      return Admitted{};
    case 3:
      return MemoryReserved{ attempt };
    case 4:
    case 5:
      return Sent{ attempt, one };
    case 6:
      return PrefillDone{ attempt };
    case 7:
      return TransferDone{ attempt };
    case 8:
      return Finished{ attempt, position, "stop" };
    case 9:
      return model ? LedgerEvent(Token{ attempt, position, "t" })
                   : LedgerEvent(AnswerDelivered{ attempt });
    case 10:
      return Superseded{ attempt };
    case 11:
      return Take(aChoice, 3) == 0 ? LedgerEvent(Aborted{ kBusy })
                                   : LedgerEvent(CallerDisconnected{});
    case 12:
    case 13:
    case 14:
      return AttemptFailed{ attempt,
                            one,
                            static_cast<FailureCause>(Take(aChoice, 6)),
                            static_cast<SendProgress>(Take(aChoice, 3)) };
    default:
      return Token{ attempt, position, "t" };
  }
}

struct Fixture
{
  explicit Fixture(const RetryOptions& aRetries = kRetries)
    : m_retries(aRetries, m_random)
    , m_ledger({ .m_vm = kVm, .m_recentEnded = 4 }, m_retries)
  {
  }
  LedgerActions Do(const RequestId& aId, LedgerEvent aEvent)
  {
    return m_ledger.Apply(aId, std::move(aEvent), m_now);
  }
  RequestId OpenModelRequest()
  {
    RequestId id = m_ledger.Open(
      { .m_service = "s", .m_fingerprint = "f", .m_deadline = m_now + 60s },
      m_now);
    Do(id, Admitted{});
    return id;
  }
  HalfRandom m_random;
  RetryPolicy m_retries;
  Ledger m_ledger;
  TimePoint m_now{ kStart };
};

template<class Action>
const Action&
Last(const LedgerActions& aActions)
{
  return std::get<Action>(aActions.back());
}

const ResumeToken kToken{ .m_engine = "10.0.1.1:9000",
                          .m_stream = { { { "10.0.0.1:7", 0xab }, 4 }, 2 },
                          .m_entry = { "10.0.0.2:7", 0xcd },
                          .m_service = "drafts",
                          .m_prompt = "0123456789abcdef",
                          .m_position = 41 };

} // namespace

BOOST_AUTO_TEST_CASE(ledger_equals_naive_version)
{
  BOOST_TEST(rc::check("ledger", [] {
    Script script = AnyScript();
    Fixture fixture;
    NaiveRetries retries;
    std::vector<NaiveRequest> naive;
    std::vector<std::string> actions;
    std::vector<std::string> expected;
    auto collect = [&](const LedgerActions& aActions) {
      for (const LedgerAction& action : aActions) {
        actions.push_back(Describe(action));
      }
      for (NaiveRequest& request : naive) {
        expected.insert(
          expected.end(), request.m_out.begin(), request.m_out.end());
        request.m_out.clear();
      }
      RC_ASSERT(actions == expected);
    };
    for (std::uint32_t choice : script) {
      std::uint32_t kind = Take(choice, 40);
      bool idle =
        std::all_of(naive.begin(), naive.end(), [](const auto& aRequest) {
          return aRequest.m_ended;
        });
      if (idle || (kind == 0 && naive.size() < 4)) {
        RequestSpec spec = AnySpec(choice);
        if (spec.m_deadline <= fixture.m_now) {
          spec.m_deadline = fixture.m_now + 1s;
        }
        RequestId id = fixture.m_ledger.Open(spec, fixture.m_now);
        naive.emplace_back(id, spec, retries);
        naive.back().On(Admitted{}, fixture.m_now);
        collect(fixture.Do(id, Admitted{}));
        continue;
      }
      if (kind == 1) {
        const std::string& engine = kEngines[Take(choice, 3)];
        for (NaiveRequest& request : naive) {
          request.Lost(engine, fixture.m_now);
        }
        collect(fixture.m_ledger.UpstreamLost(engine, fixture.m_now));
        continue;
      }
      if (kind < 5) {
        fixture.m_now += 125ms * Take(choice, 8);
        std::vector<NaiveRequest*> overdue;
        for (NaiveRequest& request : naive) {
          if (!request.m_ended && request.m_spec.m_deadline <= fixture.m_now) {
            overdue.push_back(&request);
          }
        }
        std::stable_sort(
          overdue.begin(), overdue.end(), [](auto* aA, auto* aB) {
            return aA->m_spec.m_deadline < aB->m_spec.m_deadline;
          });
        for (NaiveRequest* request : overdue) {
          request->EndWithError(fixture.m_now);
          expected.insert(
            expected.end(), request->m_out.begin(), request->m_out.end());
          request->m_out.clear();
        }
        collect(fixture.m_ledger.Expire(fixture.m_now));
        continue;
      }
      NaiveRequest& request = naive[Take(choice, naive.size())];
      LedgerEvent event = AnyEvent(choice, request);
      std::visit([&](auto& aEvent) { request.On(aEvent, fixture.m_now); },
                 event);
      collect(fixture.Do(request.m_id, event));
    }
    std::uint64_t stale = 0;
    std::uint64_t live = 0;
    for (const NaiveRequest& request : naive) {
      stale += request.m_stale;
      live += request.m_ended ? 0 : 1;
      std::string end = "end " + std::to_string(request.m_id.m_sequence) + " ";
      auto ends = std::count_if(
        actions.begin(), actions.end(), [&](const std::string& aAction) {
          return aAction.starts_with(end);
        });
      RC_ASSERT(ends == (request.m_ended ? 1 : 0));
    }
    RC_ASSERT(fixture.m_ledger.Sums().m_staleEvents == stale);
    RC_ASSERT(fixture.m_ledger.Live() == live);
    RC_ASSERT(fixture.m_retries.Budget("s", fixture.m_now) ==
              retries.Balance(fixture.m_now));
  }));
}

BOOST_AUTO_TEST_CASE(answer_continues_elsewhere_after_its_decode_engine_crashed)
{
  Fixture fixture;
  RequestId id = fixture.OpenModelRequest();
  fixture.Do(id, Placed{ 1, "p1", "d1" });
  fixture.Do(id, Sent{ 1, "p1" });
  fixture.Do(id, PrefillDone{ 1 });
  fixture.Do(id, TransferDone{ 1 });
  fixture.Do(id, Token{ 1, 0, "a " });
  fixture.Do(id, Token{ 1, 1, "b " });
  BOOST_TEST(fixture.m_ledger.MembersAt("d1").size() == 1u);

  LedgerActions actions = fixture.m_ledger.UpstreamLost("d1", fixture.m_now);
  const auto& start = Last<ledger_action::StartAttempt>(actions);
  BOOST_TEST(start.m_position == 2u);
  BOOST_TEST(start.m_generated == "a b ");
  BOOST_TEST((start.m_excluded == std::vector<std::string>{ "d1" }));

  // The crashed engine's last token arrives late.
  BOOST_TEST(fixture.Do(id, Token{ 1, 2, "c " }).empty());
  fixture.Do(id, Placed{ 2, "p1", "d2" });
  actions = fixture.Do(id, Token{ 2, 2, "c " });
  BOOST_TEST(Last<ledger_action::DeliverToken>(actions).m_position == 2u);
  actions = fixture.Do(id, Finished{ 2, 3, "stop" });
  const auto& end = Last<ledger_action::EndRequest>(actions);
  BOOST_TEST((end.m_outcome == Outcome::Answered));
  BOOST_TEST(end.m_finishReason == "stop");
  BOOST_TEST(fixture.m_ledger.Sums().m_staleEvents == 1u);
  BOOST_TEST(fixture.m_ledger.Sums().m_continued == 1u);
}

BOOST_AUTO_TEST_CASE(begun_answer_continues_without_retry_budget)
{
  Fixture fixture({ .m_floor = 0, .m_maxAttempts = 4 });
  RequestId begun = fixture.OpenModelRequest();
  RequestId notBegun = fixture.OpenModelRequest();
  for (const RequestId& id : { begun, notBegun }) {
    fixture.Do(id, Placed{ 1, "p1", "d1" });
    fixture.Do(id, Sent{ 1, "p1" });
    fixture.Do(id, PrefillDone{ 1 });
  }
  fixture.Do(begun, Token{ 1, 0, "a" });
  fixture.m_ledger.UpstreamLost("d1", fixture.m_now);
  BOOST_TEST(fixture.m_ledger.Live() == 1u);
  BOOST_TEST((fixture.m_ledger.Explain(begun, fixture.m_now)->m_state ==
              RequestState::Admitted));
  BOOST_TEST((*fixture.m_ledger.Explain(notBegun, fixture.m_now)->m_outcome ==
              Outcome::Failed));
}

BOOST_AUTO_TEST_CASE(non_repeatable_call_is_never_sent_twice)
{
  for (SendProgress progress :
       { SendProgress::NotSent, SendProgress::Sent, SendProgress::Answered }) {
    Fixture fixture;
    RequestId id = fixture.m_ledger.Open({ .m_service = "holds",
                                           .m_model = false,
                                           .m_repeatable = false,
                                           .m_deadline = fixture.m_now + 9s },
                                         fixture.m_now);
    fixture.Do(id, Admitted{});
    fixture.Do(id, Placed{ 1, "", "b1" });
    fixture.Do(id, Sent{ 1, "b1" });
    LedgerActions actions = fixture.Do(
      id, AttemptFailed{ 1, "b1", FailureCause::Lost, progress, "" });
    if (progress == SendProgress::NotSent) {
      BOOST_TEST(
        (Last<ledger_action::StartAttempt>(actions).m_attempt.m_attempt == 2));
      continue;
    }
    const auto& end = Last<ledger_action::EndRequest>(actions);
    BOOST_TEST((end.m_outcome == Outcome::Failed));
    BOOST_TEST((end.m_error->Run() == RunState::Unknown));
    BOOST_TEST(end.m_error->RetryAfter().count() == 0);
  }
}

BOOST_AUTO_TEST_CASE(stalled_transfer_is_retried_and_cancelled_at_both_engines)
{
  Fixture fixture;
  RequestId id = fixture.OpenModelRequest();
  fixture.Do(id, Placed{ 1, "p1", "d1" });
  fixture.Do(id, MemoryReserved{ 1 });
  fixture.Do(id, Sent{ 1, "p1" });
  fixture.Do(id, PrefillDone{ 1 });
  LedgerActions actions = fixture.Do(
    id,
    AttemptFailed{ 1, "d1", FailureCause::Stalled, SendProgress::Sent, "" });
  BOOST_TEST(actions.size() == 3u);
  BOOST_TEST(Describe(actions[0]) == "cancel p1 " + ToString(id) + "~1");
  BOOST_TEST(Describe(actions[1]) == "cancel d1 " + ToString(id) + "~1");
  const auto& start = Last<ledger_action::StartAttempt>(actions);
  BOOST_TEST((start.m_excluded == std::vector<std::string>{ "d1" }));
  // The stalled transfer ends late, and then the caller disconnects.
  BOOST_TEST(fixture.Do(id, TransferDone{ 1 }).empty());
  fixture.Do(id, Placed{ 2, "p1", "d2" });
  actions = fixture.Do(id, CallerDisconnected{});
  BOOST_TEST(Describe(actions[0]) == "cancel p1 " + ToString(id) + "~2");
  BOOST_TEST(Describe(actions[1]) == "cancel d2 " + ToString(id) + "~2");
  BOOST_TEST(
    (Last<ledger_action::EndRequest>(actions).m_outcome == Outcome::Cancelled));
  BOOST_TEST(fixture.Do(id, CallerDisconnected{}).empty());
  BOOST_TEST(!fixture.m_ledger.Owns({ id, 2 }));
}

BOOST_AUTO_TEST_CASE(moved_attempt_depends_on_its_new_decode_engine_only)
{
  Fixture fixture;
  RequestId id = fixture.OpenModelRequest();
  fixture.Do(id, Placed{ 1, "p1", "d1" });
  LedgerActions actions = fixture.Do(id, Moved{ 1, "d2" });
  BOOST_REQUIRE(actions.size() == 1u);
  BOOST_TEST(Describe(actions[0]) == "cancel d1 " + ToString(id) + "~1");
  fixture.Do(id, Sent{ 1, "p1" });
  fixture.Do(id, PrefillDone{ 1 });
  BOOST_TEST(fixture.m_ledger.MembersAt("d1").empty());
  BOOST_TEST(fixture.m_ledger.MembersAt("d2").size() == 1u);
  BOOST_TEST(
    fixture.m_ledger.Explain(id, fixture.m_now)->m_attempts[0].m_upstream ==
    "d2");
  BOOST_TEST(fixture.m_ledger.UpstreamLost("d1", fixture.m_now).empty());
  BOOST_TEST(fixture.Do(id, Moved{ 2, "d3" }).empty());
  actions = fixture.m_ledger.UpstreamLost("d2", fixture.m_now);
  const auto& start = Last<ledger_action::StartAttempt>(actions);
  BOOST_TEST((start.m_excluded == std::vector<std::string>{ "d2" }));
  BOOST_TEST(fixture.m_ledger.Sums().m_retries == 0u);
}

BOOST_AUTO_TEST_CASE(overdue_requests_end_once_after_a_pause_of_the_vm)
{
  Fixture fixture;
  RequestId id = fixture.OpenModelRequest();
  fixture.Do(id, Placed{ 1, "p1", "d1" });
  fixture.Do(id, Sent{ 1, "p1" });
  fixture.m_now += 1h;
  LedgerActions actions = fixture.m_ledger.Expire(fixture.m_now);
  const auto& end = Last<ledger_action::EndRequest>(actions);
  BOOST_TEST((end.m_error->Kind() == ErrorKind::DeadlineExceeded));
  BOOST_TEST((end.m_error->Run() == RunState::Unknown));
  // Events that were buffered during the pause come too late.
  BOOST_TEST(fixture.Do(id, Token{ 1, 0, "a" }).empty());
  BOOST_TEST(fixture.Do(id, Finished{ 1, 1, "stop" }).empty());
}

BOOST_AUTO_TEST_CASE(refusal_ends_the_request_at_once_with_retry_after)
{
  Fixture fixture;
  RequestId id = fixture.OpenModelRequest();
  Error busy(ErrorKind::Overloaded, "no placement meets the targets", "Wait.");
  busy.WithRetryAfter(750ms);
  LedgerActions actions = fixture.Do(id, NotPlaced{ 1, busy });
  const auto& end = Last<ledger_action::EndRequest>(actions);
  BOOST_TEST((end.m_outcome == Outcome::Refused));
  BOOST_TEST((end.m_error->Run() == RunState::No));
  BOOST_TEST(end.m_error->RetryAfter().count() == 750);
  BOOST_TEST(end.m_age.count() == 0);
}

BOOST_AUTO_TEST_CASE(
  ended_requests_are_bounded_and_recent_ones_can_be_explained)
{
  Fixture fixture;
  RequestId first = fixture.OpenModelRequest();
  fixture.Do(first, CallerDisconnected{});
  RequestId last = first;
  for (int i = 0; i < 10; ++i) {
    last = fixture.OpenModelRequest();
    fixture.Do(last, Placed{ 1, "p1", "d1" });
    fixture.Do(last, Finished{ 1, 0, "stop" });
  }
  BOOST_TEST(fixture.m_ledger.Live() == 0u);
  BOOST_TEST(!fixture.m_ledger.Explain(first, fixture.m_now).has_value());
  RequestView view = *fixture.m_ledger.Explain(last, fixture.m_now);
  BOOST_TEST(view.m_attempts.at(0).m_upstream == "d1");
  BOOST_TEST(fixture.m_ledger.Sums().m_ended[0] == 10u);
  BOOST_TEST(!fixture.m_ledger.NextDeadline().has_value());
}

BOOST_AUTO_TEST_CASE(resumed_stream_is_attached_or_generated_again)
{
  Fixture fixture;
  AttemptId stream{ { kFailedVm, 9 }, 1 };
  RequestId id = fixture.m_ledger.Open({ .m_service = "s",
                                         .m_deadline = fixture.m_now + 60s,
                                         .m_firstPosition = 5 },
                                       fixture.m_now);
  fixture.Do(id, Admitted{});
  fixture.Do(id, Attached{ 1, "d1", stream });
  BOOST_TEST(fixture.m_ledger.Owns(stream));
  LedgerActions actions =
    fixture.Do(id,
               AttemptFailed{
                 1, "d1", FailureCause::NotHeld, SendProgress::Answered, "" });
  BOOST_TEST(!fixture.m_ledger.Owns(stream));
  BOOST_TEST(Last<ledger_action::StartAttempt>(actions).m_position == 0u);
  fixture.Do(id, Placed{ 2, "p1", "d2" });
  BOOST_TEST(fixture.Do(id, Token{ 2, 4, "old" }).empty());
  actions = fixture.Do(id, Token{ 2, 5, "new" });
  BOOST_TEST(Last<ledger_action::DeliverToken>(actions).m_position == 5u);
}

BOOST_AUTO_TEST_CASE(backoff_grows_and_stays_bounded)
{
  auto random = MakeSeededRandom(1);
  RetryPolicy policy({}, *random);
  for (std::uint32_t retry = 1; retry < 40; ++retry) {
    Duration maximum =
      std::min<Duration>(20ms * (1 << std::min(retry, 10u)), 4s);
    Duration delay = policy.Backoff(retry);
    BOOST_TEST((delay >= 0ms && delay <= maximum / 2));
  }
}

BOOST_AUTO_TEST_CASE(resume_token_has_one_text_form)
{
  std::string text = ToString(kToken);
  BOOST_TEST((ParseResumeToken(text) == kToken));
  BOOST_TEST(ResumePrefix(kToken) + "41" == text);
  std::vector<std::string> bad{ text + "x",
                                text + " ",
                                " " + text,
                                text + "!1",
                                "r2" + text,
                                text + "0000000000",
                                "41",
                                text + "\n1",
                                ResumePrefix(kToken),
                                ResumePrefix(kToken) + "041" };
  for (std::size_t i = 0; i + 2 < text.size(); ++i) {
    bad.push_back(text.substr(0, i));
  }
  for (const std::string& wrong : bad) {
    BOOST_CHECK_THROW(ParseResumeToken(wrong), Error);
  }
}

BOOST_AUTO_TEST_CASE(
  resume_attaches_only_for_the_same_request_and_known_engines)
{
  std::vector<std::string> engines{ "10.0.1.1:9000" };
  ResumeDecision decision =
    DecideResume(kToken, "drafts", kToken.m_prompt, engines);
  BOOST_TEST((decision.m_step == ResumeStep::Attach));
  BOOST_TEST(decision.m_from == 42u);
  decision = DecideResume(kToken, "drafts", kToken.m_prompt, {});
  BOOST_TEST((decision.m_step == ResumeStep::Regenerate));
  BOOST_CHECK_THROW(DecideResume(kToken, "other", kToken.m_prompt, engines),
                    Error);
  BOOST_CHECK_THROW(DecideResume(kToken, "drafts", "other", engines), Error);
}
