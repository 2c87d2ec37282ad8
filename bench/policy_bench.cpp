/// Compares placement policies in virtual time: the same arrivals for all.
/// Usage: policy_bench OUTPUT_DIRECTORY PLOT_DIRECTORY SEED

#include "policy_report.h"
#include "policy_simulation.h"

#include <atomic>
#include <cstdio>
#include <thread>

namespace shallotford::bench {

namespace {

constexpr double kPeakShare = 0.95;   ///< of the requests meet their targets
constexpr double kRecoveryLoad = 0.8; ///< times the peak
constexpr std::size_t kThreads = 5;
const std::vector<double> kLoads{ 0.5, 0.75, 1.0, 1.25, 1.5, 2.0 };

struct User
{
  std::string m_name;
  PlacementWeights m_weights;
};
/// The weights of the fleet texts in examples/.
const std::vector<User> kUsers{
  { "noces-liaison", { 4.0, 1.0, 1.0 } },
  { "ridersamverkan", { 1.0, 4.0, 4.0 } },
};

/// Runs simulations on a few threads; results keep the order of the options.
std::vector<SimulationResult>
RunAll(const std::vector<SimulationOptions>& aOptions)
{
  std::vector<SimulationResult> results(aOptions.size());
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kThreads, aOptions.size()); ++i)
    threads.emplace_back([&] {
      for (std::size_t at = next++; at < aOptions.size(); at = next++)
        results[at] = Simulation(aOptions[at]).Run();
    });
  for (std::thread& thread : threads)
    thread.join();
  return results;
}

SimulationOptions
Options(const Policy& aPolicy,
        double aRequestsPerSecond,
        const User& aUser,
        std::uint64_t aSeed)
{
  SimulationOptions options;
  options.m_policy = aPolicy;
  options.m_workload.m_requestsPerSecond = aRequestsPerSecond;
  options.m_workload.m_seed = aSeed;
  options.m_cluster.m_weights = aUser.m_weights;
  return options;
}

const Policy kOracle{ .m_name = "oracle",
                      .m_placer = "joint",
                      .m_oracle = true };
const Policy kOurs{ .m_name = "joint", .m_placer = "joint" };
const Policy kNaive{ .m_name = "naive",
                     .m_placer = "naive",
                     .m_claim = ClaimPolicy::PrefillFirst,
                     .m_admission = false,
                     .m_capped = true };

const std::vector<Policy>&
WeighedPolicies()
{
  static const std::vector<Policy> sPolicies{
    { .m_name = "naive, no cap",
      .m_placer = "naive",
      .m_claim = ClaimPolicy::PrefillFirst,
      .m_admission = false },
    { .m_name = "joint, prefill first",
      .m_placer = "joint",
      .m_claim = ClaimPolicy::PrefillFirst },
    { .m_name = "joint, claim first",
      .m_placer = "joint",
      .m_claim = ClaimPolicy::ClaimFirst },
    { .m_name = "two choices", .m_placer = "joint_two_choices" },
    { .m_name = "no affinity", .m_placer = "joint_no_affinity" },
    { .m_name = "hints and hash", .m_placer = "joint_hints_and_hash" },
    { .m_name = "hash only", .m_placer = "joint_hash_only" },
    { .m_name = "reports only", .m_placer = "joint_reports_only" },
    { .m_name = "strict best", .m_placer = "joint_strict_best" },
    { .m_name = "never refuse", .m_placer = "joint_never_refuse" },
  };
  return sPolicies;
}

/// Finds the peak: the greatest load, to 2.5 %, at which the oracle lets 95 in
/// 100 requests meet both targets.
double
FindPeak(std::uint64_t aSeed)
{
  double from = 20;
  double to = 160;
  while (to / from > 1.025) {
    std::vector<double> loads;
    std::vector<SimulationOptions> options;
    for (std::size_t i = 1; i <= kThreads; ++i) {
      loads.push_back(from * std::pow(to / from, double(i) / (kThreads + 1)));
      options.push_back(Options(kOracle, loads.back(), kUsers[0], aSeed));
    }
    const auto results = RunAll(options);
    double above = to;
    for (std::size_t i = loads.size(); i > 0; --i) {
      if (results[i - 1].GoodShare() >= kPeakShare) {
        from = loads[i - 1];
        break;
      }
      above = loads[i - 1];
    }
    to = above;
  }
  return from;
}

std::vector<Row>
RunSweep(double aPeak, std::uint64_t aSeed)
{
  std::vector<Row> rows;
  std::vector<SimulationOptions> options;
  for (const User& user : kUsers)
    for (const Policy& policy : { kNaive, kOurs, kOracle })
      for (const double load : kLoads) {
        rows.push_back({ policy.m_name, user.m_name, load, {} });
        options.push_back(Options(policy, load * aPeak, user, aSeed));
      }
  for (const User& user : kUsers)
    for (const Policy& policy : WeighedPolicies()) {
      rows.push_back({ policy.m_name, user.m_name, 1.0, {} });
      options.push_back(Options(policy, aPeak, user, aSeed));
    }
  const auto results = RunAll(options);
  for (std::size_t i = 0; i < rows.size(); ++i)
    rows[i].m_result = results[i];
  return rows;
}

/// Gain of prefix hints against their age, at the peak.
std::vector<HintRow>
RunHintAges(double aPeak, std::uint64_t aSeed)
{
  std::vector<HintRow> rows;
  std::vector<SimulationOptions> options;
  for (const auto delay :
       { 0ms, 300ms, 1'000ms, 3'000ms, 10'000ms, 30'000ms }) {
    rows.push_back({ delay, {} });
    options.push_back(Options(kOurs, aPeak, kUsers[0], aSeed));
    options.back().m_cluster.m_cacheEventDelay = delay;
  }
  const auto results = RunAll(options);
  for (std::size_t i = 0; i < rows.size(); ++i)
    rows[i].m_result = results[i];
  return rows;
}

std::set<std::uint32_t>
EnginesWhere(const SimulationOptions& aOptions,
             const std::function<bool(const Cluster::Engine&)>& aWhere)
{
  EventQueue queue(Workload::kStart);
  Cluster cluster(queue, aOptions.m_cluster);
  std::set<std::uint32_t> engines;
  for (std::uint32_t i = 0; i < cluster.Engines().size(); ++i)
    if (aWhere(cluster.Engines()[i]))
      engines.insert(i);
  return engines;
}

/// Engines that are lost together.
std::set<std::uint32_t>
LostEngines(const std::string& aLost, const SimulationOptions& aOptions)
{
  if (aLost == "prefill engine")
    return { 0 };
  if (aLost == "decode engine")
    return { aOptions.m_cluster.m_prefillsPerRegion };
  if (aLost == "failure domain")
    return EnginesWhere(aOptions, [](const Cluster::Engine& aEngine) {
      return aEngine.m_domain == 0;
    });
  return EnginesWhere(aOptions, [](const Cluster::Engine& aEngine) {
    return aEngine.m_region == 0;
  });
}

/// Loses an engine, a failure domain and a region from 40 s to 55 s, at a load
/// that leaves some room.
std::vector<RecoveryRow>
RunRecovery(double aPeak, std::uint64_t aSeed)
{
  const std::vector<std::string> kinds{
    "prefill engine", "decode engine", "failure domain", "region"
  };
  SimulationOptions run =
    Options(kOurs, kRecoveryLoad * aPeak, kUsers[0], aSeed);
  run.m_workload.m_time = 100s;
  std::vector<SimulationOptions> options{ run };
  for (const std::string& lost : kinds) {
    run.m_outage = Outage{ 40s, 55s, LostEngines(lost, run) };
    options.push_back(run);
  }
  const auto results = RunAll(options);
  std::vector<RecoveryRow> rows;
  for (std::size_t i = 0; i < kinds.size(); ++i)
    rows.push_back({ .m_lost = kinds[i],
                     .m_from = 40,
                     .m_until = 55,
                     .m_result = results[i + 1],
                     .m_unharmed = results[0] });
  return rows;
}

/// Nanoseconds of one decision among aEngines engines, a third of them prefill.
double
DecisionTime(std::uint32_t aEngines)
{
  EventQueue queue(Workload::kStart);
  ClusterOptions options;
  options.m_prefillsPerRegion = aEngines / 9;
  options.m_decodesPerRegion = aEngines / 3 - aEngines / 9;
  Cluster cluster(queue, options);
  EngineTable table;
  table.SetFleet(queue.Now(), cluster.Fleet());
  const auto placer = MakePlacer("joint");
  const auto random = MakeSeededRandom(1);
  const std::vector<Arrival> arrivals = Workload({ .m_time = 30s }).Draw();
  constexpr int kRounds = 4;
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round)
    for (const Arrival& arrival : arrivals) {
      PlacementRequest request;
      request.m_service = &cluster.Service();
      request.m_model = &cluster.Model();
      request.m_promptTokens = arrival.m_promptTokens;
      request.m_maxOutputTokens = arrival.m_maxOutputTokens;
      request.m_prefixes = arrival.m_prefixKeys;
      request.m_receivedAt = queue.Now();
      request.m_mustRun = true;
      const auto result = placer->Place(queue.Now(), request, table, *random);
      const WorkId work =
        table.OnPlaced(queue.Now(), request, std::get<Placement>(result));
      table.OnPrefilled(queue.Now(), work, 0);
      table.OnEnded(queue.Now(), work);
    }
  const auto took = std::chrono::steady_clock::now() - began;
  return std::chrono::duration<double, std::nano>(took).count() /
         double(kRounds * arrivals.size());
}

void
Run(const std::string& aOutput, const std::string& aPlots, std::uint64_t aSeed)
{
  Report report;
  report.m_seed = aSeed;
  report.m_peak = FindPeak(aSeed);
  report.m_rows = RunSweep(report.m_peak, aSeed);
  report.m_hints = RunHintAges(report.m_peak, aSeed);
  report.m_recovery = RunRecovery(report.m_peak, aSeed);
  for (const std::uint32_t engines : { 96u, 960u, 4'800u })
    report.m_decisions.push_back({ engines, DecisionTime(engines) });
  PrintTables(report);
  WriteFile(aOutput + "/policy.json", WriteJson(ToJson(report)) + "\n");
  for (const User& user : kUsers)
    WriteFile(aPlots + "/policy-" + user.m_name + ".svg",
              PlotSvg(report, user.m_name));
  PrintLastLine(report);
}

} // namespace

} // namespace shallotford::bench

int
main(int argc, char** argv)
{
  if (argc != 4) {
    std::fprintf(
      stderr, "usage: %s OUTPUT_DIRECTORY PLOT_DIRECTORY SEED\n", argv[0]);
    return 2;
  }
  try {
    shallotford::bench::Run(argv[1], argv[2], std::stoull(argv[3]));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "policy_bench: %s\n", error.what());
    return 1;
  }
  return 0;
}
