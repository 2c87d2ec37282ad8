/// The worker's handling of messages from the control task, and its reports to
/// that task and to operators.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_posting_exchange.h"
#include "daemon_worker.h"

#include <algorithm>

namespace shallotford {

void
Worker::OnMessage(ControlMessage aMessage)
{
  std::visit([this](auto& aOne) { Receive(aOne); }, aMessage);
}

void
Worker::Receive(FleetInForce& aMessage)
{
  const FleetText& fleet = *aMessage.m_fleet;
  TimePoint now = Now();
  m_state.m_fleet = aMessage.m_fleet;
  m_state.m_callers.SetFleet(aMessage.m_fleet);
  m_state.m_limits.SetCallers(now, fleet.m_callers);
  m_state.m_queue.SetCallers(fleet.m_callers);
  m_state.m_table.SetFleet(now, fleet);
  for (const ServiceEntry& service : fleet.m_services) {
    m_state.m_retries.SetShare(service.m_name, service.m_retryBudget);
  }
  SetEngines(fleet);
  m_state.m_log.Write(
    LogEvent("fleet_in_force")
      .Add("revision", static_cast<std::int64_t>(fleet.m_revision)));
}

void
Worker::Receive(MembershipView& aMessage)
{
  m_state.m_vms = aMessage.m_listed;
  m_state.m_suspects.SetVms(aMessage.m_listed, aMessage.m_live);
  std::size_t live = std::max<std::size_t>(aMessage.m_live.size(), 1);
  m_state.m_table.SetVmCount(static_cast<std::uint32_t>(live));
  m_state.m_limits.SetVms(Now(), aMessage.m_live);
}

void
Worker::Receive(PeerUpdate& aMessage)
{
  TimePoint now = Now();
  m_state.m_limits.OnOthersDemand(now, aMessage.m_othersDemand);
  if (aMessage.m_poisonDigest.empty()) {
    return;
  }
  try {
    m_state.m_poison.Merge(aMessage.m_poisonDigest, now);
    EndConvicted();
  } catch (const Error& error) {
    m_state.m_log.Write(LogEvent("digest_refused", LogLevel::Warning)
                          .Add("reason", error.what()));
  }
}

void
Worker::Receive(ForwardedCall& aMessage)
{
  auto flow = std::make_shared<Flow>();
  flow->m_exchange = MakePostingExchange(
    *aMessage.m_owner, m_state.m_loop, std::move(aMessage.m_exchange));
  flow->m_http = std::move(aMessage.m_request);
  flow->m_receivedAt = Now();
  flow->m_fleet = m_state.m_fleet;
  flow->m_forwarded = true;
  const std::string* caller = FindHeader(flow->m_http.m_headers, "x-caller");
  flow->m_caller = caller ? *caller : "";
  try {
    CheckServing();
    m_plainPipeline.Begin(flow);
  } catch (const Error& error) {
    Refuse(flow, error);
  }
}

void
Worker::Receive(UpstreamLeaving& aMessage)
{
  m_state.m_table.OnLeaving(Now(), aMessage.m_address, aMessage.m_leaving);
  m_state.m_plain.SetLeaving(aMessage.m_address, aMessage.m_leaving);
}

void
Worker::Receive(PlatformReady& aMessage)
{
  m_ready = aMessage.m_ready;
}

void
Worker::Receive(SnapshotQuery& aMessage)
{
  aMessage.m_reply(TakeSnapshot(aMessage.m_request));
}

void
Worker::Receive(OwnershipQuery& aMessage)
{
  std::vector<AttemptId> owned;
  for (const AttemptId& stream : aMessage.m_streams) {
    if (m_state.m_ledger.Owns(stream)) {
      owned.push_back(stream);
    }
  }
  aMessage.m_reply(owned);
}

void
Worker::Receive(SuspectQuery& aMessage)
{
  std::optional<Json::Value> reply;
  try {
    reply = m_state.m_suspects.Serve(aMessage.m_call);
    EndConvicted();
  } catch (const Error& error) {
    m_state.m_log.Write(LogEvent("suspect_call_refused", LogLevel::Warning)
                          .Add("reason", error.what()));
  }
  aMessage.m_reply(std::move(reply));
}

void
Worker::Receive(TicketHandOver& aMessage)
{
  std::vector<VmIncarnation> from;
  try {
    for (const std::string& text : aMessage.m_texts) {
      auto more = m_state.m_tickets.ImportUsed(text, Now());
      from.insert(from.end(), more.begin(), more.end());
    }
  } catch (const Error& error) {
    m_state.m_log.Write(LogEvent("hand_over_refused", LogLevel::Warning)
                          .Add("reason", error.what()));
    aMessage.m_reply(std::nullopt);
    return;
  }
  aMessage.m_reply(std::move(from));
}

void
Worker::Receive(TicketSuccessions& aMessage)
{
  m_state.m_successions = std::move(aMessage.m_successions);
}

// ----------------------------------------------------------- planned stop

void
Worker::Receive(DrainCommand&)
{
  if (m_drainingSince) {
    return;
  }
  m_drainingSince = Now();
  m_state.m_log.Write(
    LogEvent("draining")
      .Add("in_flight", static_cast<std::int64_t>(m_flows.size())));
}

void
Worker::CheckDrained()
{
  bool waited = m_drainingSince && Now() >= *m_drainingSince + kDrainGrace;
  if (!waited || m_drained) {
    return;
  }
  m_server->StopAccepting();
  bool idle = m_flows.empty() && m_ticketWaiters.empty() &&
              m_server->InFlight() == 0 && m_state.m_cancels.Size() == 0;
  if (!idle) {
    return;
  }
  m_drained = true;
  m_state.m_tickets.Close();
  m_controlSink(Drained{ m_state.m_tickets.ExportUsed(Now()) });
}

// -------------------------------------------------------------- snapshots

/// Adds the load of each model service's pools, as a number of fully used
/// engines.
void
Worker::AddLoads(WorkerReport& aReport) const
{
  if (!m_state.m_fleet) {
    return;
  }
  const EngineTable& table = m_state.m_table;
  TimePoint now = Now();
  for (const ServiceEntry& service : m_state.m_fleet->m_services) {
    const ModelEntry* model = m_state.m_fleet->FindModel(service.m_model);
    if (service.m_kind != ServiceKind::Model || model == nullptr) {
      continue;
    }
    ServiceLoad& load = aReport.m_loads[service.m_name];
    double rate = model->m_prefillTokensPerSecond;
    for (std::uint32_t engine :
         table.Pool(service.m_name, EngineRole::Prefill)) {
      double busy = table.QueueTokens(now, engine) / rate;
      load.m_prefill += std::min(busy, 1.0);
    }
    for (std::uint32_t engine :
         table.Pool(service.m_name, EngineRole::Decode)) {
      const EngineFacts& facts = table.Engines()[engine];
      double running = table.Running(now, engine);
      load.m_decode += running / std::max(1u, facts.m_batchLimit);
      aReport.m_running[facts.m_address] = static_cast<std::uint32_t>(running);
    }
  }
}

void
Worker::Report()
{
  WorkerReport report;
  report.m_demand = m_state.m_limits.Demand(Now());
  report.m_poisonDigest = m_state.m_poison.Digest(kMaxDigestBytes, Now());
  AddLoads(report);
  m_controlSink(std::move(report));
  m_state.m_loop.RunAfter(kWorkerReportPeriod, [this] { Report(); });
}

void
Worker::UpdateGauges()
{
  Metrics& metrics = m_state.m_metrics;
  const GoodputFigures& goodput = m_state.m_goodput.Figures();
  const LedgerSums& sums = m_state.m_ledger.Sums();
  metrics.Set("requests_live", "", static_cast<double>(m_flows.size()));
  metrics.Set("goodput_requests", "", static_cast<double>(goodput.m_good));
  metrics.Set("answered_requests", "", static_cast<double>(goodput.m_answered));
  metrics.Set(
    "prefill_tokens", "", static_cast<double>(goodput.m_prefillTokens));
  metrics.Set(
    "wasted_prefill_tokens", "", static_cast<double>(goodput.m_wastedTokens));
  metrics.Set(
    "cross_region_bytes", "", static_cast<double>(goodput.m_crossRegionBytes));
  metrics.Set("retries", "", static_cast<double>(sums.m_retries));
  metrics.Set("continued_streams", "", static_cast<double>(sums.m_continued));
  metrics.Set("stale_events", "", static_cast<double>(sums.m_staleEvents));
  metrics.Set(
    "cancels_pending", "", static_cast<double>(m_state.m_cancels.Size()));
  metrics.Set(
    "tickets_used", "", static_cast<double>(m_state.m_tickets.Used()));
  metrics.Set("configuration_revision",
              "",
              m_state.m_fleet ? static_cast<double>(m_state.m_fleet->m_revision)
                              : 0.0);
  for (const EngineFacts& engine : m_state.m_table.Engines()) {
    std::uint32_t index = m_state.m_table.Find(engine.m_address);
    std::string label = "engine=\"" + engine.m_address + "\"";
    metrics.Set(
      "engine_free_pieces", label, m_state.m_table.FreePieces(Now(), index));
    metrics.Set("engine_running", label, m_state.m_table.Running(Now(), index));
  }
}

WorkerSnapshot
Worker::TakeSnapshot(const std::optional<RequestId>& aRequest) const
{
  TimePoint now = Now();
  WorkerSnapshot snapshot;
  snapshot.m_ready = m_ready && m_state.m_fleet && !m_drainingSince;
  snapshot.m_draining = m_drainingSince.has_value();
  snapshot.m_live = m_state.m_ledger.Live();
  snapshot.m_sums = m_state.m_ledger.Sums();
  snapshot.m_goodput = m_state.m_goodput.Figures();
  snapshot.m_demand = m_state.m_limits.Demand(now);
  snapshot.m_usedTickets = m_state.m_tickets.Used();
  snapshot.m_pendingCancels = m_state.m_cancels.Size();
  if (aRequest) {
    auto view = m_state.m_ledger.Explain(*aRequest, now);
    if (view) {
      snapshot.m_requests.push_back(*view);
    }
    auto live = m_flows.find(*aRequest);
    if (live != m_flows.end()) {
      snapshot.m_alternatives =
        live->second->m_attempt.m_placement.m_alternatives;
    }
  } else {
    snapshot.m_requests = m_state.m_ledger.List(kMaxListedRequests, now);
  }
  for (const EngineFacts& engine : m_state.m_table.Engines()) {
    snapshot.m_engines.push_back(Describe(engine));
  }
  return snapshot;
}

EngineSnapshot
Worker::Describe(const EngineFacts& aEngine) const
{
  TimePoint now = Now();
  const EngineTable& table = m_state.m_table;
  std::uint32_t index = table.Find(aEngine.m_address);
  auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    now - aEngine.m_reportedAt);
  return { .m_address = aEngine.m_address,
           .m_role = aEngine.m_role,
           .m_up = aEngine.m_up,
           .m_leaving = aEngine.m_leaving,
           .m_running = table.Running(now, index),
           .m_freePieces = table.FreePieces(now, index),
           .m_hasReport = aEngine.m_hasReport,
           .m_reportAge =
             aEngine.m_hasReport ? age : std::chrono::milliseconds{ 0 } };
}

} // namespace shallotford
