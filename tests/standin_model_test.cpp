/// Tests of the engine model that the stand-in serves and benches simulate.

#define BOOST_TEST_MODULE standin_model
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "standin_engine_model.h"
#include "standin_text.h"

using namespace shallotford;
using namespace shallotford::standin;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds{ 1 } };

PrefillRequest
Prefill(const std::string& aStream, std::uint32_t aTokens)
{
  PrefillRequest request;
  request.m_stream = aStream;
  request.m_model = "draft";
  request.m_promptFingerprint = "fp-" + aStream;
  request.m_promptTokens = aTokens;
  return request;
}

ImportRequest
Import(const std::string& aStream, std::uint32_t aPrompt, std::uint32_t aMax)
{
  return { aStream, "draft", aPrompt, aMax, 0 };
}

/// Claims, fills and starts a stream at once.
void
StartDecode(EngineModel& aModel,
            TimePoint aNow,
            const std::string& aStream,
            std::uint32_t aStart,
            std::uint32_t aMax,
            const std::string& aSeed = "")
{
  Admission import = aModel.ClaimImport(aNow, Import(aStream, 3'000, aMax));
  BOOST_REQUIRE(!import.m_refused);
  BOOST_REQUIRE(aModel.FillImport(
    aNow, import.m_id, KvContent{ "fp-" + aStream, 3'000, false }));
  BOOST_REQUIRE(aModel.StartStream(aNow,
                                   { .m_stream = aStream,
                                     .m_import = import.m_id,
                                     .m_maxTokens = aMax,
                                     .m_start = aStart,
                                     .m_seedPrompt = aSeed,
                                     .m_stop = {} }));
}

std::uint32_t
CountKind(const std::vector<EngineEvent>& aEvents, EngineEventKind aKind)
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(aEvents, [&](const EngineEvent& aEvent) {
      return aEvent.m_kind == aKind;
    }));
}

/// Checks what must hold after any order of operations.
void
CheckInvariants(const EngineModel& aModel, const EngineModelOptions& aOptions)
{
  std::uint32_t pieces = 0;
  std::uint32_t running = 0;
  for (const auto& [stream, holding] : aModel.Holdings()) {
    RC_ASSERT(stream == holding.m_stream);
    pieces += holding.m_pieces;
    running += holding.m_state == HoldingState::Import ||
                   holding.m_state == HoldingState::Decode
                 ? 1
                 : 0;
  }
  RC_ASSERT(pieces == aModel.PiecesHeld());
  RC_ASSERT(pieces <= aOptions.m_kvPieces);
  RC_ASSERT(running <= aOptions.m_batchLimit);
  const EngineStats& stats = aModel.Stats();
  RC_ASSERT(stats.m_mostPieces <= aOptions.m_kvPieces);
  RC_ASSERT(stats.m_prefillTokensWasted <= stats.m_prefillTokensDone);
  LoadReport load = aModel.TrueLoad(kStart);
  RC_ASSERT(load.m_piecesFree + pieces == aOptions.m_kvPieces);
  RC_ASSERT(load.m_running == running);
}

/// One random operation on a stream out of a few.
void
Operate(EngineModel& aModel, TimePoint aNow, bool aPrefill)
{
  std::string stream = "s" + std::to_string(*rc::gen::inRange(0, 8));
  auto tokens = *rc::gen::inRange<std::uint32_t>(1, 9'000);
  const Holding* held = aModel.Find(stream);
  std::string id = held ? held->m_id : "none";
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      if (aPrefill) {
        PrefillRequest request = Prefill(stream, tokens);
        request.m_priority = *rc::gen::inRange(0, 3);
        request.m_prefixes.assign(tokens / 2'000, "prefix-" + stream);
        aModel.StartPrefill(aNow, request);
      } else {
        aModel.ClaimImport(aNow, Import(stream, tokens, 20));
      }
      break;
    case 1:
      if (aPrefill) {
        aModel.BeginPull(aNow, id);
      } else {
        aModel.FillImport(aNow, id, { "fp", tokens, false });
      }
      break;
    case 2:
      if (aPrefill) {
        aModel.EndPull(aNow, id, *rc::gen::arbitrary<bool>());
      } else {
        StreamRequest request;
        request.m_stream = stream;
        request.m_import = id;
        request.m_maxTokens = *rc::gen::inRange<std::uint32_t>(1, 20);
        aModel.StartStream(aNow, request);
      }
      break;
    case 3:
      aModel.Attach(stream);
      break;
    case 4:
      aModel.Cancel(aNow, stream);
      RC_ASSERT(aModel.Find(stream) == nullptr);
      break;
    default:
      if (*rc::gen::inRange(0, 10) == 0) {
        aModel.Crash(aNow);
        RC_ASSERT(aModel.Holdings().empty());
      }
      break;
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(any_order_of_operations_keeps_memory_and_batch_counts)
{
  BOOST_TEST(rc::check([](bool aPrefill) {
    EngineModelOptions options;
    options.m_role = aPrefill ? EngineRole::Prefill : EngineRole::Decode;
    options.m_batchLimit = 3;
    options.m_kvPieces = 9;
    options.m_prefixCachePieces = 3;
    options.m_unfilledImportLifetime = 500ms;
    options.m_doneGrace = 1'000ms;
    EngineModel model(options);
    TimePoint now = kStart;
    int operations = *rc::gen::inRange(0, 120);
    for (int i = 0; i < operations; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      TimePoint last = TimePoint::min();
      for (const EngineEvent& event : model.Advance(now)) {
        RC_ASSERT(event.m_at >= last);
        RC_ASSERT(event.m_at <= now);
        last = event.m_at;
      }
      Operate(model, now, aPrefill);
      CheckInvariants(model, options);
    }
    for (int i = 0; i < 8; ++i) {
      model.Cancel(now, "s" + std::to_string(i));
    }
    RC_ASSERT(model.PiecesHeld() == 0u);
    // A decode step that is under way ends without its streams.
    RC_ASSERT(model.Advance(now + 1s).empty());
    RC_ASSERT(model.NextEventAt() == TimePoint::max());
  }));
}

BOOST_AUTO_TEST_CASE(prefill_takes_its_tokens_time_and_the_cache_shortens_it)
{
  EngineModel model({ .m_role = EngineRole::Prefill });
  PrefillRequest first = Prefill("a", 5'000);
  first.m_prefixes = { "p1", "p2" };
  model.StartPrefill(kStart, first);
  BOOST_TEST((model.NextEventAt() == kStart + 250ms));
  std::vector<EngineEvent> done = model.Advance(kStart + 250ms);
  BOOST_REQUIRE(done.size() == 1u);
  BOOST_TEST((done[0].m_kind == EngineEventKind::PrefillDone));

  PrefillRequest second = Prefill("b", 5'000);
  second.m_prefixes = { "p1", "p2" };
  model.StartPrefill(kStart + 250ms, second);
  std::vector<EngineEvent> cached = model.Advance(kStart + 300ms);
  BOOST_REQUIRE(cached.size() == 1u);
  BOOST_TEST(cached[0].m_cachedTokens == 4'000u);
  BOOST_TEST(model.Stats().m_prefillTokensDone == 6'000u);
  BOOST_TEST(model.CacheEventsAfter(kStart + 549ms, 0).m_events.empty());
  BOOST_TEST(model.CacheEventsAfter(kStart + 550ms, 0).m_events.size() == 2u);
}

BOOST_AUTO_TEST_CASE(higher_priority_prefills_go_first)
{
  EngineModel model({ .m_role = EngineRole::Prefill });
  for (int i = 0; i < 3; ++i) {
    PrefillRequest request = Prefill("s" + std::to_string(i), 1'000);
    request.m_priority = i;
    model.StartPrefill(kStart, request);
  }
  std::vector<EngineEvent> events = model.Advance(kStart + 150ms);
  BOOST_REQUIRE(events.size() == 3u);
  BOOST_TEST(events[0].m_stream == "s0"); // was running when the others came
  BOOST_TEST(events[1].m_stream == "s2");
  BOOST_TEST(events[2].m_stream == "s1");
}

BOOST_AUTO_TEST_CASE(an_export_that_nobody_pulls_expires_and_counts_as_wasted)
{
  EngineModel model({ .m_role = EngineRole::Prefill });
  model.StartPrefill(kStart, Prefill("a", 2'000));
  model.StartPrefill(kStart, Prefill("b", 2'000));
  std::vector<EngineEvent> done = model.Advance(kStart + 200ms);
  BOOST_REQUIRE(done.size() == 2u);
  BOOST_TEST(model.BeginPull(kStart + 200ms, done[1].m_id).has_value());
  std::vector<EngineEvent> later = model.Advance(kStart + 1'500ms);
  BOOST_REQUIRE(later.size() == 1u);
  BOOST_TEST((later[0].m_kind == EngineEventKind::ExportExpired));
  BOOST_TEST((later[0].m_at == kStart + 100ms + 900ms));
  BOOST_TEST(!model.BeginPull(kStart + 1'500ms, done[0].m_id).has_value());
  model.EndPull(kStart + 1'500ms, done[1].m_id, true);
  BOOST_TEST(model.Stats().m_prefillTokensWasted == 2'000u);
  BOOST_TEST(model.PiecesHeld() == 0u);
}

BOOST_AUTO_TEST_CASE(running_streams_advance_together_and_slow_each_other)
{
  EngineModel model({});
  StartDecode(model, kStart, "a", 0, 3);
  BOOST_TEST((model.NextEventAt() == kStart + 30'500us));
  StartDecode(model, kStart + 1ms, "b", 0, 3);
  std::vector<EngineEvent> first = model.Advance(kStart + 30'500us);
  BOOST_TEST(CountKind(first, EngineEventKind::Token) == 1u);
  // Both are in the next step, which takes longer.
  BOOST_TEST((model.NextEventAt() == kStart + 30'500us + 31ms));
  std::vector<EngineEvent> rest = model.Advance(kStart + 1s);
  BOOST_TEST(CountKind(rest, EngineEventKind::Token) == 5u);
  BOOST_TEST(CountKind(rest, EngineEventKind::StreamDone) == 2u);
}

BOOST_AUTO_TEST_CASE(a_finished_stream_is_held_until_cancelled_or_lapsed)
{
  EngineModel model({});
  StartDecode(model, kStart, "a", 0, 1);
  StartDecode(model, kStart, "b", 0, 1);
  model.Advance(kStart + 1s);
  BOOST_TEST((model.Find("a")->m_state == HoldingState::Done));
  BOOST_TEST(model.Attach("a") != 0u);
  BOOST_TEST(model.Cancel(kStart + 1s, "a"));
  BOOST_TEST(!model.Cancel(kStart + 1s, "a"));
  std::vector<EngineEvent> lapsed = model.Advance(kStart + 11s);
  BOOST_TEST(CountKind(lapsed, EngineEventKind::StreamLapsed) == 1u);
  BOOST_TEST(model.PiecesHeld() == 0u);
}

BOOST_AUTO_TEST_CASE(claims_are_refused_with_the_reason)
{
  EngineModel model({ .m_batchLimit = 2, .m_kvPieces = 10 });
  TimePoint now = kStart;
  BOOST_TEST((model.StartPrefill(now, Prefill("p", 10)).m_refused ==
              RefuseReason::Role));
  ImportRequest other = Import("m", 10, 10);
  other.m_model = "other";
  BOOST_TEST((model.ClaimImport(now, other).m_refused == RefuseReason::Model));
  BOOST_TEST((model.ClaimImport(now, Import("x", 20'000, 1)).m_refused ==
              RefuseReason::Memory));
  Admission first = model.ClaimImport(now, Import("a", 1'000, 1'000));
  BOOST_TEST(!first.m_refused.has_value());
  BOOST_TEST(model.ClaimImport(now, Import("a", 1'000, 1'000)).m_id ==
             first.m_id);
  BOOST_TEST(model.PiecesHeld() == 1u);
  model.ClaimImport(now, Import("b", 10, 10));
  BOOST_TEST((model.ClaimImport(now, Import("c", 10, 10)).m_refused ==
              RefuseReason::Batch));
  model.SetLeaving(now, true);
  BOOST_TEST((model.ClaimImport(now, Import("d", 10, 10)).m_refused ==
              RefuseReason::Leaving));
}

BOOST_AUTO_TEST_CASE(a_continued_stream_repeats_no_token)
{
  std::string unbroken = GeneratedText("fp-a", 20);
  EngineModel model({});
  StartDecode(model, kStart, "a2", 12, 8, "fp-a");
  std::string continued = GeneratedText("fp-a", 12);
  for (const EngineEvent& event : model.Advance(kStart + 1s)) {
    if (event.m_kind == EngineEventKind::Token) {
      continued += TokenText(model.Find("a2")->m_seed, event.m_position);
    }
  }
  BOOST_TEST(continued == unbroken);
  BOOST_TEST(GeneratedText("fp-b", 20) != unbroken);
}

BOOST_AUTO_TEST_CASE(load_reports_lag)
{
  EngineModel model({});
  model.ClaimImport(kStart, Import("a", 3'000, 1'000));
  BOOST_TEST(model.Load(kStart + 199ms).m_running == 0u);
  BOOST_TEST(model.Load(kStart + 200ms).m_running == 1u);
  BOOST_TEST(model.Load(kStart + 200ms).m_piecesFree == 198u);
}

BOOST_AUTO_TEST_CASE(old_fencing_numbers_are_refused_only_where_checked)
{
  for (bool checks : { true, false }) {
    EngineModel model({ .m_checksFencing = checks });
    OrderRequest order;
    order.m_kind = OrderKind::Drain;
    order.m_fence = 7;
    BOOST_TEST((model.Order(kStart, order) == OrderResult::Accepted));
    order.m_kind = OrderKind::Resume;
    order.m_fence = 6;
    BOOST_TEST((model.Order(kStart, order) ==
                (checks ? OrderResult::OldFence : OrderResult::Accepted)));
    BOOST_TEST(model.State().m_draining == checks);
  }
}

BOOST_AUTO_TEST_CASE(role_changes_only_when_drained_and_models_take_time)
{
  EngineModel model({ .m_weightBytes = 3'000'000'000 });
  model.ClaimImport(kStart, Import("a", 10, 10));
  OrderRequest role;
  role.m_kind = OrderKind::SetRole;
  role.m_role = EngineRole::Prefill;
  BOOST_TEST((model.Order(kStart, role) == OrderResult::Busy));
  model.Cancel(kStart, "a");
  BOOST_TEST((model.Order(kStart, role) == OrderResult::Accepted));
  OrderRequest load;
  load.m_kind = OrderKind::LoadModel;
  load.m_model = "next";
  BOOST_TEST((model.Order(kStart, load) == OrderResult::Accepted));
  BOOST_TEST((model.StartPrefill(kStart, Prefill("p", 10)).m_refused ==
              RefuseReason::Model));
  BOOST_TEST(model.Advance(kStart + 2'999ms).empty());
  model.Advance(kStart + 3s);
  BOOST_TEST(model.State().m_model == "next");
}

BOOST_AUTO_TEST_CASE(a_marked_request_crashes_the_engine)
{
  EngineModel prefill({ .m_role = EngineRole::Prefill });
  PrefillRequest poison = Prefill("a", 2'000);
  poison.m_crashPrefill = true;
  prefill.StartPrefill(kStart, poison);
  prefill.StartPrefill(kStart, Prefill("b", 2'000));
  std::vector<EngineEvent> events = prefill.Advance(kStart + 1s);
  BOOST_REQUIRE(events.size() == 1u);
  BOOST_TEST((events[0].m_kind == EngineEventKind::Crashed));
  BOOST_TEST(prefill.Holdings().empty());
}

BOOST_AUTO_TEST_CASE(prefixes_are_whole_pieces_of_words)
{
  std::string prompt = "one two  three\nfour five ";
  std::vector<std::string> prefixes = PrefixFingerprints(prompt, 2);
  BOOST_REQUIRE(prefixes.size() == 2u);
  BOOST_TEST(prefixes[0] == Fingerprint("one two"));
  BOOST_TEST(prefixes[1] == Fingerprint("one two  three\nfour"));
  BOOST_TEST(CountTokens(prompt) == 5u);
  BOOST_TEST(CountTokens(TokenText("seed", 3)) == 1u);
}
