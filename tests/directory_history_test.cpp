/// Tests of how far back a history reaches for certain, and of what the
/// published items add to it.

#define BOOST_TEST_MODULE directory_history
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/directory.h"

#include <rapidcheck.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kHeartbeat = 1'000ms;
constexpr std::uint64_t kBeatMs = kHeartbeat.count();
constexpr std::uint64_t kReadAtMs = 100'000;
constexpr HistoryClock kClock{ .m_readAtMs = kReadAtMs,
                               .m_heartbeat = kHeartbeat };
const TimePoint kStart{ 1'000s };

UpstreamEntry
MakeEntry(const std::string& aId,
          std::uint64_t aStartedMs,
          std::uint64_t aSequence,
          const std::string& aVersion = "v1")
{
  UpstreamEntry entry;
  entry.m_key = { .m_id = aId, .m_startedMs = aStartedMs };
  entry.m_service = "s";
  entry.m_slots = 4;
  entry.m_stage = EngineStage::Decode;
  entry.m_softwareVersion = aVersion;
  entry.m_sequence = aSequence;
  return entry;
}

UpstreamChange
MakeChange(std::uint64_t aStartedMs, std::uint64_t aSequence, bool aCreated)
{
  return { .m_id = "a",
           .m_entry = MakeEntry("a", aStartedMs, aSequence),
           .m_created = aCreated };
}

/// Returns the age of a time at the end of the history.
std::chrono::milliseconds
Age(std::uint64_t aTimeMs)
{
  return std::chrono::milliseconds(kReadAtMs - aTimeMs);
}

/// A directory whose upstreams start, report, change their state and leave. It
/// discards its history at any time.
struct World
{
  struct Record
  {
    std::uint64_t m_atMs;
    UpstreamChange m_change;
  };

  /// Returns the number of the report that an upstream sends now.
  std::uint64_t Sequence(const UpstreamEntry& aEntry) const
  {
    return 1 + (m_nowMs - aEntry.m_key.m_startedMs) / kBeatMs;
  }

  void Publish(const std::string& aId, UpstreamEntry aEntry)
  {
    bool created = !m_entries.contains(aId);
    aEntry.m_sequence = Sequence(aEntry);
    m_entries[aId] = aEntry;
    m_revisions[aId] = ++m_revision;
    m_created[aId] = created;
    m_history.push_back(
      { m_nowMs, { .m_id = aId, .m_entry = aEntry, .m_created = created } });
  }

  void Remove(const std::string& aId)
  {
    m_entries.erase(aId);
    m_revisions.erase(aId);
    ++m_revision;
    m_history.push_back({ m_nowMs, { .m_id = aId, .m_entry = {} } });
  }

  std::vector<UpstreamChange> Changes() const
  {
    std::vector<UpstreamChange> changes;
    for (const Record& record : m_history) {
      changes.push_back(record.m_change);
    }
    return changes;
  }

  std::uint64_t m_nowMs{ 1'000 };
  std::uint64_t m_revision{ 1 };
  std::map<std::string, UpstreamEntry> m_entries;
  std::map<std::string, std::uint64_t> m_revisions;
  std::map<std::string, bool> m_created;
  std::vector<Record> m_history;
};

/// Advances a world by a random change.
void
Step(World& aWorld)
{
  aWorld.m_nowMs += *rc::gen::inRange(0, 4'000);
  std::string id = "u" + std::to_string(*rc::gen::inRange(0, 6));
  auto found = aWorld.m_entries.find(id);
  if (found == aWorld.m_entries.end()) {
    std::string version = "v" + std::to_string(*rc::gen::inRange(1, 3));
    aWorld.Publish(id, MakeEntry(id, aWorld.m_nowMs, 0, version));
  } else if (*rc::gen::inRange(0, 2) == 0) {
    aWorld.Remove(id);
  } else {
    UpstreamEntry entry = found->second;
    entry.m_draining = entry.m_draining || *rc::gen::inRange(0, 2) == 0;
    aWorld.Publish(id, entry);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_first_report_shows_the_age_of_a_change)
{
  UpstreamChange change = MakeChange(80'000, 1, true);
  BOOST_TEST((ProvenAge(change, kClock) == Age(81'100) - kMaxClockError));
  change = MakeChange(80'000, 10, false);
  BOOST_TEST((ProvenAge(change, kClock) == Age(91'000) - kMaxClockError));
}

BOOST_AUTO_TEST_CASE(reports_that_may_be_missing_show_no_age)
{
  BOOST_TEST((ProvenAge(MakeChange(80'000, 10, true), kClock) == 0ms));
  BOOST_TEST((ProvenAge(MakeChange(0, 1, true), kClock) == 0ms));
  BOOST_TEST((ProvenAge(MakeChange(80'000, 0, true), kClock) == 0ms));
  UpstreamChange removal{ .m_id = "a", .m_entry = {} };
  BOOST_TEST((ProvenAge(removal, kClock) == 0ms));

  // The first change is younger than the second one claims to be.
  std::vector<UpstreamChange> changes{ MakeChange(95'000, 1, true),
                                       MakeChange(60'000, 1, true) };
  DateChanges(changes, kClock);
  BOOST_TEST((changes[1].m_provenAge == 0ms));
  BOOST_TEST((changes[0].m_provenAge == Age(96'100) - kMaxClockError));
}

/// A history that was discarded early counted as one of the usual length.
BOOST_AUTO_TEST_CASE(a_history_without_dated_changes_reaches_back_to_nothing)
{
  std::map<std::string, UpstreamEntry> entries{ { "a",
                                                  MakeEntry("a", 1'000, 0) } };
  BOOST_TEST((ProvenReach(entries, {}, kReadAtMs) == 0ms));
  std::vector<UpstreamChange> changes{ { .m_id = "b", .m_entry = {} } };
  DateChanges(changes, kClock);
  BOOST_TEST((ProvenReach(entries, changes, kReadAtMs) == 0ms));
}

BOOST_AUTO_TEST_CASE(an_upstream_whose_creation_is_missing_started_before)
{
  std::vector<UpstreamChange> changes{ MakeChange(50'000, 1, true) };
  DateChanges(changes, kClock);
  std::map<std::string, UpstreamEntry> entries{
    { "a", *changes[0].m_entry }, { "b", MakeEntry("b", 90'000, 1) }
  };
  BOOST_TEST(
    (ProvenReach(entries, changes, kReadAtMs) == Age(90'000) - kMaxClockError));
}

BOOST_AUTO_TEST_CASE(published_items_extend_a_history)
{
  std::map<std::string, DirectoryItem> items;
  for (std::uint64_t revision : { 3, 6, 7, 9 }) {
    std::string key = "k" + std::to_string(revision);
    items[key] = { .m_key = key, .m_revision = revision };
  }
  auto never = [](const DirectoryItem&) { return false; };
  DirectoryHistory history{ .m_changes = { { .m_key = "k9", .m_revision = 8 } },
                            .m_after = 7 };
  DirectoryHistory complete = history;
  ExtendHistory(complete, items, 0, never);
  BOOST_TEST(complete.m_changes.size() == 3U);
  BOOST_TEST(complete.m_changes[0].m_revision == 6U);
  BOOST_TEST(complete.m_after == 5U);
  BOOST_TEST(complete.m_missing == 0U);

  ExtendHistory(complete, items, 2, never);
  BOOST_TEST(complete.m_changes[0].m_revision == 3U);
  BOOST_TEST(complete.m_missing == 2U);

  ExtendHistory(history, items, 2, [](const DirectoryItem&) { return true; });
  BOOST_TEST(history.m_changes.size() == 2U);
  BOOST_TEST(history.m_after == 6U);
}

BOOST_AUTO_TEST_CASE(a_history_never_reaches_back_farther_than_it_is_kept)
{
  BOOST_TEST(rc::check("the proven reach is no longer than the real one", [] {
    World world;
    const auto discarded = *rc::gen::inRange(0, 25);
    const auto kept = *rc::gen::inRange(1, 25);
    for (int i = 0; i < discarded; ++i) {
      Step(world);
    }
    world.m_history.clear();
    std::uint64_t keptSince = world.m_nowMs;
    for (int i = 0; i < kept; ++i) {
      Step(world);
    }
    world.m_nowMs += *rc::gen::inRange(0, 4'000);
    std::vector<UpstreamChange> changes = world.Changes();
    DateChanges(changes,
                { .m_readAtMs = world.m_nowMs, .m_heartbeat = kHeartbeat });
    for (std::size_t i = 0; i < changes.size(); ++i) {
      std::chrono::milliseconds age(world.m_nowMs - world.m_history[i].m_atMs);
      RC_ASSERT(changes[i].m_provenAge <= age);
    }
    std::chrono::milliseconds real(world.m_nowMs - keptSince);
    RC_ASSERT(ProvenReach(world.m_entries, changes, world.m_nowMs) <= real);
  }));
}

BOOST_AUTO_TEST_CASE(a_dated_history_never_gives_a_wrong_version)
{
  BOOST_TEST(rc::check("a found version is the one that was chosen", [] {
    World world;
    const auto discarded = *rc::gen::inRange(0, 15);
    const auto kept = *rc::gen::inRange(1, 25);
    std::vector<std::pair<std::uint64_t, VersionCapacity>> chosenFrom;
    for (int i = 0; i < discarded + kept; ++i) {
      if (i == discarded) {
        world.m_history.clear();
      }
      Step(world);
      chosenFrom.emplace_back(world.m_nowMs,
                              CapacitiesOf(world.m_entries)["s"]);
    }
    std::vector<UpstreamChange> changes = world.Changes();
    DateChanges(changes,
                { .m_readAtMs = world.m_nowMs, .m_heartbeat = kHeartbeat });
    auto reach = ProvenReach(world.m_entries, changes, world.m_nowMs);
    auto spans =
      ReplayVersions(world.m_entries,
                     changes,
                     world.m_nowMs - static_cast<std::uint64_t>(reach.count()));
    if (!spans || reach == 0ms) {
      return;
    }
    VersionHistory history;
    history.Record(CapacitiesOf(world.m_entries), kStart);
    history.StartAt(kStart);
    history.AddPast(*spans, kStart - reach, kStart);
    for (const auto& [fromMs, capacity] : chosenFrom) {
      std::chrono::milliseconds age(world.m_nowMs - fromMs);
      if (age > reach) {
        continue;
      }
      for (int i = 0; i < 20; ++i) {
        std::string id = "stream" + std::to_string(i);
        auto found = history.Find("s", id, kStart - age);
        auto chosen = ChooseVersion(capacity, id);
        bool differs = found && chosen && *found != *chosen;
        RC_ASSERT(!differs);
      }
    }
  }));
}
