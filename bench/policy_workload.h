#ifndef SHALLOTFORD_BENCH_POLICY_WORKLOAD_H
#define SHALLOTFORD_BENCH_POLICY_WORKLOAD_H

/// Arrivals of the policy bench: a trace that depends on the seed and the
/// offered load only, so that every policy is given the same requests.

#include "shallotford/placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace shallotford::bench {

using namespace std::chrono_literals;

struct WorkloadOptions
{
  double m_requestsPerSecond{ 40 }; ///< mean
  Duration m_time{ 75s };
  std::uint32_t m_vms{ 9 };
  std::uint64_t m_seed{ 1 };
  double m_cancelRate{ 0.01 }; ///< share of the callers that go away
};

struct Arrival
{
  TimePoint m_at{};
  std::uint32_t m_vm{};
  std::uint32_t m_caller{};
  std::uint32_t m_promptTokens{};
  std::uint32_t m_outputTokens{};    ///< what it will generate
  std::uint32_t m_maxOutputTokens{}; ///< what it asks for
  std::vector<std::string> m_prefixes;
  std::vector<PrefixKey> m_prefixKeys;
  Duration m_cancelAfter{ Duration::max() };
};

/// Draws sessions and their turns.
class Workload
{
public:
  explicit Workload(const WorkloadOptions& aOptions)
    : m_options(aOptions)
    , m_engine(aOptions.m_seed)
  {
  }

  std::vector<Arrival> Draw()
  {
    // Sessions that began before the trace give it a steady state.
    const double from = -kSessionLead;
    const double until =
      std::chrono::duration<double>(m_options.m_time).count();
    const double sessionsPerSecond =
      m_options.m_requestsPerSecond / kTurnsPerSession;
    double at = from;
    for (;;) {
      at += std::exponential_distribution<>(sessionsPerSecond *
                                            Burst(at))(m_engine);
      if (at >= until)
        break;
      DrawSession(at, until);
    }
    std::sort(m_arrivals.begin(),
              m_arrivals.end(),
              [](const Arrival& aOne, const Arrival& aTwo) {
                return aOne.m_at < aTwo.m_at;
              });
    return std::move(m_arrivals);
  }

  static constexpr TimePoint kStart{ 1'000s };

private:
  static constexpr double kSessionLead = 120;   // seconds
  static constexpr double kTurnsPerSession = 4; // mean
  static constexpr double kThinkTime = 15;      // seconds, mean
  static constexpr std::uint32_t kMostPrompt = 40'000;
  static constexpr std::uint32_t kMostOutput = 2'000;
  static constexpr std::uint32_t kTemplates = 12;
  static constexpr std::uint32_t kCallers = 20;

  /// Bursts: three seconds in ten carry twice the rate of the others.
  static double Burst(double aAt)
  {
    const double phase = aAt - 10 * std::floor(aAt / 10);
    return phase < 3 ? 20.0 / 13 : 10.0 / 13;
  }

  double LogNormal(double aMedian, double aSigma)
  {
    return std::lognormal_distribution<>(std::log(aMedian), aSigma)(m_engine);
  }

  std::uint32_t Below(std::uint32_t aBound)
  {
    return std::uniform_int_distribution<std::uint32_t>(0,
                                                        aBound - 1)(m_engine);
  }

  double Unit() { return std::uniform_real_distribution<>(0, 1)(m_engine); }

  std::uint32_t OutputTokens()
  {
    return std::clamp(std::uint32_t(LogNormal(180, 0.8)), 4u, kMostOutput);
  }

  void DrawSession(double aAt, double aUntil)
  {
    const std::uint64_t session = m_nextSession++;
    // Few templates are hot: their popularity falls with their rank.
    const std::uint32_t shared = std::min(Below(kTemplates), Below(kTemplates));
    const std::uint32_t sharedTokens =
      Unit() < 0.5 ? 2'000 * (1 + shared % 2) : 0;
    double context = sharedTokens + LogNormal(1'200, 1.2);
    const std::uint32_t caller = std::min(Below(kCallers), Below(kCallers));
    double at = aAt;
    const double more = 1.0 - 1.0 / kTurnsPerSession;
    do {
      const std::uint32_t output = OutputTokens();
      const auto prompt = std::clamp(std::uint32_t(context), 20u, kMostPrompt);
      if (at >= 0 && at < aUntil)
        Add(at, caller, session, shared, sharedTokens, prompt, output);
      context = prompt + output + LogNormal(150, 1.0);
      at += 4 + std::exponential_distribution<>(1 / (kThinkTime - 4))(m_engine);
    } while (Unit() < more);
  }

  void Add(double aAt,
           std::uint32_t aCaller,
           std::uint64_t aSession,
           std::uint32_t aShared,
           std::uint32_t aSharedTokens,
           std::uint32_t aPrompt,
           std::uint32_t aOutput)
  {
    Arrival arrival;
    arrival.m_at = kStart + std::chrono::microseconds(std::int64_t(aAt * 1e6));
    arrival.m_vm = Below(m_options.m_vms);
    arrival.m_caller = aCaller;
    arrival.m_promptTokens = aPrompt;
    arrival.m_outputTokens = aOutput;
    arrival.m_maxOutputTokens = aOutput <= 500 ? 500 : kMostOutput;
    for (std::uint32_t k = 1; k * 2'000 <= aPrompt; ++k) {
      const std::string owner = k * 2'000 <= aSharedTokens
                                  ? "t" + std::to_string(aShared)
                                  : "s" + std::to_string(aSession);
      arrival.m_prefixes.push_back(owner + "." + std::to_string(k));
      arrival.m_prefixKeys.push_back(MakePrefixKey(arrival.m_prefixes.back()));
    }
    if (Unit() < m_options.m_cancelRate)
      arrival.m_cancelAfter =
        std::chrono::microseconds(std::int64_t(Unit() * 5e6));
    m_arrivals.push_back(std::move(arrival));
  }

  WorkloadOptions m_options;
  std::mt19937_64 m_engine;
  std::uint64_t m_nextSession{ 0 };
  std::vector<Arrival> m_arrivals;
};

} // namespace shallotford::bench

#endif // SHALLOTFORD_BENCH_POLICY_WORKLOAD_H
