/// Tests of the choice of a stream's software version from its id, and of
/// finding that version again.

#define BOOST_TEST_MODULE directory_versions
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/directory.h"

#include <rapidcheck.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };
/// Start time, in milliseconds of Unix time, of upstreams that are old.
constexpr std::uint64_t kOldMs = 1'000;
constexpr std::uint64_t kHistoryBeginsMs = 2'000;
constexpr std::uint64_t kYoungMs = 3'000;

UpstreamEntry
MakeEntry(const std::string& aVersion,
          EngineStage aStage = EngineStage::Decode,
          bool aDraining = false,
          std::uint64_t aStartedMs = kOldMs)
{
  UpstreamEntry entry;
  entry.m_key.m_startedMs = aStartedMs;
  entry.m_service = "s";
  entry.m_slots = 4;
  entry.m_stage = aStage;
  entry.m_draining = aDraining;
  entry.m_softwareVersion = aVersion;
  return entry;
}

std::string
StreamId(int aNumber)
{
  return "stream" + std::to_string(aNumber);
}

/// A fleet of upstreams whose entries change; it keeps every change.
struct Fleet
{
  void Set(const std::string& aId, const UpstreamEntry& aEntry)
  {
    bool created = !m_entries.contains(aId);
    m_entries[aId] = aEntry;
    m_entries[aId].m_key.m_id = aId;
    m_changes.push_back(
      { .m_id = aId, .m_entry = m_entries[aId], .m_created = created });
    m_capacities.push_back(CapacitiesOf(m_entries)["s"]);
  }
  void Remove(const std::string& aId)
  {
    m_entries.erase(aId);
    m_changes.push_back({ .m_id = aId, .m_entry = {}, .m_created = false });
    m_capacities.push_back(CapacitiesOf(m_entries)["s"]);
  }
  /// Returns whether another upstream has the same version as aId.
  bool HasOtherOfVersion(const std::string& aId) const
  {
    return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const auto& aOther) {
        return aOther.first != aId && aOther.second.m_softwareVersion ==
                                        m_entries.at(aId).m_softwareVersion;
      });
  }
  /// Forgets the changes so far, except the newest capacities.
  void Discard()
  {
    m_changes.clear();
    m_capacities = { CapacitiesOf(m_entries)["s"] };
  }

  std::map<std::string, UpstreamEntry> m_entries;
  std::vector<UpstreamChange> m_changes;
  std::vector<VersionCapacity> m_capacities; ///< after each change
};

/// Two upstreams of version v1 and one of v2, whose creation was discarded.
struct OldFleet : Fleet
{
  OldFleet()
  {
    Set("a", MakeEntry("v1"));
    Set("b", MakeEntry("v1"));
    Set("c", MakeEntry("v2"));
    Discard();
  }
};

std::optional<VersionSpans>
Replay(const Fleet& aFleet)
{
  return ReplayVersions(aFleet.m_entries, aFleet.m_changes, kHistoryBeginsMs);
}

/// Counts the streams whose version is found from aSpans, and checks that each
/// one is the version that every VM chose.
int
CountFound(const VersionSpans& aSpans, const Fleet& aFleet)
{
  VersionHistory history;
  history.Record(CapacitiesOf(aFleet.m_entries), kStart);
  history.StartAt(kStart);
  history.AddPast(aSpans, kStart - 20s, kStart);
  constexpr int kStreams = 200;
  int found = 0;
  for (int i = 0; i < kStreams; ++i) {
    std::optional<std::string> version =
      history.Find("s", StreamId(i), kStart - 20s);
    found += version ? 1 : 0;
    for (const VersionCapacity& capacity : aFleet.m_capacities) {
      std::optional<std::string> chosen = ChooseVersion(capacity, StreamId(i));
      bool differs = version && chosen && *chosen != *version;
      RC_ASSERT(!differs);
    }
  }
  return found;
}

} // namespace

BOOST_AUTO_TEST_CASE(versions_get_streams_by_their_capacity)
{
  constexpr int kStreams = 10'000;
  int first = 0;
  for (int i = 0; i < kStreams; ++i) {
    first += ChooseVersion({ { "v1", 9 }, { "v2", 3 } }, StreamId(i)) == "v1";
  }
  BOOST_TEST(first > 0.73 * kStreams);
  BOOST_TEST(first < 0.77 * kStreams);
  BOOST_TEST(!ChooseVersion({}, "x").has_value());
}

BOOST_AUTO_TEST_CASE(new_capacity_takes_streams_only_for_its_own_version)
{
  for (int i = 0; i < 1'000; ++i) {
    auto before = ChooseVersion({ { "v1", 6 }, { "v2", 2 } }, StreamId(i));
    auto after = ChooseVersion({ { "v1", 6 }, { "v2", 3 } }, StreamId(i));
    BOOST_TEST((after == before || after == "v2"));
  }
}

BOOST_AUTO_TEST_CASE(
  a_software_version_that_has_just_left_may_have_begun_a_stream)
{
  VersionHistory history;
  history.Record({ { "s", { { "v1", 4 } } } }, kStart);
  BOOST_TEST(!history.Find("s", "", kStart).has_value());
  history.StartAt(kStart);
  BOOST_TEST(history.Find("s", "", kStart).value_or("") == "v1");
  BOOST_TEST(!history.Find("s", "", kStart - 1s).has_value());

  history.Record({ { "s", { { "v1", 4 }, { "v2", 4 } } } }, kStart + 1s);
  BOOST_TEST(!history.Find("s", "", kStart).has_value());
  history.Record({ { "s", { { "v2", 4 } } } }, kStart + 2s);
  history.Expire(kStart + 2s + kOriginLifetime);
  BOOST_TEST(!history.Find("s", "", kStart + 2s).has_value());
  BOOST_TEST(history.Find("s", "", kStart + 3s).value_or("") == "v2");
  // Entries that were lost don't tell that the upstreams have left.
  history.Record({}, kStart + 4s);
  BOOST_TEST(history.Choose("s", "x").value_or("") == "v2");
  BOOST_TEST(history.Find("s", "", kStart + 3s).value_or("") == "v2");
}

BOOST_AUTO_TEST_CASE(streams_of_steady_versions_are_all_found)
{
  OldFleet fleet;
  auto spans = Replay(fleet);
  BOOST_REQUIRE(spans.has_value());
  BOOST_TEST(CountFound(*spans, fleet) == 200);
}

BOOST_AUTO_TEST_CASE(streams_that_a_release_leaves_in_place_are_found)
{
  OldFleet fleet;
  fleet.Set("d", MakeEntry("v2", EngineStage::Decode, false, kYoungMs));
  fleet.Set("a", MakeEntry("v1", EngineStage::Decode, true));
  fleet.Remove("a");
  auto spans = Replay(fleet);
  BOOST_REQUIRE(spans.has_value());
  int found = CountFound(*spans, fleet);
  // From 2:1 to 1:2: a third of the streams changes places.
  BOOST_TEST(found > 100);
  BOOST_TEST(found < 200);
}

BOOST_AUTO_TEST_CASE(a_history_that_was_discarded_early_tells_nothing)
{
  OldFleet fleet;
  fleet.Set("d", MakeEntry("v2", EngineStage::Decode, false, kYoungMs));
  fleet.Set("a", MakeEntry("v1", EngineStage::Decode, true));
  BOOST_TEST(Replay(fleet).has_value());
  fleet.Discard();
  BOOST_TEST(!Replay(fleet).has_value());
  fleet.Set("d", MakeEntry("v2", EngineStage::Prefill, false, kYoungMs));
  BOOST_TEST(!Replay(fleet).has_value());
}

BOOST_AUTO_TEST_CASE(a_removal_alone_makes_some_streams_uncertain)
{
  OldFleet fleet;
  fleet.Remove("a");
  auto spans = Replay(fleet);
  BOOST_REQUIRE(spans.has_value());
  int found = CountFound(*spans, fleet);
  BOOST_TEST(found > 50);
  BOOST_TEST(found < 150);
}

BOOST_AUTO_TEST_CASE(a_version_may_have_left_with_upstreams_that_are_unknown)
{
  Fleet fleet;
  fleet.Set("a", MakeEntry("v1"));
  fleet.Set("b", MakeEntry("v2"));
  fleet.Discard();
  fleet.Remove("a");
  auto spans = Replay(fleet);
  BOOST_REQUIRE(spans.has_value());
  BOOST_TEST(spans->at("s").empty());

  VersionHistory history;
  history.Record({ { "s", { { "v2", 4 } } } }, kStart);
  history.StartAt(kStart);
  history.AddPast(*spans, kStart - 20s, kStart);
  BOOST_TEST(!history.Find("s", "x", kStart - 1s).has_value());
}

BOOST_AUTO_TEST_CASE(a_history_finds_no_version_for_a_time_it_has_forgotten)
{
  TimePoint begin{};
  VersionHistory history;
  history.Record({ { "s", { { "v1", 8.0 } } } }, begin);
  history.StartAt(TimePoint::min());
  history.Record({ { "s", { { "v2", 8.0 } } } }, begin + 10s);
  TimePoint later = begin + 10s + kOriginLifetime + 1s;
  BOOST_TEST(!history.Find("s", "stream", begin));
  history.Expire(later);
  BOOST_TEST(!history.Find("s", "stream", begin));
  BOOST_TEST(history.Find("s", "stream", begin + 20s).value_or("") == "v2");
}

BOOST_AUTO_TEST_CASE(the_longest_wait_outlasts_shorter_ones)
{
  TimePoint begin{};
  StreamWaits waits;
  BOOST_TEST((waits.Longest("s", begin) == 0ms));
  waits.Note("s", 14s, begin);
  waits.Note("s", 6s, begin + 5s);
  waits.Note("other", 30s, begin + 6s);
  BOOST_TEST((waits.Longest("s", begin + kOriginLifetime) == 14s));
  BOOST_TEST((waits.Longest("s", begin + kOriginLifetime + 1ms) == 6s));
  waits.Expire(begin + 5s + kOriginLifetime + 1ms);
  BOOST_TEST((waits.Longest("s", begin + 7s) == 0ms));
  BOOST_TEST((waits.Longest("other", begin + 7s) == 30s));
  waits.Note("s", 8s, begin + 8s);
  waits.Note("s", 9s, begin + 8s);
  BOOST_TEST((waits.Longest("s", begin + 8s) == 9s));
}

BOOST_AUTO_TEST_CASE(a_version_is_never_found_wrongly)
{
  BOOST_TEST(rc::check("a found version is the one that every VM chose", [] {
    Fleet fleet;
    const auto discarded = *rc::gen::inRange(0, 30);
    const auto changes = *rc::gen::inRange(1, 30);
    for (int i = 0; i < discarded + changes; ++i) {
      if (i == discarded) {
        fleet.Discard();
      }
      std::string id = "u" + std::to_string(*rc::gen::inRange(0, 8));
      int kind = *rc::gen::inRange(0, 5);
      bool known = fleet.m_entries.contains(id);
      if (kind == 0 && known && fleet.HasOtherOfVersion(id)) {
        fleet.Remove(id);
        continue;
      }
      // The version of an incarnation never changes, nor does its draining
      // end.
      UpstreamEntry entry =
        MakeEntry(known ? fleet.m_entries[id].m_softwareVersion
                        : "v" + std::to_string(*rc::gen::inRange(1, 4)),
                  kind == 1 ? EngineStage::Prefill : EngineStage::Decode,
                  kind == 2 || (known && fleet.m_entries[id].m_draining),
                  known            ? fleet.m_entries[id].m_key.m_startedMs
                  : i >= discarded ? kYoungMs
                                   : kOldMs);
      fleet.Set(id, entry);
    }
    auto spans = Replay(fleet);
    if (spans) {
      CountFound(*spans, fleet);
    }
  }));
}
