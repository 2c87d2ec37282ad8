/// Decides how many engines of a service do prefill, which engines change their
/// role, and which prompts skip the prefill engines.

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

using Seconds = std::chrono::duration<double>;

Seconds
PrefillTime(double aPromptTokens)
{
  return std::chrono::duration<double, std::milli>(aPromptTokens /
                                                   kTypicalPromptTokensPerMs);
}

} // namespace

double
PrefillShare(const EngineCapacity& aCapacity, const RequestShape& aShape)
{
  double held = aShape.m_promptTokens + aShape.m_outputTokens;
  double atOnce = std::clamp(aCapacity.m_memoryTokens / std::max(held, 1.0),
                             1.0,
                             static_cast<double>(aCapacity.m_slots));
  Seconds prefill = PrefillTime(aShape.m_promptTokens);
  Seconds decode = kTypicalDecodeStep + kTypicalDecodeStepPerRequest * atOnce;
  decode *= aShape.m_outputTokens / atOnce;
  return prefill / (prefill + decode);
}

std::size_t
WantedPrefillEngines(std::size_t aEngines, double aPrefillShare)
{
  double wanted =
    std::ceil(kPrefillHeadroom * aPrefillShare * static_cast<double>(aEngines));
  return std::max(static_cast<std::size_t>(wanted), kMinPrefillEngines);
}

PrefillDelay::PrefillDelay()
  : m_wait(kPrefillDelayHalfLife, kPrefillDelaySampleWeight)
{
}

void
PrefillDelay::OnPrefill(double aPromptTokens, Duration aTook, TimePoint aNow)
{
  Seconds wait = aTook - PrefillTime(aPromptTokens);
  m_wait.Add(std::max(wait.count(), 0.0), aNow);
}

Duration
PrefillDelay::ExpectedWait(TimePoint aNow) const
{
  return std::chrono::duration_cast<Duration>(Seconds(m_wait.At(aNow)));
}

std::chrono::milliseconds
PrefillDelay::PrefillTimeout(double aPromptTokens, TimePoint aNow) const
{
  Seconds expected = PrefillTime(aPromptTokens) + ExpectedWait(aNow);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    kPrefillTimeoutBase + kPrefillTimeoutFactor * expected);
}

bool
PrefillDelay::ShouldSkipPrefill(std::uint64_t aHash, TimePoint aNow) const
{
  double excess = Seconds(ExpectedWait(aNow) - kSkipSomePrefillsDelay) /
                  Seconds(kSkipAllPrefillsDelay - kSkipSomePrefillsDelay);
  return UnitOf(aHash) < excess;
}

namespace {

/// Engines of one service in one failure domain.
struct DomainEngines
{
  std::vector<UpstreamPtr> m_prefill;
  std::size_t m_all{ 0 };

  /// Returns the prefill engines in excess of aShare of the domain's engines.
  double Surplus(double aShare) const
  {
    return static_cast<double>(m_prefill.size()) -
           aShare * static_cast<double>(m_all);
  }
};

} // namespace

std::vector<UpstreamPtr>
ChooseForDecode(const std::vector<UpstreamPtr>& aUpstreams,
                const std::string& aService,
                double aPrefillShare,
                const std::set<UpstreamKey>& aChanging)
{
  std::map<std::string, DomainEngines> domains;
  std::size_t engines = 0;
  std::size_t prefill = 0;
  for (const UpstreamPtr& upstream : aUpstreams) {
    const UpstreamEntry& entry = upstream->m_entry;
    if (entry.m_service != aService || entry.m_draining ||
        entry.m_stage == EngineStage::None) {
      continue;
    }
    DomainEngines& domain = domains[entry.m_failureDomain];
    ++engines;
    ++domain.m_all;
    if (entry.m_stage == EngineStage::Prefill &&
        !aChanging.contains(entry.m_key)) {
      ++prefill;
      domain.m_prefill.push_back(upstream);
    }
  }
  std::size_t wanted = WantedPrefillEngines(engines, aPrefillShare);
  std::vector<UpstreamPtr> chosen;
  for (; prefill > wanted; --prefill) {
    auto most = std::max_element(domains.begin(),
                                 domains.end(),
                                 [&](const auto& aLeft, const auto& aRight) {
                                   return aLeft.second.Surplus(aPrefillShare) <
                                          aRight.second.Surplus(aPrefillShare);
                                 });
    chosen.push_back(most->second.m_prefill.back());
    most->second.m_prefill.pop_back();
  }
  return chosen;
}

} // namespace shallotford
