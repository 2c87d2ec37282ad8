/// The worker's calls to engines that belong to no attempt: load reports, cache
/// events, checks for crashes, and cancels.

#include "config.h"
#include "daemon_worker.h"

#include <algorithm>

namespace shallotford {

namespace {

std::vector<std::string>
EngineAddresses(const FleetText& aFleet)
{
  std::vector<std::string> addresses;
  for (const ServiceEntry& service : aFleet.m_services) {
    for (const EngineEntry& engine : service.m_engines) {
      addresses.push_back(engine.m_address);
    }
  }
  return addresses;
}

/// Returns the name of the service that aEngine works for, or "".
std::string
ServiceOf(const FleetText& aFleet, const std::string& aEngine)
{
  for (const ServiceEntry& service : aFleet.m_services) {
    for (const EngineEntry& engine : service.m_engines) {
      if (engine.m_address == aEngine) {
        return service.m_name;
      }
    }
  }
  return "";
}

} // namespace

// ----------------------------------------------------------- load reports

void
Worker::PollEngines()
{
  constexpr auto kPeriod =
    std::chrono::milliseconds{ 1'000 } / kLoadPollsPerSecond;
  m_state.m_loop.RunAfter(kPeriod, [this] { PollEngines(); });
  if (m_engines.empty()) {
    return;
  }
  m_nextPoll = (m_nextPoll + 1) % m_engines.size();
  PollEngine(m_engines[m_nextPoll]);
}

void
Worker::PollEngine(const std::string& aEngine)
{
  if (m_polls.count(aEngine) != 0) {
    return;
  }
  auto done = [this, aEngine](const EngineResult<LoadReport>& aResult) {
    auto found = m_polls.find(aEngine);
    if (found != m_polls.end()) {
      Discard(std::move(found->second));
      m_polls.erase(found);
    }
    OnLoadReport(aEngine, aResult);
  };
  m_polls[aEngine] = m_state.m_engine.Load(aEngine, std::move(done));
}

void
Worker::OnLoadReport(const std::string& aEngine,
                     const EngineResult<LoadReport>& aResult)
{
  if (std::holds_alternative<EngineError>(aResult)) {
    std::uint32_t failures = ++m_failedPolls[aEngine];
    if (failures == kFailedPollsForDown) {
      OnEngineDown(aEngine);
    }
    return;
  }
  const auto& report = std::get<LoadReport>(aResult);
  if (m_failedPolls[aEngine] >= kFailedPollsForDown) {
    m_state.m_log.Write(LogEvent("engine_up").Add("engine", aEngine));
  }
  m_failedPolls[aEngine] = 0;
  m_state.m_table.OnHealth(Now(), aEngine, true);
  m_state.m_table.OnLoadReport(Now(), aEngine, report);
  ReportLeaving(aEngine, report.m_leaving);
  PollCacheEvents(aEngine);
  Dispatch();
}

void
Worker::ReportLeaving(const std::string& aUpstream, bool aLeaving)
{
  bool known = m_leaving.count(aUpstream) != 0;
  if (known == aLeaving) {
    return;
  }
  if (aLeaving) {
    m_leaving.insert(aUpstream);
  } else {
    m_leaving.erase(aUpstream);
  }
  m_state.m_table.OnLeaving(Now(), aUpstream, aLeaving);
  m_state.m_log.Write(LogEvent(aLeaving ? "upstream_leaving" : "upstream_back")
                        .Add("upstream", aUpstream));
  m_controlSink(UpstreamLeavingReport{ aUpstream, aLeaving });
}

void
Worker::PollCacheEvents(const std::string& aEngine)
{
  if (m_eventPolls.count(aEngine) != 0) {
    return;
  }
  std::uint64_t cursor = m_cacheCursor[aEngine];
  auto done =
    [this, aEngine, cursor](const EngineResult<EngineCacheEvents>& aResult) {
      auto found = m_eventPolls.find(aEngine);
      if (found != m_eventPolls.end()) {
        Discard(std::move(found->second));
        m_eventPolls.erase(found);
      }
      if (const auto* events = std::get_if<EngineCacheEvents>(&aResult)) {
        ApplyCacheEvents(aEngine, cursor, *events);
      }
    };
  m_eventPolls[aEngine] =
    m_state.m_engine.ReadCacheEvents(aEngine, cursor, std::move(done));
}

void
Worker::ApplyCacheEvents(const std::string& aEngine,
                         std::uint64_t aCursor,
                         const EngineCacheEvents& aEvents)
{
  std::uint64_t expected = aCursor + 1;
  for (const EngineCacheEvent& event : aEvents.m_events) {
    if (event.m_sequence != expected) {
      m_state.m_table.OnCacheGap(Now(), aEngine);
    }
    expected = event.m_sequence + 1;
    m_state.m_table.OnCacheEvent(Now(),
                                 aEngine,
                                 { .m_stored = event.m_stored,
                                   .m_prefix = MakePrefixKey(event.m_prefix),
                                   .m_tokens = event.m_tokens });
  }
  m_cacheCursor[aEngine] = aEvents.m_next;
}

// ---------------------------------------------------------------- crashes

void
Worker::CheckEngine(const std::string& aEngine,
                    const FlowPtr& aFlow,
                    ledger_event::AttemptFailed aFailure)
{
  auto crash = m_crashes.find(aEngine);
  if (crash != m_crashes.end()) {
    crash->second.emplace_back(aFlow, std::move(aFailure));
    return;
  }
  EngineCheck& check = m_checks[aEngine];
  check.m_failures.emplace_back(aFlow, std::move(aFailure));
  if (!check.m_running) {
    check.m_running = true;
    SendEngineCheck(aEngine);
  }
}

void
Worker::SendEngineCheck(const std::string& aEngine)
{
  m_checks[aEngine].m_call = m_state.m_engine.List(
    aEngine,
    [this, aEngine](const EngineResult<std::vector<EngineHolding>>& aResult) {
      OnEngineChecked(aEngine, aResult);
    });
}

/// Repeats the check if its connection broke, as the process may have been
/// about to end: only a refused connection or a list shows whether it crashed.
/// @returns false if aResult is final
bool
Worker::RepeatEngineCheck(
  const std::string& aEngine,
  const EngineResult<std::vector<EngineHolding>>& aResult)
{
  EngineCheck& check = m_checks[aEngine];
  const auto* error = std::get_if<EngineError>(&aResult);
  bool unclear = error != nullptr && error->m_fault == EngineFault::Broken;
  if (!unclear || ++check.m_tries >= kMaxEngineChecks) {
    return false;
  }
  Discard(std::move(check.m_call));
  m_state.m_loop.RunAfter(kEngineCheckInterval,
                          [this, aEngine] { SendEngineCheck(aEngine); });
  return true;
}

void
Worker::OnEngineChecked(const std::string& aEngine,
                        const EngineResult<std::vector<EngineHolding>>& aResult)
{
  if (RepeatEngineCheck(aEngine, aResult)) {
    return;
  }
  auto found = m_checks.find(aEngine);
  EngineCheck check = std::move(found->second);
  m_checks.erase(found);
  Discard(std::move(check.m_call));
  const auto* error = std::get_if<EngineError>(&aResult);
  bool processEnded =
    error != nullptr && error->m_fault == EngineFault::NotSent;
  bool restarted = error == nullptr && LostAllStreams(aEngine, aResult);
  bool unreachable = error != nullptr;
  if (processEnded || restarted) {
    OnEngineCrashed(aEngine, std::move(check.m_failures), unreachable);
    return;
  }
  FailAttempts(aEngine, check.m_failures, unreachable);
}

void
Worker::FailAttempts(const std::string& aEngine,
                     const Failures& aFailures,
                     bool aUnreachable)
{
  if (aUnreachable) {
    OnEngineDown(aEngine);
  }
  // The ledger ignores events of attempts that UpstreamLost() already failed.
  for (const auto& [flow, failure] : aFailures) {
    if (flow->m_open) {
      Apply(flow, failure);
    }
  }
}

/// Returns whether the engine holds none of the streams that it decoded for
/// this VM, which shows that it was restarted. If it still holds one, the
/// others may have been cancelled there.
bool
Worker::LostAllStreams(const std::string& aEngine,
                       const EngineResult<std::vector<EngineHolding>>& aResult)
{
  const auto& holdings = std::get<std::vector<EngineHolding>>(aResult);
  std::set<std::string> held;
  for (const EngineHolding& holding : holdings) {
    held.insert(holding.m_stream);
  }
  std::size_t lost = 0;
  for (const auto& [id, flow] : m_flows) {
    const FlowAttempt& attempt = flow->m_attempt;
    bool here = flow->m_model != nullptr && attempt.m_transferred &&
                attempt.m_placement.m_decodeEngine == aEngine;
    if (!here) {
      continue;
    }
    if (held.count(ToString(attempt.m_id)) != 0) {
      return false;
    }
    ++lost;
  }
  return lost > 0;
}

std::vector<std::string>
Worker::BatchFingerprints(const std::string& aEngine) const
{
  std::vector<std::string> batch;
  for (const BatchMember& member : m_state.m_ledger.MembersAt(aEngine)) {
    batch.push_back(member.m_fingerprint);
  }
  for (const auto& [id, flow] : m_flows) {
    bool prefills = flow->m_attempt.m_placement.m_prefillEngine == aEngine &&
                    !flow->m_attempt.m_transferred;
    if (flow->m_model != nullptr && prefills) {
      batch.push_back(flow->m_fingerprint);
    }
  }
  std::sort(batch.begin(), batch.end());
  batch.erase(std::unique(batch.begin(), batch.end()), batch.end());
  return batch;
}

void
Worker::OnEngineCrashed(const std::string& aEngine,
                        Failures aFailures,
                        bool aUnreachable)
{
  std::vector<std::string> batch = BatchFingerprints(aEngine);
  m_state.m_metrics.Count("engine_crashes_total", "");
  m_state.m_log.Write(LogEvent("engine_crashed", LogLevel::Warning)
                        .Add("engine", aEngine)
                        .Add("batch", static_cast<std::int64_t>(batch.size())));
  if (aUnreachable) {
    m_state.m_table.OnHealth(Now(), aEngine, false);
  }
  m_crashes[aEngine] = std::move(aFailures);
  auto done = [this, aEngine, aUnreachable](const CrashVerdict& aVerdict) {
    OnCrashVerdict(aEngine, aVerdict, aUnreachable);
  };
  m_state.m_suspects.ReportCrash(
    ServiceOf(*m_state.m_fleet, aEngine), aEngine, batch, std::move(done));
}

void
Worker::OnCrashVerdict(const std::string& aEngine,
                       const CrashVerdict& aVerdict,
                       bool aUnreachable)
{
  for (const std::string& convicted : aVerdict.m_convicted) {
    m_state.m_log.Write(LogEvent("request_quarantined", LogLevel::Warning)
                          .Add("fingerprint", convicted)
                          .Add("engine", aEngine));
    m_controlSink(
      AuditNote{ .m_kind = "quarantine",
                 .m_subject = convicted,
                 .m_cause = "crashed engine " + aEngine +
                            " while it was the only suspect there" });
  }
  // Another VM's report of the same crash may have convicted a request of this
  // VM.
  EndConvicted();
  m_state.m_cancels.OnUpstreamReset(aEngine);
  Failures failures = std::move(m_crashes[aEngine]);
  m_crashes.erase(aEngine);
  FailAttempts(aEngine, failures, aUnreachable);
}

void
Worker::EndConvicted()
{
  std::vector<FlowPtr> convicted;
  for (const auto& [id, flow] : m_flows) {
    if (m_state.m_poison.StatusOf(flow->m_fingerprint, Now()) ==
        PoisonStatus::Convicted) {
      convicted.push_back(flow);
    }
  }
  Error error(ErrorKind::Quarantined,
              "this request crashed the upstreams that ran it",
              "Change the request; sending it again as it is will be refused "
              "until its quarantine expires.");
  for (const FlowPtr& flow : convicted) {
    Apply(flow, ledger_event::Aborted{ error });
  }
}

void
Worker::OnEngineDown(const std::string& aEngine)
{
  m_failedPolls[aEngine] =
    std::max(m_failedPolls[aEngine], kFailedPollsForDown);
  m_state.m_log.Write(
    LogEvent("engine_down", LogLevel::Warning).Add("engine", aEngine));
  m_state.m_table.OnHealth(Now(), aEngine, false);
  if (m_crashes.count(aEngine) == 0) {
    Perform(m_state.m_ledger.UpstreamLost(aEngine, Now()));
  }
}

bool
Worker::IsServiceUp(const std::string& aService) const
{
  const ServiceEntry* service = m_state.m_fleet->FindService(aService);
  if (service == nullptr) {
    return false;
  }
  TimePoint now = Now();
  if (service->m_kind == ServiceKind::Plain) {
    return std::any_of(service->m_servers.begin(),
                       service->m_servers.end(),
                       [this, now](const PlainServer& aServer) {
                         return m_state.m_plain.Usable(aServer.m_address, now);
                       });
  }
  auto usable = [this, now](std::uint32_t aEngine) {
    const EngineFacts& facts = m_state.m_table.Engines()[aEngine];
    return facts.m_listed && facts.m_up && !facts.m_leaving;
  };
  for (EngineRole role : { EngineRole::Prefill, EngineRole::Decode }) {
    const auto& pool = m_state.m_table.Pool(aService, role);
    if (std::none_of(pool.begin(), pool.end(), usable)) {
      return false;
    }
  }
  return true;
}

// ---------------------------------------------------------------- cancels

void
Worker::SendDueCancels()
{
  std::vector<CancelCall> due = m_state.m_cancels.Due(Now(), kMaxCancelsAtOnce);
  for (const CancelCall& cancel : due) {
    SendCancel(cancel);
  }
}

void
Worker::SendCancel(const CancelCall& aCancel)
{
  std::uint64_t number = m_nextCancel++;
  auto done =
    [this, aCancel, number](const EngineResult<std::monostate>& aResult) {
      auto found = m_cancelCalls.find(number);
      if (found != m_cancelCalls.end()) {
        Discard(std::move(found->second));
        m_cancelCalls.erase(found);
      }
      if (std::holds_alternative<std::monostate>(aResult)) {
        m_state.m_cancels.OnConfirmed(aCancel.m_upstream, aCancel.m_stream);
      }
    };
  m_cancelCalls[number] = m_state.m_engine.Cancel(
    aCancel.m_upstream, ToString(aCancel.m_stream), std::move(done));
}

void
Worker::Discard(CallHandle aCall)
{
  std::vector<CallHandle> calls;
  calls.push_back(std::move(aCall));
  Discard(std::move(calls));
}

void
Worker::SetEngines(const FleetText& aFleet)
{
  m_engines = EngineAddresses(aFleet);
}

} // namespace shallotford
