#ifndef SHALLOTFORD_BENCH_POLICY_REPORT_H
#define SHALLOTFORD_BENCH_POLICY_REPORT_H

/// Tables, JSON and plots of the policy bench.

#include "policy_simulation.h"

#include <cstdio>
#include <fstream>

namespace shallotford::bench {

struct Row
{
  std::string m_policy;
  std::string m_user;
  double m_load{}; ///< times the peak
  SimulationResult m_result;
};

struct HintRow
{
  std::chrono::milliseconds m_delay{};
  SimulationResult m_result;
};

/// Goodput around a loss, against a run of the same arrivals without it.
struct RecoveryRow
{
  std::string m_lost;
  std::size_t m_from{};  ///< seconds
  std::size_t m_until{}; ///< seconds
  SimulationResult m_result;
  SimulationResult m_unharmed;

  static constexpr std::size_t kWindow = 5; ///< seconds

  /// Seconds of arrival that the trace covers.
  std::size_t Seconds() const { return m_result.m_goodBySecond.size() - 1; }
  /// Goodput in a window from aSecond on, as a share of the unharmed run's.
  double Kept(std::size_t aSecond) const
  {
    double harmed = 0;
    double unharmed = 0;
    for (std::size_t i = aSecond; i < aSecond + kWindow; ++i) {
      harmed += m_result.m_goodBySecond[i];
      unharmed += m_unharmed.m_goodBySecond[i];
    }
    return unharmed > 0 ? harmed / unharmed : 1.0;
  }
  double Lowest() const
  {
    double lowest = 1;
    for (std::size_t i = m_from; i + kWindow <= Seconds(); ++i)
      lowest = std::min(lowest, Kept(i));
    return lowest;
  }
  /// Seconds from aSecond until goodput is 95 % of what it was; -1: never.
  int BackAfter(std::size_t aSecond) const
  {
    for (std::size_t i = aSecond; i + kWindow <= Seconds(); ++i)
      if (Kept(i) >= 0.95)
        return int(i - aSecond);
    return -1;
  }
};

struct DecisionRow
{
  std::uint32_t m_engines{};
  double m_nanoseconds{};
};

struct Report
{
  std::uint64_t m_seed{};
  double m_peak{}; ///< requests per second
  std::vector<Row> m_rows;
  std::vector<HintRow> m_hints;
  std::vector<RecoveryRow> m_recovery;
  std::vector<DecisionRow> m_decisions;

  const SimulationResult& Find(const std::string& aPolicy,
                               const std::string& aUser,
                               double aLoad) const
  {
    for (const Row& row : m_rows)
      if (row.m_policy == aPolicy && row.m_user == aUser && row.m_load == aLoad)
        return row.m_result;
    throw std::out_of_range("no run of " + aPolicy);
  }
};

inline void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  if (!file.flush())
    throw std::runtime_error("cannot write " + aPath);
}

inline void
PrintRow(const std::string& aName,
         double aLoad,
         const SimulationResult& aResult)
{
  const auto percent = [&](std::uint64_t aCount) {
    return 100.0 * double(aCount) /
           double(std::max<std::uint64_t>(1, aResult.m_offered));
  };
  std::printf(
    "%-22s %5.2f %8.2f %6.2f %6.2f %6.2f %6.2f %6.2f %7.3f %6.1f %7.1f %6.1f "
    "%6.1f %7.0f\n",
    aName.c_str(),
    aLoad,
    aResult.GoodPerSecond(),
    100 * aResult.GoodShare(),
    percent(aResult.m_late),
    percent(aResult.m_slow),
    percent(aResult.m_refused),
    percent(aResult.m_failed + aResult.m_gaveUp),
    100 * aResult.WastedShare(),
    100 * aResult.CachedShare(),
    double(aResult.m_crossRegionBytes) / 1e9,
    100.0 * double(aResult.m_claimsRefused) /
      double(std::max<std::uint64_t>(1, aResult.m_claims)),
    100 * aResult.m_piecesHeld,
    std::chrono::duration<double, std::milli>(aResult.m_firstTokenP95).count());
}

inline void
PrintTables(const Report& aReport)
{
  std::printf("peak: %.1f requests/s (oracle keeps 95 in 100 within both "
              "targets), seed %llu\n",
              aReport.m_peak,
              static_cast<unsigned long long>(aReport.m_seed));
  std::string user;
  for (const Row& row : aReport.m_rows) {
    if (row.m_user != user) {
      user = row.m_user;
      std::printf(
        "\n%-22s %5s %8s %6s %6s %6s %6s %6s %7s %6s %7s %6s %6s %7s\n",
        user.c_str(),
        "load",
        "good/s",
        "good%",
        "late%",
        "slow%",
        "refus%",
        "fail%",
        "wasted%",
        "cache%",
        "crossGB",
        "clref%",
        "mem%",
        "p95ms");
    }
    PrintRow(row.m_policy, row.m_load, row.m_result);
  }
  std::printf("\nage of cache events, joint at the peak\n");
  for (const HintRow& row : aReport.m_hints)
    PrintRow(std::to_string(row.m_delay.count()) + " ms", 1.0, row.m_result);
  std::printf("\n%-16s %8s %18s %18s\n",
              "lost 40 s to 55 s",
              "lowest%",
              "95% after loss, s",
              "95% after back, s");
  for (const RecoveryRow& row : aReport.m_recovery)
    std::printf("%-16s %8.1f %18d %18d\n",
                row.m_lost.c_str(),
                100 * row.Lowest(),
                row.BackAfter(row.m_from),
                row.BackAfter(row.m_until));
  std::printf("\n");
  for (const DecisionRow& row : aReport.m_decisions)
    std::printf(
      "decision among %u engines: %.0f ns\n", row.m_engines, row.m_nanoseconds);
}

inline Json::Value
ToJson(const SimulationResult& aResult)
{
  Json::Value value;
  value["offered"] = Json::UInt64(aResult.m_offered);
  value["good"] = Json::UInt64(aResult.m_good);
  value["good_per_second"] = aResult.GoodPerSecond();
  value["late"] = Json::UInt64(aResult.m_late);
  value["slow"] = Json::UInt64(aResult.m_slow);
  value["refused"] = Json::UInt64(aResult.m_refused);
  value["failed"] = Json::UInt64(aResult.m_failed);
  value["gave_up"] = Json::UInt64(aResult.m_gaveUp);
  value["prefill_tokens"] = Json::UInt64(aResult.m_prefillTokens);
  value["wasted_tokens"] = Json::UInt64(aResult.m_wastedTokens);
  value["cached_tokens"] = Json::UInt64(aResult.m_cachedTokens);
  value["cross_region_bytes"] = Json::UInt64(aResult.m_crossRegionBytes);
  value["claims"] = Json::UInt64(aResult.m_claims);
  value["claims_refused"] = Json::UInt64(aResult.m_claimsRefused);
  value["decode_memory_held"] = aResult.m_piecesHeld;
  return value;
}

inline Json::Value
ToJson(const Report& aReport)
{
  Json::Value value;
  value["seed"] = Json::UInt64(aReport.m_seed);
  value["peak_requests_per_second"] = aReport.m_peak;
  for (const Row& row : aReport.m_rows) {
    Json::Value run = ToJson(row.m_result);
    run["policy"] = row.m_policy;
    run["user"] = row.m_user;
    run["load"] = row.m_load;
    value["runs"].append(run);
  }
  for (const HintRow& row : aReport.m_hints) {
    Json::Value run = ToJson(row.m_result);
    run["event_delay_ms"] = Json::Int64(row.m_delay.count());
    value["hint_ages"].append(run);
  }
  for (const RecoveryRow& row : aReport.m_recovery) {
    Json::Value run;
    run["lost"] = row.m_lost;
    run["lowest"] = row.Lowest();
    run["seconds_to_95_percent_after_loss"] = row.BackAfter(row.m_from);
    run["seconds_to_95_percent_after_return"] = row.BackAfter(row.m_until);
    value["recovery"].append(run);
  }
  for (const DecisionRow& row : aReport.m_decisions) {
    Json::Value run;
    run["engines"] = row.m_engines;
    run["nanoseconds"] = row.m_nanoseconds;
    value["decisions"].append(run);
  }
  return value;
}

/// Draws one panel: a curve per policy against load.
inline std::string
PlotPanel(const Report& aReport,
          const std::string& aUser,
          double aTop,
          const std::string& aTitle,
          const std::function<double(const SimulationResult&)>& aValue)
{
  constexpr double kLeft = 70;
  constexpr double kWidth = 480;
  constexpr double kHeight = 200;
  const std::map<std::string, std::string> colours{ { "naive", "#c44" },
                                                    { "joint", "#27c" },
                                                    { "oracle", "#283" } };
  double most = 1e-9;
  for (const Row& row : aReport.m_rows)
    if (row.m_user == aUser && colours.contains(row.m_policy))
      most = std::max(most, aValue(row.m_result));
  const auto number = [](double aNumber) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", aNumber);
    return std::string(text);
  };
  const auto x = [&](double aLoad) {
    return kLeft + (aLoad - 0.5) / 1.5 * kWidth;
  };
  const auto y = [&](double aAt) { return aTop + kHeight * (1 - aAt / most); };
  std::string svg =
    "<text x='70' y='" + number(aTop - 8) + "'>" + aTitle + "</text>\n";
  svg += "<rect x='70' y='" + number(aTop) +
         "' width='480' height='200' fill='none' stroke='#999'/>\n";
  for (const double part : { 0.0, 0.5, 1.0 })
    svg += "<text x='64' text-anchor='end' y='" + number(y(part * most) + 4) +
           "'>" + number(part * most) + "</text>\n";
  for (const double load : { 0.5, 1.0, 1.5, 2.0 })
    svg += "<text text-anchor='middle' x='" + number(x(load)) + "' y='" +
           number(aTop + kHeight + 16) + "'>" + number(load) + "</text>\n";
  double legend = aTop + 16;
  for (const auto& [policy, colour] : colours) {
    svg += "<polyline fill='none' stroke-width='2' stroke='";
    svg += colour;
    svg += "' points='";
    for (const Row& row : aReport.m_rows) {
      if (row.m_user != aUser || row.m_policy != policy)
        continue;
      svg += number(x(row.m_load));
      svg += ",";
      svg += number(y(aValue(row.m_result)));
      svg += " ";
    }
    svg += "'/>\n<text x='560' y='";
    svg += number(legend);
    svg += "' fill='";
    svg += colour;
    svg += "'>";
    svg += policy;
    svg += "</text>\n";
    legend += 16;
  }
  return svg;
}

inline std::string
PlotSvg(const Report& aReport, const std::string& aUser)
{
  return "<svg xmlns='http://www.w3.org/2000/svg' width='640' height='540' "
         "font-family='sans-serif' font-size='12'>\n"
         "<rect width='640' height='540' fill='white'/>\n" +
         PlotPanel(aReport,
                   aUser,
                   40,
                   "Goodput in requests/s against load (times the peak), " +
                     aUser,
                   [](const SimulationResult& aResult) {
                     return aResult.GoodPerSecond();
                   }) +
         PlotPanel(aReport,
                   aUser,
                   300,
                   "Wasted prefill in % of prefill work against load",
                   [](const SimulationResult& aResult) {
                     return 100 * aResult.WastedShare();
                   }) +
         "</svg>\n";
}

/// Prints the figures that are compared with their bounds: the worse of both
/// users, against the better of the naive ways.
inline void
PrintLastLine(const Report& aReport)
{
  double versusNaive = 1e9;
  double versusOracle = 1e9;
  double wasted = 0;
  double wastedNaive = 1;
  double kept = 1e9;
  std::set<std::string> users;
  for (const Row& row : aReport.m_rows)
    users.insert(row.m_user);
  for (const std::string& user : users) {
    const SimulationResult& ours = aReport.Find("joint", user, 1.0);
    const SimulationResult& capped = aReport.Find("naive", user, 1.0);
    const SimulationResult& uncapped = aReport.Find("naive, no cap", user, 1.0);
    const SimulationResult& naive =
      capped.m_good >= uncapped.m_good ? capped : uncapped;
    const SimulationResult& oracle = aReport.Find("oracle", user, 1.0);
    const SimulationResult& twice = aReport.Find("joint", user, 2.0);
    const double goodput = ours.GoodPerSecond();
    versusNaive = std::min(versusNaive, goodput / naive.GoodPerSecond());
    versusOracle = std::min(versusOracle, goodput / oracle.GoodPerSecond());
    wasted = std::max(wasted, ours.WastedShare());
    wastedNaive = std::min(wastedNaive, naive.WastedShare());
    kept = std::min(kept, twice.GoodPerSecond() / goodput);
  }
  std::printf("policy: goodput_vs_naive=%.3f goodput_vs_oracle=%.3f "
              "wasted_prefill=%.5f wasted_prefill_naive=%.5f "
              "overload_kept=%.3f\n",
              versusNaive,
              versusOracle,
              wasted,
              wastedNaive,
              kept);
}

} // namespace shallotford::bench

#endif // SHALLOTFORD_BENCH_POLICY_REPORT_H
