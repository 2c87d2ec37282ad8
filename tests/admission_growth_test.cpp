/// Model of decode engines in virtual time: is more memory promised than they
/// have, by the length of answers and the load?

#define BOOST_TEST_MODULE admission_growth
#include <boost/test/unit_test.hpp>

#include "shallotford/admission.h"

#include <deque>
#include <limits>
#include <random>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

/// A deployment's engine and requests, from the users' sheets.
struct Site
{
  std::uint32_t m_meanOutput;
  std::uint32_t m_engineTokens;
};
constexpr std::uint32_t kPrompt = 5'200;
constexpr Site kSites[] = { { 540, 40'487 },
                            { 780, 45'842 },
                            { 980, 45'842 },
                            { 5'000, 76'489 } };
constexpr double kLoads[] = { 0.5, 0.8, 1.0, 1.3 };

struct Request
{
  std::uint32_t m_output{ 0 };
  std::uint32_t m_bound{ 0 };
  std::uint32_t m_made{ 0 };
};

struct Outcome
{
  double m_preempted{ 0 }; ///< prompts read again, per request served
  double m_used{ 0 };      ///< tokens made, per token possible
};

/// One engine that makes one token of each of its requests in a step, and
/// preempts the newest one when its memory is full.
class Model
{
public:
  Model(const Site& aSite, double aLoad, bool aLearns)
    : m_site(aSite)
    , m_load(aLoad)
    , m_learns(aLearns)
  {
  }

  Outcome Run()
  {
    constexpr int kOutputs = 400; // mean outputs, one after the other
    std::uint32_t steps = kOutputs * m_site.m_meanOutput;
    // Requests that the memory holds, at half of their output.
    std::uint32_t places =
      m_site.m_engineTokens / (kPrompt + m_site.m_meanOutput / 2);
    double arrival = m_load * places / m_site.m_meanOutput;
    for (std::uint32_t step = 0; step < steps; ++step) {
      if (std::uniform_real_distribution<>()(m_random) < arrival) {
        Arrive(step);
      }
      Admit();
      Step();
    }
    return { .m_preempted = m_preemptions / std::max(1.0, m_served),
             .m_used = m_made / (static_cast<double>(places) * steps) };
  }

private:
  std::uint32_t Used() const
  {
    std::uint32_t used = 0;
    for (const Request& request : m_running) {
      used += kPrompt + request.m_made;
    }
    return used;
  }

  void Arrive(std::uint32_t aStep)
  {
    // Estimates are right at the median and often far off.
    double length = std::uniform_real_distribution<>(0.2, 1.8)(m_random);
    double error = std::lognormal_distribution<>(0, 0.5)(m_random);
    double output = length * m_site.m_meanOutput;
    Request request{ .m_output = static_cast<std::uint32_t>(output),
                     .m_bound =
                       static_cast<std::uint32_t>(2.4 * m_site.m_meanOutput) };
    m_waiting.push_back(request);
    if (m_learns) {
      m_growth.OnRequest(static_cast<std::uint32_t>(output * error),
                         request.m_bound,
                         TimePoint{} + std::chrono::milliseconds(aStep));
    }
  }

  void Admit()
  {
    while (!m_waiting.empty()) {
      // What a preempted request had made is read again with its prompt.
      const Request& next = m_waiting.front();
      MemoryNeed need{ .m_promptTokens = kPrompt + next.m_made,
                       .m_outputTokens = next.m_bound,
                       .m_engineRequests =
                         static_cast<double>(m_running.size() + 1),
                       .m_engineTokens = m_site.m_engineTokens };
      if (Used() + m_growth.TokensToReserve(need) > m_site.m_engineTokens) {
        return;
      }
      m_running.push_back(m_waiting.front());
      m_waiting.pop_front();
    }
  }

  void Step()
  {
    for (Request& request : m_running) {
      ++request.m_made;
      m_made += 1;
    }
    m_served +=
      static_cast<double>(std::erase_if(m_running, [](const Request& aRequest) {
        return aRequest.m_made >= aRequest.m_output;
      }));
    while (Used() > m_site.m_engineTokens) {
      m_waiting.push_front(m_running.back());
      m_running.pop_back();
      m_preemptions += 1;
    }
  }

  Site m_site;
  double m_load;
  bool m_learns;
  GrowthEstimate m_growth;
  std::mt19937_64 m_random{ 7 };
  std::vector<Request> m_running; ///< oldest first
  std::deque<Request> m_waiting;
  double m_preemptions{ 0 };
  double m_served{ 0 };
  double m_made{ 0 };
};

} // namespace

BOOST_AUTO_TEST_CASE(memory_is_not_promised_twice_whatever_the_answers_length)
{
  // Against the constants that hold while nothing is known of the requests.
  for (const Site& site : kSites) {
    for (double load : kLoads) {
      Outcome before = Model(site, load, false).Run();
      Outcome after = Model(site, load, true).Run();
      BOOST_TEST_CONTEXT(site.m_meanOutput << " tokens, load " << load)
      {
        BOOST_TEST(after.m_preempted < 0.23);
        BOOST_TEST(after.m_preempted < before.m_preempted + 0.001);
        BOOST_TEST(after.m_used > before.m_used - 0.04);
        if (site.m_meanOutput == 5'000) {
          BOOST_TEST(before.m_preempted > 2.4 * after.m_preempted);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(usual_answers_need_about_as_much_as_before)
{
  GrowthEstimate unknown;
  GrowthEstimate usual(780);
  MemoryNeed need{ .m_promptTokens = kPrompt,
                   .m_outputTokens = 4'096,
                   .m_engineRequests = 9,
                   .m_engineTokens = 42'000 };
  BOOST_TEST(unknown.TokensToReserve(need) == 6'010U);
  BOOST_TEST(usual.TokensToReserve(need) == 6'175U);
  need.m_isLate = true;
  BOOST_TEST(unknown.TokensToReserve(need) == 12'010U);
  BOOST_TEST(usual.TokensToReserve(need) == 12'181U);
}

BOOST_AUTO_TEST_CASE(the_settings_mean_yields_to_what_requests_say)
{
  GrowthEstimate growth(780);
  TimePoint now{};
  for (int i = 0; i < 60; ++i) {
    growth.OnRequest(5'000, 12'000, now += 100ms);
  }
  BOOST_TEST(*growth.MeanOutput() > 3'800);
  for (int i = 0; i < 600; ++i) {
    growth.OnRequest({}, 5'000, now += 1s);
  }
  BOOST_TEST(*growth.MeanOutput() > 4'950);
  // One request after a long pause doesn't stand for all.
  growth.OnRequest(10, 12'000, now + 24h);
  BOOST_TEST(*growth.MeanOutput() > 4'000);
  // An estimate above the bound is wrong.
  GrowthEstimate bounded;
  for (int i = 0; i < 10; ++i) {
    bounded.OnRequest(1'000'000, 900, now);
  }
  BOOST_TEST(*bounded.MeanOutput() == 900);
}

BOOST_AUTO_TEST_CASE(a_late_request_fits_into_an_engine_that_serves_others)
{
  GrowthEstimate growth(5'000);
  MemoryNeed need{ .m_promptTokens = kPrompt,
                   .m_outputTokens = 12'000,
                   .m_engineRequests = 3,
                   .m_engineTokens = 40'000,
                   .m_isLate = true };
  BOOST_TEST(growth.TokensToReserve(need) == 30'000U);
  need.m_promptTokens = 35'000;
  BOOST_TEST(growth.TokensToReserve(need) == 35'000U);
}

BOOST_AUTO_TEST_CASE(one_request_does_not_decide_for_all)
{
  constexpr std::uint32_t kHuge = 4'000'000'000;
  // Once a mean is known, and before.
  GrowthEstimate known(780);
  GrowthEstimate unknown;
  TimePoint now{};
  for (GrowthEstimate* growth : { &known, &unknown }) {
    growth->OnRequest(kHuge, 0, now += 100ms);
    for (int i = 0; i < 20; ++i) {
      growth->OnRequest({}, 780, now += 100ms);
    }
  }
  BOOST_TEST(*known.MeanOutput() < 1.3 * 780);
  BOOST_TEST(*unknown.MeanOutput() < 4 * 780);
}

BOOST_AUTO_TEST_CASE(a_need_above_any_engine_stays_above)
{
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  MemoryNeed need{ .m_promptTokens = kMost - 10,
                   .m_outputTokens = kMost,
                   .m_engineRequests = 9,
                   .m_isLate = true };
  BOOST_TEST(GrowthEstimate(780).TokensToReserve(need) == kMost);
  BOOST_TEST(GrowthEstimate().TokensToReserve(need) == kMost);
}

BOOST_AUTO_TEST_CASE(the_settings_mean_holds_whenever_the_first_request_comes)
{
  for (Duration uptime : { Duration(1s), Duration(24h) }) {
    GrowthEstimate growth(780);
    growth.OnRequest({}, 5'000, TimePoint{} + uptime);
    BOOST_TEST(*growth.MeanOutput() < 1'000);
  }
}
