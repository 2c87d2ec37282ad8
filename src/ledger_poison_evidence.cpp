/// Convicts the traits that crashes share.

#include "ledger_poison_key.h"
#include "shallotford/ledger/poison.h"

#include <algorithm>

namespace shallotford {

namespace {

/// What a crash shows of a trait.
enum class CrashKind
{
  Early,    ///< a run with it had not begun
  Starting, ///< runs of the whole request were starting
  Late,     ///< the runs with it had begun
};

/// One crash of a trait.
struct CrashOfTrait
{
  std::size_t m_index{ 0 };
  CrashKind m_kind{ CrashKind::Early };

  bool operator==(const CrashOfTrait&) const = default;
};

/// In the order of their indices.
using CrashesOfTrait = std::vector<CrashOfTrait>;
using CrashesOfTraits = std::map<std::string_view, CrashesOfTrait>;

/// Weighs crashes of both kinds against one bar.
class Scale
{
public:
  Scale(const PoisonOptions& aOptions, std::vector<std::size_t> aMoments)
    : m_weight(aOptions.m_convictingLateCrashes)
    , m_lateWeight(aOptions.m_convictingCrashes)
    , m_moments(std::move(aMoments))
  {
  }

  std::size_t WeightOf(const CrashesOfTrait& aCrashes) const
  {
    std::size_t weight = 0;
    std::map<std::size_t, std::size_t> ofMoments;
    for (const CrashOfTrait& crash : aCrashes) {
      bool isLate = crash.m_kind == CrashKind::Late;
      std::size_t ofCrash = isLate ? m_lateWeight : m_weight;
      if (crash.m_kind == CrashKind::Early) {
        weight += ofCrash;
      } else {
        std::size_t& ofMoment = ofMoments[m_moments[crash.m_index]];
        ofMoment = std::max(ofMoment, ofCrash);
      }
    }
    for (const auto& [moment, ofMoment] : ofMoments) {
      weight += ofMoment;
    }
    return weight;
  }
  bool Convicts(const CrashesOfTrait& aCrashes) const
  {
    // Most traits have one crash, so their weight needn't be found.
    std::size_t least = std::min(m_weight, m_lateWeight);
    return aCrashes.size() >= least &&
           WeightOf(aCrashes) >= m_weight * m_lateWeight;
  }

private:
  std::size_t m_weight;     ///< of a crash
  std::size_t m_lateWeight; ///< of a moment of late crashes
  std::vector<std::size_t> m_moments;
};

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
        const CrashesOfTrait& aExplained,
        const Scale& aScale)
{
  std::set<std::size_t> explained;
  for (const CrashOfTrait& crash : aExplained) {
    explained.insert(crash.m_index);
  }
  for (auto& [trait, crashes] : aTraits) {
    std::erase_if(crashes, [&explained](const CrashOfTrait& aCrash) {
      return explained.contains(aCrash.m_index);
    });
  }
  std::erase_if(aTraits, [&aScale](const auto& aTrait) {
    return !aScale.Convicts(aTrait.second);
  });
}

} // namespace

std::chrono::milliseconds
PoisonTracker::OldestRun(std::string_view aFingerprint, TimePoint aNow) const
{
  auto found = m_sound.find(aFingerprint);
  bool isKnown = found != m_sound.end() &&
                 aNow - found->second.m_at < m_options.m_suspectLifetime;
  return isKnown ? found->second.m_age : std::chrono::milliseconds(-1);
}

bool
PoisonTracker::IsSound(std::string_view aFingerprint, TimePoint aNow) const
{
  return OldestRun(aFingerprint, aNow) == kWhole;
}

void
PoisonTracker::RememberSound(std::string_view aFingerprint,
                             std::chrono::milliseconds aAge,
                             TimePoint aNow)
{
  Soundness soundness{ .m_at = aNow, .m_age = aAge };
  auto [found, isNew] = m_sound.emplace(aFingerprint, soundness);
  if (!isNew) {
    m_soundByAge.erase({ found->second.m_at, found->first });
    found->second = soundness;
  }
  m_soundByAge.emplace(aNow, found->first);
  while (m_sound.size() > m_options.m_maxSound) {
    m_sound.erase(m_soundByAge.begin()->second);
    m_soundByAge.erase(m_soundByAge.begin());
  }
}

bool
PoisonTracker::Outlives(std::chrono::milliseconds aAge,
                        std::chrono::milliseconds aCrashAge) const
{
  return aAge - m_options.m_minSurvival >= aCrashAge;
}

bool
PoisonTracker::IsRefuted(std::string_view aFingerprint,
                         std::chrono::milliseconds aCrashAge,
                         TimePoint aNow,
                         CrashVerdict& aVerdict) const
{
  std::chrono::milliseconds oldest = OldestRun(aFingerprint, aNow);
  if (oldest == kWhole) {
    aVerdict.m_sound.emplace_back(aFingerprint);
    return true;
  }
  if (Outlives(oldest, aCrashAge)) {
    aVerdict.m_outlived.emplace(aFingerprint, oldest);
    return true;
  }
  return false;
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
      return IsIn(aCrash.second.m_added, aFingerprint) ||
             aCrash.second.m_begun.contains(aFingerprint);
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
  return ConvictedFor(aFingerprints, aNow) > Duration::zero();
}

Duration
PoisonTracker::ConvictedFor(const std::vector<std::string>& aFingerprints,
                            TimePoint aNow) const
{
  auto has = [&aFingerprints](std::string_view aMember) {
    return std::find(aFingerprints.begin(), aFingerprints.end(), aMember) !=
           aFingerprints.end();
  };
  TimePoint until = aNow;
  for (const auto& [key, entry] : m_entries) {
    if (entry.m_status != PoisonStatus::Convicted || entry.m_expiry <= until) {
      continue;
    }
    std::vector<std::string_view> members = MembersOf(key);
    if (std::all_of(members.begin(), members.end(), has)) {
      bool isWhole = HasMember(key, aFingerprints.front());
      until = std::max(until,
                       isWhole ? entry.m_expiry
                               : std::min(entry.m_expiry, entry.m_lapse));
    }
  }
  return until - aNow;
}

CrashVerdict
PoisonTracker::AddEvidence(std::string_view aEngine,
                           const std::vector<std::string>& aBatch,
                           const BegunTraits& aBegun,
                           TimePoint aNow)
{
  CrashVerdict verdict;
  std::vector<std::string> batch;
  for (const std::string& fingerprint :
       std::set<std::string>(aBatch.begin(), aBatch.end())) {
    if (!IsRefuted(fingerprint, {}, aNow, verdict)) {
      batch.push_back(fingerprint);
    }
  }
  BegunTraits begun;
  for (const auto& [fingerprint, trait] : aBegun) {
    if (!IsRefuted(fingerprint, trait.m_age, aNow, verdict)) {
      begun.emplace(fingerprint, trait);
    }
  }
  if (batch.empty() && begun.empty()) {
    return verdict;
  }
  ForgetEvidence(aNow, HasCrashed(aEngine) ? 0 : 1);
  Crash& crash = m_crashes[std::string(aEngine)];
  if (crash.m_first == TimePoint{}) {
    crash.m_first = aNow;
  }
  AddTraits(crash, batch, begun);
  verdict.m_convicted = Reassess(aNow);
  return verdict;
}

void
PoisonTracker::AddTraits(Crash& aCrash,
                         const std::vector<std::string>& aBatch,
                         const BegunTraits& aBegun) const
{
  std::vector<std::string>& named = aCrash.m_added;
  auto hasRoom = [&] {
    return named.size() + aCrash.m_begun.size() < m_options.m_maxBatch;
  };
  for (const std::string& fingerprint : aBatch) {
    aCrash.m_begun.erase(fingerprint);
    auto place = std::lower_bound(named.begin(), named.end(), fingerprint);
    bool isNew = place == named.end() || *place != fingerprint;
    if (isNew && hasRoom()) {
      named.insert(place, fingerprint);
    }
  }
  for (const auto& [fingerprint, trait] : aBegun) {
    auto found = aCrash.m_begun.find(fingerprint);
    if (found != aCrash.m_begun.end()) {
      BegunTrait& known = found->second;
      known.m_age = std::max(known.m_age, trait.m_age);
    } else if (!IsIn(named, fingerprint) && hasRoom()) {
      aCrash.m_begun.emplace(fingerprint, trait);
    }
  }
}

bool
PoisonTracker::OnRunGoesOn(std::string_view aFingerprint,
                           std::chrono::milliseconds aAge,
                           TimePoint aNow)
{
  if (!UsesEvidence() || OldestRun(aFingerprint, aNow) >= aAge) {
    return false;
  }
  bool isNamed = IsNamed(aFingerprint);
  RememberSound(aFingerprint, aAge, aNow);
  ForgetEvidence(aNow);
  if (Refute(aFingerprint, aAge)) {
    Reassess(aNow);
  }
  return isNamed;
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
  RememberSound(aFingerprint, kWhole, aNow);
  ForgetEvidence(aNow);
  bool named = Refute(aFingerprint, kWhole);
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

bool
PoisonTracker::Refute(std::string_view aFingerprint,
                      std::chrono::milliseconds aAge)
{
  bool isRefuted = false;
  for (auto& [engine, crash] : m_crashes) {
    if (Outlives(aAge, {})) {
      isRefuted = std::erase(crash.m_added, aFingerprint) > 0 || isRefuted;
    }
    auto found = crash.m_begun.find(aFingerprint);
    if (found != crash.m_begun.end() && Outlives(aAge, found->second.m_age)) {
      crash.m_begun.erase(found);
      isRefuted = true;
    }
  }
  std::erase_if(m_crashes, [](const auto& aCrash) {
    return aCrash.second.m_added.empty() && aCrash.second.m_begun.empty();
  });
  return isRefuted;
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

std::vector<std::size_t>
PoisonTracker::Moments() const
{
  std::vector<std::pair<TimePoint, std::size_t>> byTime;
  for (const auto& [engine, crash] : m_crashes) {
    byTime.emplace_back(crash.m_first, byTime.size());
  }
  std::sort(byTime.begin(), byTime.end());
  std::vector<std::size_t> moments(byTime.size());
  std::size_t moment = 0;
  TimePoint begins{};
  for (const auto& [time, index] : byTime) {
    if (time - begins > m_options.m_crashMoment) {
      ++moment;
      begins = time;
    }
    moments[index] = moment;
  }
  return moments;
}

PoisonTracker::Support
PoisonTracker::Assess() const
{
  CrashesOfTraits traits;
  std::size_t index = 0;
  for (const auto& [engine, crash] : m_crashes) {
    for (const std::string& fingerprint : crash.m_added) {
      traits[fingerprint].push_back({ .m_index = index });
    }
    for (const auto& [fingerprint, trait] : crash.m_begun) {
      bool isStarting = trait.m_isWhole && trait.m_age < m_options.m_runStart;
      traits[fingerprint].push_back(
        { .m_index = index,
          .m_kind = isStarting ? CrashKind::Starting : CrashKind::Late });
    }
    ++index;
  }
  const Scale scale(m_options, Moments());
  Support support;
  Explain(traits, {}, scale);
  while (!traits.empty()) {
    auto worst = std::max_element(
      traits.begin(), traits.end(), [&scale](const auto& aA, const auto& aB) {
        return scale.WeightOf(aA.second) < scale.WeightOf(aB.second);
      });
    const CrashesOfTrait crashes = worst->second;
    std::string key;
    std::size_t members = 0;
    for (const auto& [trait, ofTrait] : traits) {
      if (ofTrait == crashes && members < m_options.m_maxJoint) {
        key += key.empty() ? "" : std::string(1, kJoint);
        key += trait;
        ++members;
      }
    }
    CrashesOfTrait early = crashes;
    std::erase_if(early, [](const CrashOfTrait& aCrash) {
      return aCrash.m_kind == CrashKind::Late;
    });
    support[key] = { .m_weight = scale.WeightOf(crashes),
                     .m_needsLate = !scale.Convicts(early) };
    Explain(traits, crashes, scale);
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

void
PoisonTracker::ConvictBy(const Evidence& aEvidence,
                         const std::string& aKey,
                         TimePoint aNow)
{
  Entry& entry = Change(aKey, PoisonStatus::Convicted, aNow);
  if (!aEvidence.m_needsLate) {
    entry.m_lapse = TimePoint::max();
    return;
  }
  if (entry.m_lapse <= aNow) {
    entry.m_lapses = std::min(entry.m_lapses + 1, kMaxConvictionLapses);
  }
  entry.m_lapse =
    aNow + m_options.m_lateConvictLifetime * (1 << entry.m_lapses);
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
  for (const auto& [key, evidence] : former) {
    bool withdrawn = !m_support.contains(key) &&
                     StatusOf(key, aNow) == PoisonStatus::Convicted;
    if (withdrawn) {
      Change(key, PoisonStatus::Clear, aNow);
    }
  }
  for (const auto& [key, evidence] : m_support) {
    // Without new crashes, another VM's withdrawal stays in force: it may know
    // of an engine that answered.
    auto known = former.find(key);
    if (known != former.end() && known->second.m_weight >= evidence.m_weight) {
      continue;
    }
    if (StatusOf(key, aNow) != PoisonStatus::Convicted) {
      convicted.push_back(key);
    }
    ConvictBy(evidence, key, aNow);
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
