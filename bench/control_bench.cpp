/// What control costs a VM, and how fast news spread: the real gossip,
/// configuration and reconcile decisions of many VMs in one process, over an
/// in-memory network in virtual time.
///
/// Usage: control_bench [SEED]
/// Prints one line for each size, then slopes, then the verdict. Exits with 1
/// if a bound is broken.

#include "config.h"
#include "control_net.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>

#include <malloc.h>
#include <unistd.h>

using namespace shallotford;
using namespace shallotford::standin;

namespace {

// Bounds, per VM where they are costs.
constexpr double kCoreBound = 4.3;     // per cent
constexpr double kMemoryBound = 128;   // MB
constexpr double kTrafficBound = 2048; // bytes a second
constexpr double kInForceBoundLarge = 16;
constexpr double kInForceBoundSmall = 2;
constexpr double kLeavingBoundSeconds = 3;

// Events of a day at the target size.
constexpr double kConfigChangesPerDay = 400;
constexpr double kListChangesPerDay = 2.0 * (9 + 72); // gone, and replaced
constexpr double kUpstreamsLeavingPerDay = 135;
constexpr double kSecondsPerDay = 86'400;

constexpr std::size_t kListEntryBytes = 62;
constexpr std::uint32_t kServices = 8;
constexpr std::chrono::seconds kSettle{ 90 };
constexpr std::chrono::seconds kSteady{ 60 };
constexpr std::chrono::seconds kMostWait{ 120 };

struct Size
{
  std::uint32_t m_vms{ 9 };
  std::uint32_t m_servers{ 12 };
  std::uint32_t m_engines{ 12 };
  std::uint32_t m_callers{ 4 };
  std::uint32_t m_padding{ 0 }; ///< bytes of unused text
};

struct Figures
{
  double m_corePct{};
  double m_rssMb{};
  double m_bytesIn{};
  double m_bytesOut{};
  double m_steadyBytes{};
  double m_bytesPerChange{};
  double m_cpuMsPerChange{};
  double m_reconcileMs{}; ///< one round of the largest service
  double m_platformCalls{};
  double m_inForce{};
  double m_inForceOutage{};
  double m_leaving{};
  double m_textBytes{};
  bool m_reverted{ false };

  double Bytes() const { return m_bytesIn + m_bytesOut; }
};

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
CpuSeconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double
ResidentMb()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/// Returns the memory in use on the heap, which freed sizes before don't blur.
double
HeapMb()
{
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

std::string
Ip(const char* aNet, std::uint32_t aIndex)
{
  return std::string(aNet) + "." + std::to_string(aIndex / 200) + "." +
         std::to_string(aIndex % 200 + 1);
}

std::string
EngineLine(const Size& aSize, std::uint32_t aEngine)
{
  std::uint32_t server = static_cast<std::uint32_t>(
    std::uint64_t{ aEngine } * aSize.m_servers / aSize.m_engines);
  return "{\"address\":\"" + Ip("10.1", aEngine) + ":7000\",\"server\":\"s" +
         std::to_string(server) +
         "\",\"region\":\"r\",\"failure_domain\":\"d\",\"role\":\"" +
         (aEngine % 4 == 0 ? "prefill" : "decode") + "\"}";
}

std::string
MakeText(const Size& aSize, std::uint64_t aRevision)
{
  // Few engines make one service; many are spread over eight.
  std::uint32_t services = aSize.m_engines >= 8 * kServices ? kServices : 1;
  std::string text = "{\"revision\":" + std::to_string(aRevision) +
                     ",\n\"regions\":[{\"name\":\"r\","
                     "\"failure_domains\":[\"d\"]}],\n\"models\":[";
  for (std::uint32_t i = 0; i < services; ++i) {
    // A change is the version of one model.
    std::uint64_t version = i == aRevision % services ? aRevision : 0;
    text += (i == 0 ? "\n" : ",\n") + ("{\"name\":\"m" + std::to_string(i)) +
            "\",\"version\":\"" + std::to_string(version) + "\"}";
  }
  text += "],\n\"services\":[";
  std::uint32_t each = aSize.m_engines / services;
  for (std::uint32_t i = 0; i < services; ++i) {
    text += (i == 0 ? "\n" : ",\n") + ("{\"name\":\"s" + std::to_string(i)) +
            "\",\"kind\":\"model\",\"model\":\"m" + std::to_string(i) +
            "\",\"engines\":[";
    for (std::uint32_t j = 0; j < each; ++j) {
      text += (j == 0 ? "\n" : ",\n") + EngineLine(aSize, i * each + j);
    }
    text += "]}";
  }
  text += "],\n\"callers\":[";
  for (std::uint32_t i = 0; i < aSize.m_callers; ++i) {
    text += (i == 0 ? "\n" : ",\n") + ("{\"name\":\"c" + std::to_string(i)) +
            "\",\"key_salt\":\"00112233\",\"key_hash\":\"" +
            Fingerprint(std::to_string(i)) + Fingerprint("x") + "\"}";
  }
  return text + "],\n\"padding\":\"" + std::string(aSize.m_padding, 'x') +
         "\"}\n";
}

/// One fleet under measurement.
class Bench
{
public:
  /// @param aProcessMb  resident memory of a process that does nothing yet
  Bench(const Size& aSize, std::uint64_t aSeed, double aProcessMb)
    : m_size(aSize)
    , m_processMb(aProcessMb)
    , m_net(aSeed)
    , m_random(MakeSeededRandom(aSeed))
  {
  }

  Figures Run()
  {
    double before = HeapMb();
    Boot();
    MeasureSteady();
    MeasureChanges();
    m_figures.m_rssMb = m_processMb + PerVm(HeapMb() - before);
    MeasureLeaving();
    MeasureOutage();
    MeasureReconcile();
    AddDay();
    for (auto& vm : m_net.Vms()) {
      m_figures.m_reverted = m_figures.m_reverted || vm->m_reverted;
    }
    return m_figures;
  }

private:
  struct Counters
  {
    double m_in{};
    double m_out{};
    double m_calls{};
    double m_cpu{};
  };

  std::size_t UpstreamListBytes() const
  {
    return kListEntryBytes * m_size.m_engines;
  }

  Counters Read()
  {
    Counters counters;
    for (auto& vm : m_net.Vms()) {
      counters.m_in += static_cast<double>(vm->m_bytesIn);
      counters.m_out += static_cast<double>(vm->m_bytesOut);
      counters.m_calls += static_cast<double>(vm->m_platformCalls);
    }
    counters.m_cpu = CpuSeconds();
    return counters;
  }

  double PerVm(double aSum) const { return aSum / m_size.m_vms; }

  void Boot()
  {
    for (std::uint32_t i = 0; i < m_size.m_vms; ++i) {
      m_net.AddVm(Ip("10.0", i) + ":8081");
    }
    m_net.ListAll(UpstreamListBytes());
    std::string text = MakeText(m_size, m_revision);
    m_figures.m_textBytes = static_cast<double>(text.size());
    m_net.Publish(text);
    m_net.RunFor(kSettle);
    SetDemand();
    m_net.RunFor(kSettle);
  }

  void SetDemand()
  {
    for (auto& vm : m_net.Vms()) {
      for (std::uint32_t i = 0; i < m_size.m_callers; ++i) {
        vm->m_membership->Averages().SetOwn(
          "caller c" + std::to_string(i),
          static_cast<double>(m_random->Below(5'000)));
      }
      vm->m_membership->SetDigest(std::string(kMaxDigestBytes / 2, 'q'));
    }
  }

  void MeasureSteady()
  {
    Counters before = Read();
    for (int i = 0; i < kSteady / std::chrono::seconds{ 10 }; ++i) {
      SetDemand();
      m_net.RunFor(std::chrono::seconds{ 10 });
    }
    Counters after = Read();
    double time = Seconds(kSteady);
    m_figures.m_bytesIn = PerVm(after.m_in - before.m_in) / time;
    m_figures.m_bytesOut = PerVm(after.m_out - before.m_out) / time;
    m_figures.m_steadyBytes = m_figures.Bytes();
    m_figures.m_platformCalls = (after.m_calls - before.m_calls) / time;
    m_figures.m_corePct = 100 * PerVm(after.m_cpu - before.m_cpu) / time;
  }

  /// Publishes the next text. @returns the time until it is in force
  double Change()
  {
    m_net.Publish(MakeText(m_size, ++m_revision));
    auto time =
      m_net.RunUntil([&] { return m_net.AllAt(m_revision); }, kMostWait);
    return Seconds(time.value_or(kMostWait));
  }

  void MeasureChanges()
  {
    constexpr int kChanges = 3;
    constexpr std::chrono::seconds kApart{ 20 };
    Counters before = Read();
    for (int i = 0; i < kChanges; ++i) {
      m_figures.m_inForce = std::max(m_figures.m_inForce, Change());
      m_net.RunFor(kApart);
    }
    Counters after = Read();
    double time = kChanges * Seconds(kApart);
    double bytes = PerVm(after.m_in - before.m_in + after.m_out - before.m_out);
    double cpu = PerVm(after.m_cpu - before.m_cpu);
    m_figures.m_bytesPerChange =
      std::max(0.0, bytes - time * m_figures.m_steadyBytes) / kChanges;
    double steadyCpu = time * m_figures.m_corePct / 100;
    m_figures.m_cpuMsPerChange =
      std::max(0.0, cpu - steadyCpu) / kChanges * 1'000;
  }

  void MeasureLeaving()
  {
    Counters before = Read();
    constexpr std::uint64_t kTimes = 3;
    for (std::uint64_t i = 1; i <= kTimes; ++i) {
      std::string upstream =
        Ip("10.1", static_cast<std::uint32_t>(i)) + ":7000";
      ControlVm& first = m_net.Vm(i * 2);
      first.m_leaving.OnAnswer(
        upstream, true, WallTime{ std::chrono::seconds{ i } });
      first.m_membership->Spread(kRumorLeaving,
                                 upstream,
                                 i * 1'000,
                                 "1",
                                 kMaxRumorLifetime,
                                 m_net.Now());
      ControlVm& leaver = m_net.Vm(i * 2 + 1);
      leaver.m_membership->SetLeaving();
      auto stopped = [&] { return AllStopped(upstream, leaver.m_address); };
      auto time = m_net.RunUntil(stopped, kMostWait);
      m_figures.m_leaving =
        std::max(m_figures.m_leaving, Seconds(time.value_or(kMostWait)));
      m_net.RunFor(std::chrono::seconds{ 20 });
    }
    Counters after = Read();
    double time = kTimes * 20;
    double bytes = PerVm(after.m_in - before.m_in + after.m_out - before.m_out);
    m_bytesPerLeaving =
      std::max(0.0, bytes - time * m_figures.m_steadyBytes) / kTimes;
  }

  bool AllStopped(const std::string& aUpstream, const std::string& aVm)
  {
    for (auto& vm : m_net.Vms()) {
      if (!vm->m_leaving.IsLeaving(aUpstream)) {
        return false;
      }
      for (const MemberView& member : vm->m_membership->Members(m_net.Now())) {
        if (member.m_address == aVm && !member.m_leaving) {
          return false;
        }
      }
    }
    return true;
  }

  /// The platform is down for all but one VM.
  void MeasureOutage()
  {
    ControlVm& lucky = m_net.Vm(m_size.m_vms / 2);
    for (auto& vm : m_net.Vms()) {
      vm->m_platform.m_up = &*vm == &lucky;
    }
    m_net.RunFor(kSettle);
    m_figures.m_inForceOutage = Change();
  }

  /// One round of the owner of the largest service.
  void MeasureReconcile()
  {
    FleetPtr fleet = m_net.Vm(0).m_keeper.Current();
    const ServiceEntry& service = fleet->m_services.front();
    ReconcileInput input{ .m_fleet = fleet,
                          .m_service = service.m_name,
                          .m_readbacks = {},
                          .m_load = {} };
    for (const EngineEntry& entry : service.m_engines) {
      input.m_readbacks[entry.m_address] =
        EngineReadback{ .m_readAt = m_net.Now(),
                        .m_role = entry.m_role,
                        .m_model = service.m_model,
                        .m_version = "old" };
    }
    Reconciler owner(m_net.Now());
    constexpr int kRounds = 50;
    double before = CpuSeconds();
    std::size_t orders = 0;
    for (int i = 0; i < kRounds; ++i) {
      orders += owner.Step(m_net.Now(), input).m_orders.size();
    }
    m_figures.m_reconcileMs = (CpuSeconds() - before) / kRounds * 1'000;
    if (orders == 0) {
      std::puts("no orders were given");
      std::exit(1);
    }
  }

  /// Adds a day's events to the steady costs, and a round of orders a second.
  void AddDay()
  {
    double changes = kConfigChangesPerDay / kSecondsPerDay;
    double leaving =
      (kUpstreamsLeavingPerDay + kListChangesPerDay) / kSecondsPerDay;
    // The list goes from few VMs to all as a difference, like a change; those
    // few fetch all of it.
    double watchers =
      std::min(1.0, static_cast<double>(kPlatformWatchers) / m_size.m_vms);
    double listBytes =
      static_cast<double>(UpstreamListBytes() + kListEntryBytes * m_size.m_vms);
    m_figures.m_bytesIn +=
      changes * m_figures.m_bytesPerChange / 2 +
      leaving * m_bytesPerLeaving / 2 +
      kListChangesPerDay / kSecondsPerDay *
        (m_figures.m_bytesPerChange / 2 + watchers * listBytes);
    m_figures.m_bytesOut +=
      changes * m_figures.m_bytesPerChange / 2 +
      leaving * m_bytesPerLeaving / 2 +
      kListChangesPerDay / kSecondsPerDay * m_figures.m_bytesPerChange / 2;
    m_figures.m_corePct += 100 * changes * m_figures.m_cpuMsPerChange / 1'000 +
                           100 * m_figures.m_reconcileMs / 1'000;
  }

  Size m_size;
  double m_processMb;
  ControlNet m_net;
  std::unique_ptr<RandomI> m_random;
  std::uint64_t m_revision{ 1 };
  double m_bytesPerLeaving{};
  Figures m_figures;
};

Figures
Measure(const Size& aSize, std::uint64_t aSeed)
{
  static const double sProcessMb = ResidentMb();
  Figures figures = Bench(aSize, aSeed, sProcessMb).Run();
  std::printf("size vms=%u servers=%u accelerators=%u callers=%u "
              "text_bytes=%.0f | core_pct=%.3f rss_mb=%.1f bytes_per_s=%.0f "
              "(in=%.0f out=%.0f steady=%.0f) change_bytes=%.0f "
              "change_cpu_ms=%.2f reconcile_ms=%.2f platform_calls_per_s=%.2f "
              "in_force_s=%.1f in_force_outage_s=%.1f leaving_s=%.1f "
              "reverted=%d\n",
              aSize.m_vms,
              aSize.m_servers,
              aSize.m_engines,
              aSize.m_callers,
              figures.m_textBytes,
              figures.m_corePct,
              figures.m_rssMb,
              figures.Bytes(),
              figures.m_bytesIn,
              figures.m_bytesOut,
              figures.m_steadyBytes,
              figures.m_bytesPerChange,
              figures.m_cpuMsPerChange,
              figures.m_reconcileMs,
              figures.m_platformCalls,
              figures.m_inForce,
              figures.m_inForceOutage,
              figures.m_leaving,
              figures.m_reverted ? 1 : 0);
  std::fflush(stdout);
  return figures;
}

void
PrintSlope(const char* aPer,
           double aFrom,
           double aTo,
           const Figures& aSmall,
           const Figures& aLarge)
{
  double steps = aTo - aFrom;
  std::printf("slope per=%s from=%.0f to=%.0f core_pct=%.6f rss_mb=%.5f "
              "bytes_per_s=%.4f change_cpu_ms=%.5f\n",
              aPer,
              aFrom,
              aTo,
              (aLarge.m_corePct - aSmall.m_corePct) / steps,
              (aLarge.m_rssMb - aSmall.m_rssMb) / steps,
              (aLarge.Bytes() - aSmall.Bytes()) / steps,
              (aLarge.m_cpuMsPerChange - aSmall.m_cpuMsPerChange) / steps);
}

bool
Keeps(const char* aWhat, double aValue, double aBound)
{
  bool kept = aValue <= aBound;
  std::printf("bound %s=%.2f of %.2f %s\n",
              aWhat,
              aValue,
              aBound,
              kept ? "kept" : "BROKEN");
  return kept;
}

} // namespace

int
main(int argc, char** argv)
{
  std::uint64_t seed =
    argc > 1 ? std::strtoull(argv[1], nullptr, 10) : std::uint64_t{ 1 };
  Figures small = Measure({}, seed);
  Measure({ .m_vms = 45 }, seed);
  Measure({ .m_vms = 180 }, seed);
  Figures vms = Measure({ .m_vms = 360 }, seed);
  Figures servers = Measure({ .m_servers = 600, .m_engines = 600 }, seed);
  Figures engines = Measure({ .m_servers = 600, .m_engines = 4'800 }, seed);
  Figures callers = Measure({ .m_callers = 460 }, seed);
  Figures text = Measure({ .m_padding = 700'000 }, seed);
  Figures full = Measure(
    { .m_vms = 360, .m_servers = 600, .m_engines = 4'800, .m_callers = 460 },
    seed);
  PrintSlope("vm", 9, 360, small, vms);
  PrintSlope("server", 12, 600, small, servers);
  PrintSlope("accelerator", 600, 4'800, servers, engines);
  PrintSlope("caller", 4, 460, small, callers);
  PrintSlope("text_byte", small.m_textBytes, text.m_textBytes, small, text);
  std::printf("platform calls_per_s vms=9: %.2f vms=360: %.2f of 2000\n",
              small.m_platformCalls,
              full.m_platformCalls);
  double inForce = std::max(full.m_inForce, full.m_inForceOutage);
  bool kept = Keeps("in_force_s_9_vms",
                    std::max(small.m_inForce, small.m_inForceOutage),
                    kInForceBoundSmall);
  kept = Keeps("in_force_s_360_vms", inForce, kInForceBoundLarge) && kept;
  kept = Keeps("leaving_stop_s", full.m_leaving, kLeavingBoundSeconds) && kept;
  kept = Keeps("core_pct", full.m_corePct, kCoreBound) && kept;
  kept = Keeps("rss_mb", full.m_rssMb, kMemoryBound) && kept;
  kept = Keeps("bytes_per_s", full.Bytes(), kTrafficBound) && kept;
  kept = !small.m_reverted && !full.m_reverted && kept;
  std::printf("control: vms=360 servers=600 core_pct=%.2f rss_mb=%.1f "
              "bytes_per_s=%.0f config_in_force_s=%.1f leaving_stop_s=%.1f\n",
              full.m_corePct,
              full.m_rssMb,
              full.Bytes(),
              inForce,
              full.m_leaving);
  return kept ? 0 : 1;
}
