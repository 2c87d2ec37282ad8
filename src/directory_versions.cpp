/// Chooses the software version that runs a stream, and finds it again from the
/// capacities of the versions over the recent past.

#include "config.h"
#include "shallotford/directory.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace shallotford {

namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

/// Returns the position of a version in the weighted rendezvous hash of an id:
/// the lowest one wins. More capacity means a lower position.
double
Position(std::string_view aStreamId,
         const std::string& aVersion,
         double aCapacity)
{
  double unit = UnitOf(StableHash(aVersion, StableHash(aStreamId)));
  // The smallest double stands for 0, which has no logarithm.
  double draw = -std::log(std::max(unit, std::numeric_limits<double>::min()));
  return aCapacity > 0 ? draw / aCapacity : kNever;
}

/// Returns the version that began a stream, or the only one if aStreamId is
/// empty.
std::optional<std::string>
VersionOf(const VersionRanges& aRanges, std::string_view aStreamId)
{
  if (aStreamId.empty() && aRanges.size() != 1) {
    return {};
  }
  return FindVersion(aRanges, aStreamId);
}

VersionRanges
RangesOf(const VersionCapacity& aCapacity)
{
  VersionRanges ranges;
  for (const auto& [version, capacity] : aCapacity) {
    ranges[version] = { .m_least = capacity, .m_most = capacity };
  }
  return ranges;
}

/// The capacities at one time of a history. An upstream whose state before its
/// first known change is uncertain counts with a range.
class VersionReplay
{
public:
  void Set(const std::string& aId, const UpstreamEntry& aEntry)
  {
    double slots = BeginsStreams(aEntry) ? aEntry.m_slots : 0;
    Put(aId, aEntry, { .m_least = slots, .m_most = slots });
  }
  /// The upstream had an entry, but its stage and state aren't known.
  void SetUncertain(const std::string& aId, const UpstreamEntry& aEntry)
  {
    Put(aId,
        aEntry,
        { .m_least = 0, .m_most = static_cast<double>(aEntry.m_slots) });
  }
  void Remove(const std::string& aId)
  {
    auto found = m_upstreams.find(aId);
    if (found != m_upstreams.end()) {
      Add(found->second, -1);
      m_upstreams.erase(found);
    }
  }
  const std::map<std::string, VersionRanges>& Ranges() const
  {
    return m_ranges;
  }
  /// Returns the slots of the largest upstream so far.
  double MaxSlots() const { return m_maxSlots; }

private:
  struct State
  {
    std::string m_service;
    std::string m_version;
    CapacityRange m_slots;
  };

  void Put(const std::string& aId,
           const UpstreamEntry& aEntry,
           const CapacityRange& aSlots)
  {
    Remove(aId);
    m_maxSlots = std::max<double>(m_maxSlots, aEntry.m_slots);
    State state{ .m_service = aEntry.m_service,
                 .m_version = aEntry.m_softwareVersion,
                 .m_slots = aSlots };
    Add(state, 1);
    m_upstreams[aId] = state;
  }

  void Add(const State& aState, double aSign)
  {
    CapacityRange& range = m_ranges[aState.m_service][aState.m_version];
    range.m_least += aSign * aState.m_slots.m_least;
    range.m_most += aSign * aState.m_slots.m_most;
  }

  std::map<std::string, State> m_upstreams;
  std::map<std::string, VersionRanges> m_ranges;
  double m_maxSlots{ 1 };
};

/// Appends the capacities in force at one time. While none of a service's
/// upstreams was published, its last ones held; an unknown one may have been.
void
AppendSpans(VersionSpans& aSpans,
            const std::map<std::string, VersionRanges>& aRanges,
            std::size_t aUnknownUpstreams,
            std::chrono::milliseconds aEndedAgo = {})
{
  for (const auto& [service, ranges] : aRanges) {
    VersionRanges serving;
    for (const auto& [version, range] : ranges) {
      if (range.m_most > 0) {
        serving[version] = range;
      }
    }
    if (!serving.empty() || aUnknownUpstreams > 0) {
      aSpans[service].push_back({ .m_ranges = serving,
                                  .m_unknownUpstreams = aUnknownUpstreams,
                                  .m_endedAgo = aEndedAgo });
    }
  }
}

/// Counts upstreams of unknown services and versions for each version of a
/// service that the history shows, in the spans before they left.
/// @param aSlots  of one unknown upstream, at most
void
AddUnknown(std::vector<VersionSpan>& aSpans, double aSlots)
{
  bool hasUnknown =
    std::any_of(aSpans.begin(), aSpans.end(), [](const VersionSpan& aSpan) {
      return aSpan.m_unknownUpstreams > 0;
    });
  if (!hasUnknown) {
    return;
  }
  std::set<std::string> versions;
  for (const VersionSpan& span : aSpans) {
    for (const auto& [version, range] : span.m_ranges) {
      versions.insert(version);
    }
  }
  if (versions.size() < 2) {
    aSpans.clear(); // another version may have left with them
  }
  for (VersionSpan& span : aSpans) {
    if (span.m_unknownUpstreams == 0) {
      continue;
    }
    for (const std::string& version : versions) {
      span.m_ranges[version].m_most +=
        aSlots * static_cast<double>(span.m_unknownUpstreams);
    }
  }
}

} // namespace

bool
BeginsStreams(const UpstreamEntry& aEntry)
{
  return !aEntry.m_draining && aEntry.m_stage != EngineStage::Prefill;
}

std::optional<std::string>
ChooseVersion(const VersionCapacity& aCapacity, std::string_view aStreamId)
{
  return FindVersion(RangesOf(aCapacity), aStreamId);
}

std::optional<std::string>
FindVersion(const VersionRanges& aRanges, std::string_view aStreamId)
{
  if (aRanges.size() == 1) {
    return aRanges.begin()->first;
  }
  // The version that wins with its least capacity against the most of each
  // other one has won all the time.
  std::optional<std::string> winner;
  double best = kNever;
  for (const auto& [version, range] : aRanges) {
    double position = Position(aStreamId, version, range.m_least);
    if (position < best) {
      best = position;
      winner = version;
    }
  }
  for (const auto& [version, range] : aRanges) {
    if (winner && version != *winner &&
        Position(aStreamId, version, range.m_most) <= best) {
      return {};
    }
  }
  return winner;
}

std::map<std::string, VersionCapacity>
CapacitiesOf(const std::map<std::string, UpstreamEntry>& aEntries)
{
  std::map<std::string, VersionCapacity> capacities;
  for (const auto& [id, entry] : aEntries) {
    if (BeginsStreams(entry)) {
      capacities[entry.m_service][entry.m_softwareVersion] += entry.m_slots;
    }
  }
  return capacities;
}

void
VersionHistory::Record(
  const std::map<std::string, VersionCapacity>& aCapacities,
  TimePoint aNow)
{
  for (const auto& [name, capacity] : aCapacities) {
    auto [found, added] = m_services.try_emplace(name);
    if (added) {
      found->second.m_now = capacity; // no stream began before
    }
    Record(found->second, capacity, aNow);
  }
}

void
VersionHistory::Record(Service& aService,
                       const VersionCapacity& aCapacity,
                       TimePoint aNow)
{
  if (aService.m_now == aCapacity) {
    return;
  }
  aService.m_past.push_back(
    { .m_until = aNow, .m_ranges = RangesOf(aService.m_now) });
  aService.m_now = aCapacity;
}

void
VersionHistory::AddPast(const VersionSpans& aSpans,
                        TimePoint aFrom,
                        TimePoint aNow)
{
  m_knownFrom = std::min(m_knownFrom, aFrom);
  for (auto& [name, service] : m_services) {
    auto found = aSpans.find(name);
    if (found == aSpans.end() || found->second.empty()) {
      service.m_past.push_back({ .m_until = aNow, .m_ranges = {} });
      continue;
    }
    for (const VersionSpan& span : found->second) {
      service.m_past.push_back(
        { .m_until = aNow - span.m_endedAgo, .m_ranges = span.m_ranges });
    }
  }
}

std::optional<std::string>
VersionHistory::Choose(const std::string& aService,
                       std::string_view aStreamId) const
{
  auto found = m_services.find(aService);
  return found == m_services.end()
           ? std::nullopt
           : ChooseVersion(found->second.m_now, aStreamId);
}

std::optional<std::string>
VersionHistory::Find(const std::string& aService,
                     std::string_view aStreamId,
                     TimePoint aSince) const
{
  auto found = m_services.find(aService);
  if (found == m_services.end() || !Knows(aSince) ||
      aSince < found->second.m_forgottenUntil) {
    return {};
  }
  std::optional<std::string> version =
    VersionOf(RangesOf(found->second.m_now), aStreamId);
  for (const Past& past : found->second.m_past) {
    if (past.m_until >= aSince &&
        VersionOf(past.m_ranges, aStreamId) != version) {
      return {};
    }
  }
  return version;
}

void
VersionHistory::Expire(TimePoint aNow)
{
  for (auto& [name, service] : m_services) {
    std::erase_if(
      service.m_past,
      [&, &forgotten = service.m_forgottenUntil](const Past& aPast) {
        bool isOld = aNow - aPast.m_until > kOriginLifetime;
        if (isOld) {
          forgotten = std::max(forgotten, aPast.m_until);
        }
        return isOld;
      });
  }
}

void
StreamWaits::Note(const std::string& aService,
                  std::chrono::milliseconds aWait,
                  TimePoint aNow)
{
  std::deque<Wait>& waits = m_waits[aService];
  while (!waits.empty() && waits.back().m_wait <= aWait) {
    waits.pop_back();
  }
  // Many different waits within a short time count as their longest one.
  if (waits.empty() || aNow - waits.back().m_notedAt > kWaitPrecision) {
    waits.push_back({ .m_notedAt = aNow, .m_wait = aWait });
  }
}

std::chrono::milliseconds
StreamWaits::Longest(const std::string& aService, TimePoint aNow) const
{
  std::chrono::milliseconds longest{ 0 };
  for (const auto& [service, waits] : m_waits) {
    if (!aService.empty() && service != aService) {
      continue;
    }
    for (const Wait& wait : waits) {
      if (aNow - wait.m_notedAt <= kOriginLifetime) {
        longest = std::max(longest, wait.m_wait);
        break;
      }
    }
  }
  return longest;
}

void
StreamWaits::Expire(TimePoint aNow)
{
  for (auto& [service, waits] : m_waits) {
    while (!waits.empty() && aNow - waits.front().m_notedAt > kOriginLifetime) {
      waits.pop_front();
    }
  }
  std::erase_if(m_waits,
                [](const auto& aService) { return aService.second.empty(); });
}

std::optional<VersionSpans>
ReplayVersions(const std::map<std::string, UpstreamEntry>& aEntries,
               const std::vector<UpstreamChange>& aChanges,
               std::optional<std::uint64_t> aStartedAfterMs,
               std::size_t aMissing)
{
  auto isYoung = [&](const UpstreamEntry& aEntry) {
    return aStartedAfterMs && aEntry.m_key.m_startedMs > *aStartedAfterMs;
  };
  std::map<std::string, const UpstreamChange*> first;
  for (const UpstreamChange& change : aChanges) {
    first.try_emplace(change.m_id, &change);
  }
  VersionReplay replay;
  for (const auto& [id, entry] : aEntries) {
    if (first.contains(id)) {
      continue;
    }
    if (isYoung(entry)) {
      return {}; // its creation was discarded early
    }
    replay.Set(id, entry);
  }
  std::set<std::string> unknown; // only their removal is known
  for (const auto& [id, change] : first) {
    if (change->m_created) {
      continue;
    }
    if (!change->m_entry) {
      unknown.insert(id);
      continue;
    }
    if (isYoung(*change->m_entry)) {
      return {}; // nothing tells what ran there before
    }
    replay.SetUncertain(id, *change->m_entry);
  }
  VersionSpans spans;
  AppendSpans(spans, replay.Ranges(), aMissing);
  const VersionSpans atBegin = std::exchange(spans, {});
  for (const UpstreamChange& change : aChanges) {
    AppendSpans(
      spans, replay.Ranges(), unknown.size() + aMissing, change.m_provenAge);
    unknown.erase(change.m_id);
    if (change.m_entry) {
      replay.Set(change.m_id, *change.m_entry);
    } else {
      replay.Remove(change.m_id);
    }
  }
  AppendSpans(spans, replay.Ranges(), aMissing);
  std::erase_if(spans, [&](const auto& aService) {
    return aStartedAfterMs && !atBegin.contains(aService.first);
  });
  for (auto& [service, serviceSpans] : spans) {
    AddUnknown(serviceSpans, replay.MaxSlots());
  }
  return spans;
}

} // namespace shallotford
