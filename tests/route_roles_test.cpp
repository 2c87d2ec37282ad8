/// Tests of the split of engines between prefill and decode, and of the prompts
/// that skip the prefill engines when these are overloaded.

#define BOOST_TEST_MODULE route_roles
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <rapidcheck.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const EngineCapacity kCapacity{ .m_slots = 128, .m_memoryTokens = 59'729 };
const RequestShape kShape{ .m_promptTokens = 5'200, .m_outputTokens = 780 };

UpstreamPtr
MakeEngine(const std::string& aId,
           const std::string& aDomain,
           EngineStage aStage)
{
  auto engine = std::make_shared<Upstream>();
  engine->m_entry = { .m_key = { aId, 1 },
                      .m_service = "model",
                      .m_address = "10.0.0.1:80",
                      .m_failureDomain = aDomain,
                      .m_stage = aStage };
  return engine;
}

/// aPrefill prefill engines and aDecode decode engines, spread over three
/// failure domains.
std::vector<UpstreamPtr>
MakeEngines(std::size_t aPrefill, std::size_t aDecode)
{
  std::vector<UpstreamPtr> engines;
  for (std::size_t i = 0; i < aPrefill + aDecode; ++i) {
    engines.push_back(
      MakeEngine("e" + std::to_string(i),
                 "z" + std::to_string(i % 3),
                 i < aPrefill ? EngineStage::Prefill : EngineStage::Decode));
  }
  return engines;
}

/// Simulates a burst of requests on engines of two roles: a prefill engine
/// reads prompts one after the other, and a request begins to decode when
/// memory is free.
/// @param aBurstPerSecond  requests, for five seconds
/// @param aDelay  decides which prompts decode engines read, if given
/// @return the share of requests with a first token within 900 ms
double
SimulateBurst(std::size_t aPrefill,
              std::size_t aDecode,
              double aBurstPerSecond,
              PrefillDelay* aDelay = nullptr)
{
  using Ms = double;
  constexpr Ms kTarget = 900;
  constexpr Ms kRead = 94;
  constexpr Ms kSlowRead = 225; // by a decode engine
  constexpr Ms kDecode = 3'500;
  constexpr double kUsualPerSecond = 13;
  constexpr int kHeldAtOnce = 9; // requests that one engine's memory holds
  using Times = std::priority_queue<Ms, std::vector<Ms>, std::greater<>>;
  Times readers;
  Times places;
  for (std::size_t i = 0; i < aPrefill; ++i) {
    readers.push(0);
  }
  for (std::size_t i = 0; i < aDecode * kHeldAtOnce; ++i) {
    places.push(0);
  }
  int all = 0;
  int timely = 0;
  for (Ms now = 0; now < 20'000; ++all) {
    bool burst = now > 8'000 && now < 13'000;
    TimePoint at(std::chrono::microseconds(std::llround(1'000 * now)));
    std::uint64_t hash = StableHash("request " + std::to_string(all));
    Ms read = now;
    Ms slower = 0;
    if (aDelay != nullptr && aDelay->ShouldSkipPrefill(hash, at)) {
      slower = kSlowRead;
    } else {
      read = std::max(now, readers.top()) + kRead;
      readers.pop();
      readers.push(read);
    }
    if (aDelay != nullptr && slower == 0) {
      aDelay->OnPrefill(
        kShape.m_promptTokens,
        std::chrono::microseconds(std::llround(1'000 * (read - now))),
        at);
    }
    Ms begin = std::max(read, places.top()) + slower;
    places.pop();
    // The other requests of that engine make no progress meanwhile.
    places.push(begin + kDecode + slower);
    timely += begin - now <= kTarget ? 1 : 0;
    now += 1'000 / (burst ? aBurstPerSecond : kUsualPerSecond);
  }
  return static_cast<double>(timely) / all;
}

} // namespace

BOOST_AUTO_TEST_CASE(long_prompts_need_more_prefill_engines)
{
  double usual = PrefillShare(kCapacity, kShape);
  BOOST_TEST(usual > 0.15);
  BOOST_TEST(usual < 0.25);
  BOOST_TEST(PrefillShare(kCapacity, { 11'000, 200 }) > usual);
  BOOST_TEST(PrefillShare(kCapacity, { 500, 2'000 }) < usual);
}

BOOST_AUTO_TEST_CASE(the_prefill_share_is_0_to_1_for_any_engine_and_request)
{
  BOOST_TEST(rc::check("0 to 1", [] {
    EngineCapacity capacity{ .m_slots = *rc::gen::inRange(1U, 2'000U),
                             .m_memoryTokens =
                               *rc::gen::inRange(0, 1'000'000) * 1.0 };
    RequestShape shape{ .m_promptTokens = *rc::gen::inRange(0, 100'000) * 1.0,
                        .m_outputTokens = *rc::gen::inRange(1, 100'000) * 1.0 };
    double share = PrefillShare(capacity, shape);
    RC_ASSERT(share >= 0);
    RC_ASSERT(share <= 1);
  }));
}

BOOST_AUTO_TEST_CASE(surplus_prefill_engines_are_chosen_to_decode)
{
  auto chosen = ChooseForDecode(
    MakeEngines(4, 8), "model", PrefillShare(kCapacity, kShape));
  BOOST_TEST(chosen.size() == 1U);
  // The first domain has two of the four.
  BOOST_TEST(chosen.front()->m_entry.m_failureDomain == "z0");
  BOOST_TEST(ChooseForDecode(MakeEngines(4, 8), "other", 0.2).empty());
  // An engine that was already ordered to decode isn't chosen again, and no
  // other engine is chosen in its place.
  BOOST_TEST(ChooseForDecode(MakeEngines(4, 8),
                             "model",
                             PrefillShare(kCapacity, kShape),
                             { chosen.front()->m_entry.m_key })
               .empty());
}

BOOST_AUTO_TEST_CASE(enough_prefill_engines_are_left)
{
  BOOST_TEST(rc::check("only surplus ones are chosen", [] {
    auto prefill = *rc::gen::inRange<std::size_t>(0, 60);
    auto decode = *rc::gen::inRange<std::size_t>(0, 90);
    double share = *rc::gen::inRange(0, 101) / 100.0;
    std::vector<UpstreamPtr> engines = MakeEngines(prefill, decode);
    auto chosen = ChooseForDecode(engines, "model", share);
    std::size_t wanted = WantedPrefillEngines(prefill + decode, share);
    RC_ASSERT(chosen.size() == (prefill > wanted ? prefill - wanted : 0));
    std::set<UpstreamKey> keys;
    for (const UpstreamPtr& engine : chosen) {
      RC_ASSERT(engine->m_entry.m_stage == EngineStage::Prefill);
      keys.insert(engine->m_entry.m_key);
    }
    RC_ASSERT(keys.size() == chosen.size());
  }));
}

BOOST_AUTO_TEST_CASE(the_chosen_split_serves_more_of_a_burst_on_time)
{
  std::size_t prefill =
    WantedPrefillEngines(12, PrefillShare(kCapacity, kShape));
  double published = SimulateBurst(4, 8, 29);
  double chosen = SimulateBurst(prefill, 12 - prefill, 29);
  BOOST_TEST(chosen > published + 0.05);
}

BOOST_AUTO_TEST_CASE(a_lack_of_prefill_engines_makes_few_requests_late)
{
  // One more prefill engine was lost than the split allows for.
  PrefillDelay delay;
  double without = SimulateBurst(2, 9, 26);
  double with = SimulateBurst(2, 9, 26, &delay);
  BOOST_TEST(with > without + 0.1);
  // Nearly as good as without that loss.
  BOOST_TEST(with > SimulateBurst(3, 9, 26) - 0.05);
  // With enough prefill engines, decode engines read no prompts.
  PrefillDelay unused;
  BOOST_TEST(SimulateBurst(5, 9, 26, &unused) == SimulateBurst(5, 9, 26));
}

BOOST_AUTO_TEST_CASE(a_prefill_delay_decays_with_time)
{
  TimePoint now{ 1h };
  PrefillDelay delay;
  BOOST_TEST(!delay.ShouldSkipPrefill(0, now));
  for (int i = 0; i < 20; ++i) {
    delay.OnPrefill(5'200, 1'500ms, now);
  }
  BOOST_TEST(delay.ShouldSkipPrefill(UINT64_MAX, now));
  BOOST_TEST(!delay.ShouldSkipPrefill(0, now + 10s));
}

BOOST_AUTO_TEST_CASE(the_prefill_timeout_follows_the_observed_delay)
{
  // After a timeout at an unresponsive engine, another engine can still read
  // the prompt in time.
  TimePoint now{ 1h };
  PrefillDelay delay;
  constexpr std::chrono::milliseconds kTarget = 900ms;
  constexpr std::chrono::milliseconds kElsewhere = 250ms;
  BOOST_TEST((delay.PrefillTimeout(5'200, now) < kTarget - kElsewhere));
  // Prefills of usual duration don't time out.
  BOOST_TEST(
    (delay.PrefillTimeout(5'200, now) > 2 * 94ms + kSkipSomePrefillsDelay));
  for (int i = 0; i < 20; ++i) {
    delay.OnPrefill(5'200, 594ms, now);
  }
  BOOST_TEST((delay.PrefillTimeout(5'200, now) > 1'000ms));
}
