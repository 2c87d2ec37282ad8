/// Convicts the traits that crashes share.

#include "ledger_poison_key.h"
#include "shallotford/ledger/poison.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Crashes of each trait, as ascending indices.
using CrashesOfTraits = std::map<std::string_view, std::vector<std::size_t>>;

bool
IsIn(const std::vector<std::string>& aSorted, std::string_view aName)
{
  return std::binary_search(aSorted.begin(), aSorted.end(), aName);
}

bool
HasMember(std::string_view aKey, std::string_view aFingerprint)
{
  std::vector<std::string_view> members = MembersOf(aKey);
  return std::find(members.begin(), members.end(), aFingerprint) !=
         members.end();
}

/// Leaves out aExplained, and then the traits with too few crashes.
void
Explain(CrashesOfTraits& aTraits,
        const std::vector<std::size_t>& aExplained,
        std::size_t aLeast)
{
  for (auto& [trait, crashes] : aTraits) {
    std::erase_if(crashes, [&aExplained](std::size_t aCrash) {
      return std::binary_search(aExplained.begin(), aExplained.end(), aCrash);
    });
  }
  std::erase_if(aTraits, [aLeast](const auto& aTrait) {
    return aTrait.second.size() < aLeast;
  });
}

} // namespace

bool
PoisonTracker::IsSound(std::string_view aFingerprint, TimePoint aNow) const
{
  auto found = m_sound.find(aFingerprint);
  return found != m_sound.end() &&
         aNow - found->second < m_options.m_suspectLifetime;
}

void
PoisonTracker::RememberSound(std::string_view aFingerprint, TimePoint aNow)
{
  auto [found, isNew] = m_sound.emplace(aFingerprint, aNow);
  if (!isNew) {
    m_soundByAge.erase({ found->second, found->first });
    found->second = aNow;
  }
  m_soundByAge.emplace(aNow, found->first);
  while (m_sound.size() > m_options.m_maxSound) {
    m_sound.erase(m_soundByAge.begin()->second);
    m_soundByAge.erase(m_soundByAge.begin());
  }
}

bool
PoisonTracker::HasCrashed(std::string_view aEngine) const
{
  return m_crashes.find(aEngine) != m_crashes.end();
}

bool
PoisonTracker::IsNamed(std::string_view aFingerprint) const
{
  bool inCrash = std::any_of(
    m_crashes.begin(), m_crashes.end(), [aFingerprint](const auto& aCrash) {
      return IsIn(aCrash.second.m_added, aFingerprint);
    });
  return inCrash || std::any_of(m_entries.begin(),
                                m_entries.end(),
                                [aFingerprint](const auto& aEntry) {
                                  return aEntry.second.m_status ==
                                           PoisonStatus::Convicted &&
                                         HasMember(aEntry.first, aFingerprint);
                                });
}

bool
PoisonTracker::IsConvicted(const std::vector<std::string>& aFingerprints,
                           TimePoint aNow) const
{
  auto has = [&aFingerprints](std::string_view aMember) {
    return std::find(aFingerprints.begin(), aFingerprints.end(), aMember) !=
           aFingerprints.end();
  };
  return std::any_of(
    m_entries.begin(), m_entries.end(), [aNow, &has](const auto& aEntry) {
      const auto& [key, entry] = aEntry;
      if (entry.m_status != PoisonStatus::Convicted || entry.m_expiry <= aNow) {
        return false;
      }
      std::vector<std::string_view> members = MembersOf(key);
      return std::all_of(members.begin(), members.end(), has);
    });
}

CrashVerdict
PoisonTracker::AddEvidence(std::string_view aEngine,
                           const std::vector<std::string>& aBatch,
                           TimePoint aNow)
{
  CrashVerdict verdict;
  std::vector<std::string> batch;
  for (const std::string& fingerprint :
       std::set<std::string>(aBatch.begin(), aBatch.end())) {
    (IsSound(fingerprint, aNow) ? verdict.m_sound : batch)
      .push_back(fingerprint);
  }
  if (batch.empty()) {
    return verdict;
  }
  ForgetEvidence(aNow, HasCrashed(aEngine) ? 0 : 1);
  Crash& crash = m_crashes[std::string(aEngine)];
  if (crash.m_first == TimePoint{}) {
    crash.m_first = aNow;
  }
  std::vector<std::string>& named = crash.m_added;
  for (const std::string& fingerprint : batch) {
    auto place = std::lower_bound(named.begin(), named.end(), fingerprint);
    bool isNew = place == named.end() || *place != fingerprint;
    if (isNew && named.size() < m_options.m_maxBatch) {
      named.insert(place, fingerprint);
    }
  }
  verdict.m_convicted = Reassess(aNow);
  return verdict;
}

void
PoisonTracker::OnEngineAlive(std::string_view aEngine, TimePoint aNow)
{
  if (!UsesEvidence()) {
    return;
  }
  ForgetEvidence(aNow);
  auto found = m_crashes.find(aEngine);
  if (found != m_crashes.end()) {
    m_crashes.erase(found);
    Reassess(aNow);
  }
}

void
PoisonTracker::ClearTrait(std::string_view aFingerprint, TimePoint aNow)
{
  RememberSound(aFingerprint, aNow);
  ForgetEvidence(aNow);
  bool named = false;
  for (auto& [engine, crash] : m_crashes) {
    named = std::erase(crash.m_added, aFingerprint) > 0 || named;
  }
  std::erase_if(m_crashes, [](const auto& aCrash) {
    return aCrash.second.m_added.empty();
  });
  std::vector<std::string> withdrawn;
  for (const std::string& key : Convicted(aNow)) {
    if (HasMember(key, aFingerprint)) {
      withdrawn.push_back(key);
    }
  }
  for (const std::string& key : withdrawn) {
    Change(key, PoisonStatus::Clear, aNow);
  }
  if (named) {
    Reassess(aNow);
  }
}

void
PoisonTracker::ForgetEvidence(TimePoint aNow, std::size_t aRoom)
{
  while (!m_soundByAge.empty() &&
         aNow - m_soundByAge.begin()->first >= m_options.m_suspectLifetime) {
    m_sound.erase(m_soundByAge.begin()->second);
    m_soundByAge.erase(m_soundByAge.begin());
  }
  std::size_t forgotten = std::erase_if(m_crashes, [&](const auto& aCrash) {
    return aNow - aCrash.second.m_first >= m_options.m_suspectLifetime;
  });
  for (; m_crashes.size() + aRoom > m_options.m_maxCrashes; ++forgotten) {
    m_crashes.erase(std::min_element(
      m_crashes.begin(), m_crashes.end(), [](const auto& aA, const auto& aB) {
        return aA.second.m_first < aB.second.m_first;
      }));
  }
  if (forgotten > 0) {
    m_support = Assess();
  }
}

PoisonTracker::Support
PoisonTracker::Assess() const
{
  CrashesOfTraits traits;
  std::size_t index = 0;
  for (const auto& [engine, crash] : m_crashes) {
    for (const std::string& fingerprint : crash.m_added) {
      traits[fingerprint].push_back(index);
    }
    ++index;
  }
  Support support;
  Explain(traits, {}, m_options.m_convictingCrashes);
  while (!traits.empty()) {
    auto worst = std::max_element(
      traits.begin(), traits.end(), [](const auto& aA, const auto& aB) {
        return aA.second.size() < aB.second.size();
      });
    const std::vector<std::size_t> crashes = worst->second;
    std::string key;
    std::size_t members = 0;
    for (const auto& [trait, ofTrait] : traits) {
      if (ofTrait == crashes && members < m_options.m_maxJoint) {
        key += key.empty() ? "" : std::string(1, kJoint);
        key += trait;
        ++members;
      }
    }
    support[key] = crashes.size();
    Explain(traits, crashes, m_options.m_convictingCrashes);
  }
  return support;
}

void
PoisonTracker::EndReports(TimePoint aNow)
{
  m_isCollecting = false;
  if (std::exchange(m_isUnweighed, false)) {
    Reassess(aNow);
  }
}

std::vector<std::string>
PoisonTracker::Reassess(TimePoint aNow)
{
  if (m_isCollecting) {
    m_isUnweighed = true;
    return {};
  }
  Support former = std::move(m_support);
  m_support = Assess();
  std::vector<std::string> convicted;
  for (const auto& [key, crashes] : former) {
    bool withdrawn = !m_support.contains(key) &&
                     StatusOf(key, aNow) == PoisonStatus::Convicted;
    if (withdrawn) {
      Change(key, PoisonStatus::Clear, aNow);
    }
  }
  for (const auto& [key, crashes] : m_support) {
    // Without new crashes, another VM's withdrawal stays in force: it may know
    // of an engine that answered.
    auto known = former.find(key);
    if (known != former.end() && known->second >= crashes) {
      continue;
    }
    if (StatusOf(key, aNow) != PoisonStatus::Convicted) {
      convicted.push_back(key);
    }
    Change(key, PoisonStatus::Convicted, aNow);
  }
  EvictExcess();
  return convicted;
}

void
PoisonTracker::MergeEvidence(const std::string& aKey,
                             const Entry& aRemote,
                             TimePoint aNow)
{
  if (aRemote.m_status == PoisonStatus::Suspect) {
    return;
  }
  Entry& local = m_entries.try_emplace(aKey, aRemote).first->second;
  if (std::pair(aRemote.m_version, aRemote.m_status) >
      std::pair(local.m_version, local.m_status)) {
    local = aRemote;
  }
  std::vector<std::string_view> members = MembersOf(aKey);
  bool refuted = local.m_status == PoisonStatus::Convicted &&
                 std::any_of(members.begin(),
                             members.end(),
                             [this, aNow](std::string_view aMember) {
                               return IsSound(aMember, aNow);
                             });
  if (refuted) {
    Change(aKey, PoisonStatus::Clear, aNow);
  }
}

} // namespace shallotford
