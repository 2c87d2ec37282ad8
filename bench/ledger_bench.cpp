/// Cost of the ledger library's decisions: nanoseconds a decision, and bytes
/// held per live request, used ticket, pending cancel and suspect.
/// Usage: ledger_bench

#include "shallotford/ledger.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>

using namespace shallotford;
using namespace shallotford::ledger_event;
using namespace std::chrono_literals;

namespace {

constexpr int kRequests = 20'000;
constexpr std::uint64_t kTokens = 100;
constexpr const char* kTokenText = "token ";
const TimePoint kStart{ 1000s };

/// Returns the bytes of heap in use, with the allocator's own.
std::size_t
HeapInUse()
{
  return mallinfo2().uordblks;
}

void
Report(const char* aName, double aValue, const char* aUnit)
{
  std::printf("ledger: %s=%.0f %s\n", aName, aValue, aUnit);
}

/// Prints the time of each of aCount calls of aStep.
void
MeasureTime(const char* aName,
            int aCount,
            const std::function<void(int)>& aStep)
{
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < aCount; ++i) {
    aStep(i);
  }
  Duration spent = std::chrono::steady_clock::now() - begin;
  Report(aName, static_cast<double>(spent.count()) / aCount, "ns");
}

/// Prints the memory that each of aCount calls of aStep leaves held.
void
MeasureMemory(const char* aName,
              int aCount,
              const std::function<void(int)>& aStep)
{
  std::size_t before = HeapInUse();
  for (int i = 0; i < aCount; ++i) {
    aStep(i);
  }
  std::size_t held = HeapInUse() - before;
  Report(aName, static_cast<double>(held) / aCount, "bytes");
}

RequestSpec
Draft()
{
  return { .m_service = "drafts",
           .m_caller = "noces-liaison",
           .m_fingerprint = Fingerprint("a prompt"),
           .m_deadline = kStart + 60s };
}

/// Brings a request to its decode engine.
void
StartDecoding(Ledger& aLedger, const RequestId& aId)
{
  aLedger.Apply(aId, Admitted{}, kStart);
  aLedger.Apply(aId, Placed{ 1, "10.0.1.1:9000", "10.0.2.1:9000" }, kStart);
  aLedger.Apply(aId, MemoryReserved{ 1 }, kStart);
  aLedger.Apply(aId, Sent{ 1, "10.0.1.1:9000" }, kStart);
  aLedger.Apply(aId, PrefillDone{ 1 }, kStart);
  aLedger.Apply(aId, TransferDone{ 1 }, kStart);
}

void
MeasureLedger(RandomI& aRandom)
{
  RetryPolicy retries({}, aRandom);
  Ledger ledger({ .m_vm = { "10.0.0.1:7001", 1 } }, retries);
  std::vector<RequestId> ids;
  ids.reserve(kRequests);
  MeasureMemory("live_request", kRequests, [&](int) {
    ids.push_back(ledger.Open(Draft(), kStart));
    StartDecoding(ledger, ids.back());
  });
  MeasureTime("token", kRequests * static_cast<int>(kTokens), [&](int aStep) {
    const RequestId& id = ids[static_cast<std::size_t>(aStep) % kRequests];
    auto position = static_cast<std::uint64_t>(aStep) / kRequests;
    ledger.Apply(id, Token{ 1, position, kTokenText }, kStart);
  });
  MeasureTime("owns", kRequests, [&](int aStep) {
    ledger.Owns({ ids[static_cast<std::size_t>(aStep)], 1 });
  });
  MeasureTime("finish", kRequests, [&](int aStep) {
    ledger.Apply(ids[static_cast<std::size_t>(aStep)],
                 Finished{ 1, kTokens, "stop" },
                 kStart);
  });
  MeasureTime("request_without_tokens", kRequests, [&](int) {
    RequestId id = ledger.Open(Draft(), kStart);
    StartDecoding(ledger, id);
    ledger.Apply(id, Finished{ 1, 0, "stop" }, kStart);
  });
}

void
MeasureTickets()
{
  TicketRegistry office(
    { .m_vm = { "10.0.0.1:7001", 1 }, .m_maxUsed = kRequests },
    MakeTicketKey(),
    kStart);
  std::vector<std::string> tickets;
  tickets.reserve(kRequests);
  MeasureTime("ticket_issue", kRequests, [&](int) {
    tickets.push_back(office.Issue("noces-liaison", kStart));
  });
  auto callOf = [&](int aStep) {
    return TicketCall{ .m_ticket = tickets[static_cast<std::size_t>(aStep)],
                       .m_caller = "noces-liaison",
                       .m_fingerprint = "0123456789abcdef0123456789abcdef" };
  };
  std::size_t before = HeapInUse();
  std::vector<TicketRef> refs;
  refs.reserve(kRequests);
  std::size_t own = HeapInUse() - before;
  MeasureTime("ticket_run", kRequests, [&](int aStep) {
    refs.push_back(office.Decide(callOf(aStep), {}, kStart).m_ticket);
  });
  Report("used_ticket",
         static_cast<double>(HeapInUse() - before - own) / kRequests,
         "bytes");
  for (const TicketRef& ref : refs) {
    office.OnAnswered(ref, { 201, "application/json", "{\"hold\":1}" }, kStart);
  }
  MeasureTime("ticket_replay", kRequests, [&](int aStep) {
    office.Decide(callOf(aStep), {}, kStart);
  });
  TicketRegistry other(
    { .m_vm = { "10.0.0.2:7001", 2 } }, MakeTicketKey(), kStart);
  TicketPeers peers{ .m_listed = { "10.0.0.1:7001" }, .m_successions = {} };
  MeasureTime("ticket_forward", kRequests, [&](int aStep) {
    other.Decide(callOf(aStep), peers, kStart);
  });
}

void
MeasureResume()
{
  ResumeToken token{ .m_engine = "10.0.2.1:9000",
                     .m_stream = { { { "10.0.0.1:7001", 1 }, 7 }, 1 },
                     .m_entry = { "10.0.0.1:7001", 1 },
                     .m_service = "drafts",
                     .m_prompt = Fingerprint("a prompt") };
  std::string prefix = ResumePrefix(token);
  std::string text;
  MeasureTime("event_id", kRequests, [&](int aStep) {
    text = prefix + std::to_string(aStep);
  });
  MeasureTime("resume_parse", kRequests, [&](int) { ParseResumeToken(text); });
}

void
MeasurePoison()
{
  PoisonTracker tracker({});
  std::vector<std::string> batch;
  batch.reserve(4'000);
  for (int i = 0; i < 4'000; ++i) {
    batch.push_back(Fingerprint(std::to_string(i)));
  }
  MeasureMemory("suspect", 4'000, [&](int aStep) {
    tracker.OnCrash("e" + std::to_string(aStep),
                    { batch[static_cast<std::size_t>(aStep)] },
                    kStart);
  });
  std::string clear = Fingerprint("clear");
  MeasureTime("place_clear_among_4000", kRequests, [&](int) {
    tracker.MayPlace(clear, "e1", kStart);
  });
  MeasureTime("place_suspect_among_4000", 1'000, [&](int) {
    tracker.MayPlace(batch[7], "e1", kStart);
  });
}

void
MeasureSweep()
{
  constexpr std::size_t kStreams = 40;
  constexpr std::size_t kVms = 360;
  std::vector<SweepMember> members;
  members.reserve(kVms);
  for (std::size_t i = 0; i < kVms; ++i) {
    members.push_back({ .m_vm = { "10.0.0.1:" + std::to_string(i), 1 } });
  }
  std::vector<HeldStream> streams;
  streams.reserve(kStreams);
  for (std::size_t i = 0; i < kStreams; ++i) {
    AttemptId id{ { members[i * 9].m_vm, i }, 1 };
    streams.push_back({ .m_stream = id, .m_attached = i % 4 != 0 });
  }
  Sweeper sweeper({ .m_engine = "10.0.2.1:9000" });
  TimePoint now = kStart;
  MeasureTime("sweep_of_40_streams_360_vms", 2'000, [&](int) {
    sweeper.Decide(streams, members, now);
    now += 500ms;
  });
  CancelQueue queue({ .m_maxPerUpstream = kRequests });
  MeasureMemory("pending_cancel", kRequests, [&](int aStep) {
    auto sequence = static_cast<std::uint64_t>(aStep);
    queue.Add("10.0.2.1:9000", { { members[0].m_vm, sequence }, 1 }, kStart);
  });
  MeasureTime("cancel_due", kRequests, [&](int) { queue.Due(kStart, 1); });
}

} // namespace

int
main()
{
  auto random = MakeSeededRandom(1);
  MeasureLedger(*random);
  MeasureTickets();
  MeasureResume();
  MeasurePoison();
  MeasureSweep();
  return EXIT_SUCCESS;
}
