#ifndef SHALLOTFORD_BENCH_POLICY_CLUSTER_H
#define SHALLOTFORD_BENCH_POLICY_CLUSTER_H

/// Engines and links of the policy bench, in virtual time.

#include "shallotford/placement.h"
#include "standin_engine_model.h"

#include <functional>
#include <queue>

namespace shallotford::bench {

using namespace std::chrono_literals;
using standin::EngineModel;

/// Things to do at a time, in order of time and of posting.
class EventQueue
{
public:
  explicit EventQueue(TimePoint aStart)
    : m_now(aStart)
  {
  }
  TimePoint Now() const { return m_now; }
  void At(TimePoint aTime, std::function<void()> aDo)
  {
    m_events.push({ std::max(aTime, m_now), m_next++, std::move(aDo) });
  }
  void After(Duration aDelay, std::function<void()> aDo)
  {
    At(m_now + aDelay, std::move(aDo));
  }
  void RunUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.top().m_at <= aEnd) {
      Event event = std::move(const_cast<Event&>(m_events.top()));
      m_events.pop();
      m_now = event.m_at;
      event.m_do();
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_do;
    bool operator<(const Event& aOther) const
    {
      return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
    }
  };
  TimePoint m_now;
  std::uint64_t m_next{ 0 };
  std::priority_queue<Event> m_events;
};

/// A link whose rate is divided equally among its transfers.
class SharedLink
{
public:
  SharedLink(EventQueue& aQueue, double aBytesPerSecond)
    : m_queue(aQueue)
    , m_rate(aBytesPerSecond)
  {
  }
  void Send(double aBytes, std::function<void()> aDone)
  {
    Progress();
    m_transfers.push_back({ aBytes, std::move(aDone) });
    Schedule();
  }

private:
  struct Transfer
  {
    double m_left;
    std::function<void()> m_done;
  };
  void Progress()
  {
    const double elapsed =
      std::chrono::duration<double>(m_queue.Now() - m_at).count();
    m_at = m_queue.Now();
    if (m_transfers.empty())
      return;
    const double each = elapsed * m_rate / double(m_transfers.size());
    for (Transfer& transfer : m_transfers)
      transfer.m_left -= each;
  }
  void Schedule()
  {
    const std::uint64_t version = ++m_version;
    if (m_transfers.empty())
      return;
    double least = m_transfers.front().m_left;
    for (const Transfer& transfer : m_transfers)
      least = std::min(least, transfer.m_left);
    const double seconds =
      std::max(0.0, least) * double(m_transfers.size()) / m_rate;
    m_queue.After(std::chrono::nanoseconds(std::int64_t(seconds * 1e9) + 1),
                  [this, version] { OnTimer(version); });
  }
  void OnTimer(std::uint64_t aVersion)
  {
    if (aVersion != m_version)
      return;
    Progress();
    std::vector<std::function<void()>> done;
    std::erase_if(m_transfers, [&](Transfer& aTransfer) {
      if (aTransfer.m_left > 1.0)
        return false;
      done.push_back(std::move(aTransfer.m_done));
      return true;
    });
    Schedule();
    for (const auto& callback : done)
      callback();
  }

  EventQueue& m_queue;
  double m_rate;
  TimePoint m_at{};
  std::uint64_t m_version{ 0 };
  std::vector<Transfer> m_transfers;
};

struct ClusterOptions
{
  std::uint32_t m_regions{ 3 };
  std::uint32_t m_domainsPerRegion{ 2 };
  std::uint32_t m_prefillsPerRegion{ 4 };
  std::uint32_t m_decodesPerRegion{ 28 };
  std::chrono::milliseconds m_cacheEventDelay{ 300 };
  double m_cacheEventGapRate{ 0.1 };
  std::chrono::milliseconds m_loadLag{ 200 };
  PlacementWeights m_weights;
  ClaimPolicy m_claim{ ClaimPolicy::AtPredictedEnd };
  std::uint64_t m_seed{ 1 };
};

/// Engines in regions with the links between them.
class Cluster
{
public:
  using EventHandler = std::function<void(std::uint32_t aEngine,
                                          const standin::EngineEvent& aEvent)>;
  struct Engine
  {
    std::unique_ptr<EngineModel> m_model;
    std::uint32_t m_region{};
    std::uint32_t m_domain{};
    bool m_up{ true };
    TimePoint m_wakeAt{ TimePoint::max() };
    TimePoint m_prefillSince{}; ///< when its running prefill began
  };

  Cluster(EventQueue& aQueue, const ClusterOptions& aOptions)
    : m_queue(aQueue)
    , m_options(aOptions)
  {
    MakeFleet();
    for (const EngineEntry& entry : m_fleet.m_services.front().m_engines)
      AddEngine(entry);
    for (const LinkEntry& link : m_fleet.m_links)
      m_links.push_back(
        std::make_unique<SharedLink>(aQueue, double(link.m_bytesPerSecond)));
  }

  void SetHandler(EventHandler aHandler) { m_handler = std::move(aHandler); }
  const FleetText& Fleet() const { return m_fleet; }
  const ServiceEntry& Service() const { return m_fleet.m_services.front(); }
  const ModelEntry& Model() const { return m_fleet.m_models.front(); }
  std::vector<Engine>& Engines() { return m_engines; }
  const std::string& Address(std::uint32_t aEngine) const
  {
    return Service().m_engines[aEngine].m_address;
  }
  std::uint32_t Find(const std::string& aAddress) const
  {
    return m_byAddress.at(aAddress);
  }

  /// One-way latency between regions.
  static Duration Latency(std::uint32_t aFrom, std::uint32_t aTo)
  {
    return aFrom == aTo ? Duration(1ms) : Duration(5ms);
  }

  /// Runs aDo on an engine's model at the present time.
  template<typename Function>
  auto Call(std::uint32_t aEngine, Function aDo)
  {
    Engine& engine = m_engines[aEngine];
    Advance(aEngine);
    auto result = aDo(*engine.m_model);
    NotePrefillStart(aEngine);
    Arm(aEngine);
    return result;
  }

  void Transfer(std::uint32_t aFrom,
                std::uint32_t aTo,
                std::uint64_t aBytes,
                std::function<void()> aDone)
  {
    const std::uint32_t from = m_engines[aFrom].m_region;
    const std::uint32_t to = m_engines[aTo].m_region;
    if (from != to)
      m_crossRegionBytes += aBytes;
    m_links[from * m_options.m_regions + to]->Send(double(aBytes),
                                                   std::move(aDone));
  }
  std::uint64_t CrossRegionBytes() const { return m_crossRegionBytes; }

  void SetUp(std::uint32_t aEngine, bool aUp)
  {
    Engine& engine = m_engines[aEngine];
    Advance(aEngine);
    engine.m_up = aUp;
    if (!aUp)
      engine.m_model->Crash(m_queue.Now());
    Arm(aEngine);
    if (!aUp)
      m_handler(
        aEngine,
        { .m_at = m_queue.Now(), .m_kind = standin::EngineEventKind::Crashed });
  }

  /// Prefill tokens that an engine still has to compute.
  std::uint64_t TrueQueueTokens(std::uint32_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    std::uint64_t tokens = 0;
    for (const auto& [stream, holding] : engine.m_model->Holdings()) {
      if (holding.m_state != standin::HoldingState::Prefill)
        continue;
      if (holding.m_workTokens > 0) {
        const auto ran =
          std::chrono::duration<double>(m_queue.Now() - engine.m_prefillSince)
            .count() *
          Model().m_prefillTokensPerSecond;
        tokens +=
          std::uint64_t(std::max(0.0, double(holding.m_workTokens) - ran));
        continue;
      }
      tokens +=
        holding.m_prefill.m_promptTokens -
        std::min(holding.m_prefill.m_promptTokens,
                 engine.m_model->CachedTokens(holding.m_prefill.m_prefixes));
    }
    return tokens;
  }

private:
  static constexpr std::uint32_t kDecodePieces = 56;
  static constexpr std::uint32_t kPrefillPieces = 100;
  static constexpr std::uint32_t kCachePieces = 600;
  static constexpr std::uint64_t kInnerLink = 10'000'000'000; // bytes/s
  static constexpr std::uint64_t kOuterLink = 1'500'000'000;  // bytes/s
  static constexpr std::uint32_t kEnginesPerServer = 8;

  void MakeFleet()
  {
    m_fleet.m_revision = 1;
    for (std::uint32_t from = 0; from < m_options.m_regions; ++from) {
      RegionEntry region;
      region.m_name = "region" + std::to_string(from);
      m_fleet.m_regions.push_back(region);
    }
    for (const RegionEntry& from : m_fleet.m_regions)
      for (const RegionEntry& to : m_fleet.m_regions) {
        const bool inner = from.m_name == to.m_name;
        m_fleet.m_links.push_back({ from.m_name,
                                    to.m_name,
                                    inner ? kInnerLink : kOuterLink,
                                    inner ? 1ms : 5ms,
                                    inner ? 0.0 : 0.02 });
      }
    ModelEntry model;
    model.m_name = "draft";
    model.m_kvBytesPerToken = 40'960;
    m_fleet.m_models.push_back(model);
    ServiceEntry service;
    service.m_name = "drafting";
    service.m_kind = ServiceKind::Model;
    service.m_model = "draft";
    service.m_weights = m_options.m_weights;
    service.m_claim = m_options.m_claim;
    for (std::uint32_t region = 0; region < m_options.m_regions; ++region) {
      AddEntries(service, region, EngineRole::Prefill);
      AddEntries(service, region, EngineRole::Decode);
    }
    m_fleet.m_services.push_back(std::move(service));
  }

  void AddEntries(ServiceEntry& aService,
                  std::uint32_t aRegion,
                  EngineRole aRole)
  {
    const bool prefill = aRole == EngineRole::Prefill;
    const std::uint32_t count =
      prefill ? m_options.m_prefillsPerRegion : m_options.m_decodesPerRegion;
    for (std::uint32_t i = 0; i < count; ++i) {
      EngineEntry entry;
      const std::size_t number = aService.m_engines.size();
      entry.m_address = "10.0." + std::to_string(aRegion) + "." +
                        std::to_string(number) + ":80";
      entry.m_server = "server" + std::to_string(number / kEnginesPerServer);
      entry.m_region = m_fleet.m_regions[aRegion].m_name;
      entry.m_failureDomain =
        entry.m_region + "." +
        std::to_string(i * m_options.m_domainsPerRegion / count);
      entry.m_role = aRole;
      entry.m_kvPieces = prefill ? kPrefillPieces : kDecodePieces;
      aService.m_engines.push_back(entry);
    }
  }

  void AddEngine(const EngineEntry& aEntry)
  {
    standin::EngineModelOptions options;
    options.m_role = aEntry.m_role;
    options.m_model = Model().m_name;
    options.m_batchLimit = aEntry.m_batchLimit;
    options.m_kvPieces = aEntry.m_kvPieces;
    options.m_prefillTokensPerSecond = Model().m_prefillTokensPerSecond;
    options.m_decodeStep = Model().m_decodeStep;
    options.m_decodeStepPerStream = 1'500us;
    options.m_prefixCachePieces = kCachePieces;
    options.m_loadLag = m_options.m_loadLag;
    options.m_cacheEventDelay = m_options.m_cacheEventDelay;
    options.m_cacheEventGapRate = m_options.m_cacheEventGapRate;
    options.m_seed = m_options.m_seed * 1'000 + m_engines.size();
    Engine engine;
    engine.m_model = std::make_unique<EngineModel>(options);
    engine.m_region = std::uint32_t(aEntry.m_region.back() - '0');
    engine.m_domain = std::uint32_t(aEntry.m_failureDomain.back() - '0') +
                      engine.m_region * m_options.m_domainsPerRegion;
    m_byAddress[aEntry.m_address] = std::uint32_t(m_engines.size());
    m_engines.push_back(std::move(engine));
  }

  void Advance(std::uint32_t aEngine)
  {
    for (const standin::EngineEvent& event :
         m_engines[aEngine].m_model->Advance(m_queue.Now()))
      m_handler(aEngine, event);
    NotePrefillStart(aEngine);
  }

  /// Remembers when the running prefill began, for the oracle.
  void NotePrefillStart(std::uint32_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    const std::uint64_t started = engine.m_model->Stats().m_prefillsStarted;
    if (started != m_started[aEngine]) {
      m_started[aEngine] = started;
      engine.m_prefillSince = m_queue.Now();
    }
  }

  void Arm(std::uint32_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    const TimePoint next = engine.m_model->NextEventAt();
    if (next == engine.m_wakeAt)
      return;
    engine.m_wakeAt = next;
    if (next == TimePoint::max())
      return;
    m_queue.At(next, [this, aEngine, next] {
      if (m_engines[aEngine].m_wakeAt != next)
        return;
      m_engines[aEngine].m_wakeAt = TimePoint::max();
      Advance(aEngine);
      Arm(aEngine);
    });
  }

  EventQueue& m_queue;
  ClusterOptions m_options;
  FleetText m_fleet;
  std::vector<Engine> m_engines;
  std::map<std::uint32_t, std::uint64_t> m_started;
  std::map<std::string, std::uint32_t> m_byAddress;
  std::vector<std::unique_ptr<SharedLink>> m_links;
  EventHandler m_handler;
  std::uint64_t m_crossRegionBytes{ 0 };
};

} // namespace shallotford::bench

#endif // SHALLOTFORD_BENCH_POLICY_CLUSTER_H
