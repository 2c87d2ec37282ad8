/// Tests of the admission queue, of the rate limits of callers and their split
/// over VMs, and of the goodput counters.

#define BOOST_TEST_MODULE placement_admission
#include "shallotford/placement.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <set>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1'000s };

CallerEntry
Caller(const std::string& aName, double aShare, double aRate = 0)
{
  CallerEntry caller;
  caller.m_name = aName;
  caller.m_share = aShare;
  caller.m_tokensPerSecond = aRate;
  caller.m_burstTokens = aRate;
  return caller;
}

QueuedRequest
Waiting(std::uint64_t aId,
        const std::string& aCaller,
        double aCost,
        std::int32_t aPriority = 0,
        Duration aTime = 1'000s)
{
  return { aId, aCaller, aCost, aPriority, kStart + aTime };
}

std::vector<std::uint64_t>
Drain(AdmissionQueue& aQueue)
{
  std::vector<std::uint64_t> ids;
  while (const auto request = aQueue.Pop(kStart))
    ids.push_back(request->m_id);
  return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

BOOST_AUTO_TEST_CASE(tokens_are_shared_by_weight)
{
  AdmissionQueue queue{ { .m_maxWaiting = 4'000,
                          .m_maxWaitingPerCaller = 2'000 } };
  queue.SetCallers({ Caller("a", 3), Caller("b", 1) });
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    queue.Push(kStart, Waiting(2 * i, "a", 1'000));
    queue.Push(kStart, Waiting(2 * i + 1, "b", 3'000));
  }
  double a = 0;
  double b = 0;
  for (int i = 0; i < 1'000; ++i) {
    const auto request = queue.Pop(kStart);
    (request->m_caller == "a" ? a : b) += request->m_cost;
  }
  BOOST_TEST(a / b == 3.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(requests_of_one_caller_go_by_earliest_time_to_give_up)
{
  AdmissionQueue queue;
  queue.Push(kStart, Waiting(1, "a", 10, 0, 30s));
  queue.Push(kStart, Waiting(2, "a", 10, 0, 10s));
  queue.Push(kStart, Waiting(3, "a", 10, 0, 20s));
  BOOST_TEST(Drain(queue) == (std::vector<std::uint64_t>{ 2, 3, 1 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(higher_priority_goes_first_and_lower_keeps_a_share)
{
  AdmissionQueue queue{ { .m_maxWaiting = 400 } };
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push(kStart, Waiting(i, "high", 100, 5));
    queue.Push(kStart, Waiting(1'000 + i, "low", 100, 0));
  }
  const std::vector<std::uint64_t> order = Drain(queue);
  const auto lowInFirst = std::count_if(
    order.begin(), order.begin() + 55, [](auto aId) { return aId >= 1'000; });
  BOOST_TEST(lowInFirst == 5);
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_as_overloaded)
{
  AdmissionQueue queue{ { .m_maxWaiting = 2 } };
  BOOST_TEST(!queue.Push(kStart, Waiting(1, "a", 1)));
  BOOST_TEST(!queue.Push(kStart, Waiting(2, "b", 1)));
  const auto refusal = queue.Push(kStart, Waiting(3, "c", 1));
  BOOST_REQUIRE(refusal.has_value());
  BOOST_CHECK(refusal->m_kind == ErrorKind::Overloaded);
  BOOST_TEST(refusal->m_retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(expired_requests_are_reported_and_never_popped)
{
  AdmissionQueue queue;
  queue.Push(kStart, Waiting(1, "a", 1, 0, 1s));
  queue.Push(kStart, Waiting(2, "a", 1, 0, 3s));
  BOOST_CHECK(queue.NextExpiry() == kStart + 1s);
  BOOST_TEST(queue.Pop(kStart + 2s)->m_id == 2u);
  const auto expired = queue.Expire(kStart + 2s);
  BOOST_REQUIRE(expired.size() == 1);
  BOOST_TEST(expired.front().m_id == 1u);
  BOOST_CHECK(queue.NextExpiry() == TimePoint::max());
}

BOOST_AUTO_TEST_CASE(no_request_is_lost_and_no_caller_starved)
{
  BOOST_TEST(rc::check([] {
    AdmissionQueue queue{ { .m_maxWaiting = 10'000,
                            .m_maxWaitingPerCaller = 10'000 } };
    const int callers = *rc::gen::inRange(1, 6);
    std::vector<CallerEntry> entries;
    entries.reserve(callers);
    for (int i = 0; i < callers; ++i)
      entries.push_back(
        Caller(std::to_string(i), *rc::gen::inRange(1, 10) / 4.0));
    queue.SetCallers(entries);
    std::set<std::uint64_t> waiting;
    std::uint64_t next = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const int action = *rc::gen::inRange(0, 10);
      if (action < 6) {
        const double cost = *rc::gen::inRange(1, 70'000);
        const int caller = *rc::gen::inRange(0, callers);
        const int priority = *rc::gen::inRange(0, 3);
        queue.Push(kStart,
                   Waiting(++next, std::to_string(caller), cost, priority));
        waiting.insert(next);
      } else if (action < 8) {
        const auto request = queue.Pop(kStart);
        RC_ASSERT(request.has_value() == !waiting.empty());
        if (request && action == 7)
          queue.PutBack(*request);
        else if (request)
          RC_ASSERT(waiting.erase(request->m_id) == 1u);
      } else if (!waiting.empty()) {
        RC_ASSERT(queue.Remove(*waiting.begin()));
        waiting.erase(waiting.begin());
      }
      RC_ASSERT(queue.Waiting() == waiting.size());
    }
    // Each waiting request is served, even if another caller floods the queue
    // at a higher priority.
    std::uint64_t flood = 1'000'000;
    for (int i = 0; i < 200'000 && !waiting.empty(); ++i) {
      queue.Push(kStart, Waiting(++flood, "flood", 30'000, 5));
      waiting.erase(queue.Pop(kStart)->m_id);
    }
    RC_ASSERT(waiting.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Limits)

namespace {

/// VMs that share one caller's limit and exchange demand every 500 ms.
struct Vms
{
  struct Vm
  {
    std::string m_name;
    double m_weight{ 1 }; ///< relative demand that reaches this VM
    std::unique_ptr<CallerLimits> m_limits;
  };

  explicit Vms(double aRate)
    : m_rate(aRate)
  {
  }

  void Join(double aWeight)
  {
    const std::string name = "vm" + std::to_string(m_next++);
    m_vms.push_back({ name, aWeight, std::make_unique<CallerLimits>(name) });
    SetLists();
    m_vms.back().m_limits->SetCallers(m_now, { Caller("c", 1, m_rate) });
  }

  void Leave(std::size_t aIndex)
  {
    m_vms.erase(m_vms.begin() + aIndex);
    SetLists();
  }

  void SetLists()
  {
    std::vector<std::string> names;
    names.reserve(m_vms.size());
    for (const Vm& vm : m_vms)
      names.push_back(vm.m_name);
    for (const Vm& vm : m_vms)
      vm.m_limits->SetVms(m_now, names);
  }

  void Gossip()
  {
    for (const Vm& from : m_vms)
      for (const Vm& to : m_vms)
        if (from.m_name != to.m_name)
          to.m_limits->OnPeerDemand(
            m_now, from.m_name, from.m_limits->Demand(m_now));
  }

  /// Requests aLoad times the limit for aTime. Returns the tokens granted.
  double Run(Duration aTime, double aLoad, RandomI& aRandom)
  {
    double granted = 0;
    const double cost = m_rate / 200;
    const Duration gap =
      std::chrono::duration_cast<Duration>(1s / (200 * aLoad));
    const TimePoint end = m_now + aTime;
    double weights = 0;
    for (const Vm& vm : m_vms)
      weights += vm.m_weight;
    while (m_now < end) {
      m_now += gap;
      if (m_now >= m_gossipAt) {
        Gossip();
        m_gossipAt = m_now + 500ms;
      }
      double pick = aRandom.Unit() * weights;
      std::size_t at = 0;
      while (at + 1 < m_vms.size() && pick >= m_vms[at].m_weight)
        pick -= m_vms[at++].m_weight;
      if (m_vms[at].m_limits->Take(m_now, "c", cost).count() == 0)
        granted += cost;
    }
    return granted;
  }

  double m_rate;
  TimePoint m_now{ kStart };
  TimePoint m_gossipAt{ kStart };
  int m_next{ 0 };
  std::vector<Vm> m_vms;
};

} // namespace

BOOST_AUTO_TEST_CASE(granted_rate_stays_within_a_tenth_while_vms_join_and_leave)
{
  BOOST_TEST(rc::check([] {
    const auto random = MakeSeededRandom(*rc::gen::arbitrary<std::uint32_t>());
    Vms vms(100'000);
    for (int i = 0; i < 9; ++i)
      vms.Join(1 + random->Below(4));
    vms.Run(20s, 2.0, *random); // uses up the burst
    double granted = 0;
    double seconds = 0;
    for (int round = 0; round < 4; ++round) {
      if (random->Below(2) == 0 && vms.m_vms.size() > 7)
        vms.Leave(random->Below(vms.m_vms.size()));
      else
        vms.Join(1 + random->Below(4));
      granted += vms.Run(10s, 1.5 + random->Unit(), *random);
      seconds += 10;
    }
    const double error = granted / (vms.m_rate * seconds) - 1;
    RC_LOG() << "error " << error;
    RC_ASSERT(std::abs(error) < 0.1);
  }));
}

BOOST_AUTO_TEST_CASE(summed_demand_of_other_vms_sets_the_share)
{
  CallerLimits limits("a");
  limits.SetVms(kStart, { "a", "b", "c" });
  limits.SetCallers(kStart, { Caller("lead-desk", 1, 10'000) });
  TimePoint now = kStart;
  for (int i = 0; i < 600; ++i) {
    now += 100ms;
    limits.Take(now, "lead-desk", 200);
  }
  double own = limits.Demand(now).front().m_tokensPerSecond;
  BOOST_REQUIRE(own > 1'000);
  limits.OnOthersDemand(now, { { "lead-desk", 3 * own } });
  BOOST_TEST(limits.Share(now, "lead-desk") > 0.25 * 0.9);
  BOOST_TEST(limits.Share(now, "lead-desk") < 0.25 * 1.1);
  // Without demand elsewhere nearly all of the limit is granted here.
  limits.OnOthersDemand(now, { { "lead-desk", 0 } });
  BOOST_TEST(limits.Share(now, "lead-desk") > 0.9);
}

BOOST_AUTO_TEST_CASE(all_demand_at_one_vm_gets_nearly_the_whole_limit)
{
  const auto random = MakeSeededRandom(3);
  Vms vms(100'000);
  vms.Join(1);
  for (int i = 0; i < 8; ++i)
    vms.Join(0);
  vms.Run(20s, 2.0, *random);
  const double granted = vms.Run(20s, 2.0, *random);
  BOOST_TEST(granted / 20 == 100'000, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(refusal_returns_the_time_until_tokens_are_left)
{
  CallerLimits limits("vm");
  limits.SetCallers(kStart, { Caller("c", 1, 1'000) });
  BOOST_TEST(limits.Take(kStart, "c", 5'000).count() == 0);
  const auto wait = limits.Take(kStart, "c", 100);
  BOOST_CHECK(wait >= 3'900ms && wait <= 4'100ms);
  BOOST_TEST(limits.Take(kStart + 5s, "c", 100).count() == 0);
}

BOOST_AUTO_TEST_CASE(caller_without_limit_is_never_refused)
{
  CallerLimits limits("vm");
  limits.SetCallers(kStart, { Caller("c", 1, 0) });
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(limits.Take(kStart, "c", 1e9).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(goodput_counts_only_what_meets_both_targets)
{
  GoodputMeter meter;
  RequestSample sample{ .m_answered = true,
                        .m_firstToken = 1'600ms,
                        .m_decoding = 710ms,
                        .m_outputTokens = 11,
                        .m_targets = {} };
  meter.OnEnded(sample);
  BOOST_TEST(meter.Figures().m_good == 1u);
  sample.m_decoding = 711ms;
  meter.OnEnded(sample);
  sample.m_decoding = 100ms;
  sample.m_firstToken = 1'601ms;
  meter.OnEnded(sample);
  BOOST_TEST(meter.Figures().m_good == 1u);
  BOOST_TEST(meter.Figures().m_ended == 3u);
}
