/// The table of suspects: finds out which requests crash engines.

#include "shallotford/ledger/poison.h"

#include <algorithm>

namespace shallotford {

namespace {

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

std::string_view
ToString(PoisonStatus aStatus)
{
  switch (aStatus) {
    case PoisonStatus::Clear:
      return "clear";
    case PoisonStatus::Suspect:
      return "suspect";
    case PoisonStatus::Convicted:
      break;
  }
  return "convicted";
}

PoisonTracker::PoisonTracker(const PoisonOptions& aOptions)
  : m_options(aOptions)
{
}

const PoisonTracker::Entry*
PoisonTracker::Find(std::string_view aFingerprint, TimePoint aNow) const
{
  auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end() || found->second.m_expiry <= aNow) {
    return nullptr;
  }
  return &found->second;
}

PoisonStatus
PoisonTracker::StatusOf(std::string_view aFingerprint, TimePoint aNow) const
{
  const Entry* entry = Find(aFingerprint, aNow);
  return entry == nullptr ? PoisonStatus::Clear : entry->m_status;
}

bool
PoisonTracker::IsRunning(const Entry& aEntry, TimePoint aNow)
{
  return aEntry.m_status == PoisonStatus::Suspect && !aEntry.m_engine.empty() &&
         aEntry.m_grantExpiry > aNow;
}

PoisonTracker::Entry&
PoisonTracker::Change(std::string_view aFingerprint,
                      PoisonStatus aStatus,
                      TimePoint aNow)
{
  Entry& entry = m_entries[std::string(aFingerprint)];
  if (entry.m_status != PoisonStatus::Suspect && !UsesEvidence()) {
    entry.m_runFrom = aNow + m_options.m_gossipTime;
  }
  if (UsesEvidence() && entry.m_status != aStatus) {
    bool convicts = aStatus == PoisonStatus::Convicted;
    entry.m_toldFrom = convicts ? aNow + m_options.m_crashWindow : TimePoint{};
  }
  if (aStatus != PoisonStatus::Convicted) {
    entry.m_lapse = TimePoint::max();
    entry.m_lapses = 0;
  }
  entry.m_status = aStatus;
  ++entry.m_version;
  entry.m_changed = aNow;
  entry.m_engine.clear();
  // A withdrawal of shared evidence lasts as long as the conviction that
  // another VM may still hold.
  bool lasts = aStatus == PoisonStatus::Convicted || UsesEvidence();
  entry.m_expiry =
    aNow + (lasts ? m_options.m_convictLifetime : m_options.m_suspectLifetime);
  return entry;
}

bool
PoisonTracker::MayPlace(std::string_view aFingerprint,
                        std::string_view aEngine,
                        TimePoint aNow) const
{
  if (UsesEvidence()) {
    return StatusOf(aFingerprint, aNow) != PoisonStatus::Convicted;
  }
  const Entry* entry = Find(aFingerprint, aNow);
  if (entry == nullptr || entry->m_status == PoisonStatus::Clear) {
    return true;
  }
  bool mustWait = entry->m_status == PoisonStatus::Convicted ||
                  entry->m_runFrom > aNow || IsRunning(*entry, aNow);
  if (mustWait) {
    return false;
  }
  return std::none_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aOther) {
      return aOther.second.m_engine == aEngine &&
             IsRunning(aOther.second, aNow);
    });
}

bool
PoisonTracker::Grant(std::string_view aFingerprint,
                     std::string_view aEngine,
                     TimePoint aNow)
{
  if (!MayPlace(aFingerprint, aEngine, aNow)) {
    return false;
  }
  if (StatusOf(aFingerprint, aNow) == PoisonStatus::Suspect) {
    Entry& entry = Change(aFingerprint, PoisonStatus::Suspect, aNow);
    entry.m_engine = std::string(aEngine);
    entry.m_grantExpiry = aNow + m_options.m_grantLifetime;
    m_crashes.erase(std::string(aEngine));
  }
  return true;
}

void
PoisonTracker::OnRunEnded(std::string_view aFingerprint,
                          std::string_view aEngine,
                          bool aComplete,
                          TimePoint aNow)
{
  if (UsesEvidence()) {
    if (aComplete) {
      ClearTrait(aFingerprint, aNow);
    }
    return;
  }
  const Entry* entry = Find(aFingerprint, aNow);
  if (entry == nullptr || entry->m_status != PoisonStatus::Suspect ||
      entry->m_engine != aEngine) {
    return;
  }
  Change(aFingerprint,
         aComplete ? PoisonStatus::Clear : PoisonStatus::Suspect,
         aNow);
}

PoisonTracker::Crash&
PoisonTracker::CrashOf(std::string_view aEngine, TimePoint aNow)
{
  Crash& crash = m_crashes[std::string(aEngine)];
  bool isNew = crash.m_first == TimePoint{} ||
               aNow - crash.m_first > m_options.m_crashWindow;
  if (isNew) {
    crash = Crash{ .m_first = aNow };
  }
  return crash;
}

std::vector<std::string>
PoisonTracker::FormerSuspects(const std::vector<std::string>& aBatch,
                              const Crash& aCrash,
                              TimePoint aNow) const
{
  std::vector<std::string> suspects;
  for (const std::string& fingerprint : aBatch) {
    bool former = StatusOf(fingerprint, aNow) == PoisonStatus::Suspect &&
                  !Contains(aCrash.m_added, fingerprint);
    if (former && !Contains(suspects, fingerprint)) {
      suspects.push_back(fingerprint);
    }
  }
  return suspects;
}

void
PoisonTracker::Resolve(Crash& aCrash, const std::string& aCause, TimePoint aNow)
{
  Change(aCause, PoisonStatus::Convicted, aNow);
  for (const std::string& fingerprint : aCrash.m_added) {
    if (StatusOf(fingerprint, aNow) == PoisonStatus::Suspect) {
      Change(fingerprint, PoisonStatus::Clear, aNow);
    }
  }
  aCrash.m_added.clear();
  aCrash.m_resolved = true;
}

CrashVerdict
PoisonTracker::OnCrash(std::string_view aEngine,
                       const std::vector<std::string>& aBatch,
                       TimePoint aNow,
                       const BegunTraits& aBegun)
{
  if (UsesEvidence()) {
    return AddEvidence(aEngine, aBatch, aBegun, aNow);
  }
  CrashVerdict verdict;
  Crash& crash = CrashOf(aEngine, aNow);
  if (crash.m_resolved) {
    return verdict;
  }
  std::vector<std::string> former = FormerSuspects(aBatch, crash, aNow);
  if (former.size() == 1) {
    Resolve(crash, former.front(), aNow);
    verdict.m_convicted = former;
    return verdict;
  }
  for (const std::string& fingerprint : aBatch) {
    PoisonStatus status = StatusOf(fingerprint, aNow);
    if (status == PoisonStatus::Convicted) {
      continue;
    }
    Change(fingerprint, PoisonStatus::Suspect, aNow);
    if (status == PoisonStatus::Clear) {
      verdict.m_suspects.push_back(fingerprint);
      crash.m_added.push_back(fingerprint);
    }
  }
  EvictExcess();
  return verdict;
}

void
PoisonTracker::Convict(std::string_view aFingerprint, TimePoint aNow)
{
  Change(aFingerprint, PoisonStatus::Convicted, aNow);
  EvictExcess();
}

void
PoisonTracker::Expire(TimePoint aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aEntry) {
    return aEntry.second.m_expiry <= aNow;
  });
  if (UsesEvidence()) {
    ForgetEvidence(aNow);
    return;
  }
  std::erase_if(m_crashes, [this, aNow](const auto& aCrash) {
    return aNow - aCrash.second.m_first > m_options.m_crashWindow;
  });
}

void
PoisonTracker::EvictExcess()
{
  while (m_entries.size() > m_options.m_maxEntries) {
    auto evicted = std::min_element(
      m_entries.begin(), m_entries.end(), [](const auto& aA, const auto& aB) {
        return std::pair(aA.second.m_status, aA.second.m_changed) <
               std::pair(aB.second.m_status, aB.second.m_changed);
      });
    m_entries.erase(evicted);
  }
}

std::size_t
PoisonTracker::Size() const
{
  return m_entries.size();
}

std::vector<std::string>
PoisonTracker::Convicted(TimePoint aNow) const
{
  std::vector<std::string> convicted;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (StatusOf(fingerprint, aNow) == PoisonStatus::Convicted) {
      convicted.push_back(fingerprint);
    }
  }
  return convicted;
}

std::string
SuspectCoordinator(std::string_view aService,
                   const std::vector<std::string>& aVms)
{
  std::string best;
  std::uint64_t bestScore = 0;
  for (const std::string& vm : aVms) {
    std::uint64_t score = StableHash(std::string(aService) + "\n" + vm);
    bool wins =
      best.empty() || score > bestScore || (score == bestScore && vm < best);
    if (wins) {
      best = vm;
      bestScore = score;
    }
  }
  return best;
}

} // namespace shallotford
