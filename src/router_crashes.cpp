/// CrashReports: this VM's evidence of crashes, and its exchange with others.

#include "router_crashes.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Stands for the upstream of a run where it doesn't matter.
constexpr const char* kAnyUpstream = "any";

std::string
NameOf(const UpstreamKey& aUpstream)
{
  return aUpstream.m_id + "/" + std::to_string(aUpstream.m_startedMs);
}

} // namespace

std::vector<std::string>
TraitsOf(const std::string& aService,
         const CallerRequest& aRequest,
         const RequestFacts& aFacts)
{
  const std::string& body = *aRequest.m_body;
  std::vector<std::string> traits{ Hex(
    StableHash(aService + "\n" + aRequest.m_head.m_method + " " +
               aRequest.m_head.m_target + "\n" + body)) };
  for (std::size_t i = 0; i + 1 < aFacts.m_promptParts.size(); ++i) {
    traits.push_back(
      Hex(StableHash(aService + "\npart\n" + aFacts.m_promptParts[i])));
  }
  return traits;
}

CrashReports::CrashReports(const CrashReportsParts& aParts)
  : m_parts(aParts)
  , m_tracker({ .m_suspectLifetime = kCrashEvidenceLifetime,
                .m_convictLifetime = kConvictionLifetime,
                .m_convictingCrashes = kConvictingCrashes,
                .m_convictingLateCrashes = kConvictingLateCrashes,
                .m_runStart = kRunStartTime,
                .m_lateConvictLifetime = kLateConvictionLifetime })
  , m_issuer(Hex(aParts.m_random.Next()))
{
}

bool
CrashReports::IsConvicted(const std::vector<std::string>& aTraits) const
{
  return m_tracker.IsConvicted(aTraits, m_parts.m_loop.Now());
}

Duration
CrashReports::ConvictedFor(const std::vector<std::string>& aTraits) const
{
  return m_tracker.ConvictedFor(aTraits, m_parts.m_loop.Now());
}

void
CrashReports::OnRunBroken(const UpstreamKey& aUpstream,
                          const std::vector<std::string>& aTraits,
                          std::optional<std::chrono::milliseconds> aAge)
{
  if (aAge && !WeighsLateCrashes()) {
    return;
  }
  Batch batch = BatchOf(aTraits, aAge);
  TimePoint now = m_parts.m_loop.Now();
  std::string upstream = NameOf(aUpstream);
  m_crashedAt.try_emplace(upstream, now);
  CrashVerdict verdict =
    m_tracker.OnCrash(upstream, batch.m_traits, now, batch.m_begun);
  NoteConvictions("own");
  if (m_unreported.empty()) {
    // The connections to a crashed upstream end within some milliseconds.
    m_parts.m_loop.RunAfter(kCrashReportDelay,
                            [this, alive = std::weak_ptr<bool>(m_alive)] {
                              if (!alive.expired()) {
                                SendCrashes();
                              }
                            });
  }
  Collect(batch, verdict, m_unreported[upstream]);
}

bool
CrashReports::WeighsLateCrashes() const
{
  return m_parts.m_peers.Reachable(m_parts.m_loop.Now()).size() <=
         kMaxDirectReportPeers;
}

CrashReports::Batch
CrashReports::BatchOf(const std::vector<std::string>& aTraits,
                      std::optional<std::chrono::milliseconds> aAge)
{
  Batch batch;
  if (!aAge) {
    batch.m_traits = aTraits;
    return batch;
  }
  for (const std::string& trait : aTraits) {
    bool isWhole = &trait == &aTraits.front();
    batch.m_begun[trait] = { .m_age = *aAge, .m_isWhole = isWhole };
  }
  return batch;
}

void
CrashReports::Collect(const Batch& aBatch,
                      const CrashVerdict& aVerdict,
                      Batch& aUnreported)
{
  const std::vector<std::string>& sound = aVerdict.m_sound;
  auto isSound = [&](const std::string& aTrait) {
    return aVerdict.m_outlived.contains(aTrait) ||
           std::find(sound.begin(), sound.end(), aTrait) != sound.end();
  };
  for (const std::string& trait : aBatch.m_traits) {
    if (!isSound(trait)) {
      aUnreported.m_traits.push_back(trait);
    }
  }
  for (const auto& [trait, run] : aBatch.m_begun) {
    if (!isSound(trait)) {
      BegunTrait& oldest =
        aUnreported.m_begun.try_emplace(trait, run).first->second;
      oldest.m_age = std::max(oldest.m_age, run.m_age);
    }
  }
}

void
CrashReports::OnRunGoesOn(const std::vector<std::string>& aTraits,
                          std::chrono::milliseconds aAge)
{
  if (!WeighsLateCrashes()) {
    return;
  }
  TimePoint now = m_parts.m_loop.Now();
  bool isNamed = false;
  for (std::size_t i = 0; i < aTraits.size(); ++i) {
    // As in OnRunComplete().
    bool matters = i > 0 || m_tracker.IsNamed(aTraits[i]);
    if (matters && m_tracker.OnRunGoesOn(aTraits[i], aAge, now)) {
      isNamed = true;
      SendToAll(SuspectCall::RunGoesOn(aTraits[i], kAnyUpstream, aAge));
    }
  }
  if (isNamed) {
    NoteConvictions("own");
  }
}

void
CrashReports::OnRunSilent(const UpstreamPtr& aUpstream,
                          const std::vector<std::string>& aTraits,
                          TimePoint aSentAt)
{
  Duration rest = aSentAt + kMaxSoundSilence - m_parts.m_loop.Now();
  auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(rest, Duration::zero()));
  m_parts.m_loop.RunAfter(
    delay,
    [this, aUpstream, aTraits, aSentAt, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired() && !aUpstream->m_health.HasAnsweredSince(aSentAt)) {
        OnRunBroken(aUpstream->m_entry.m_key, aTraits);
      }
    });
}

void
CrashReports::SendCrashes()
{
  for (const auto& [upstream, batch] : std::exchange(m_unreported, {})) {
    m_parts.m_log.Write(
      LogEvent("upstream_crash", LogLevel::Warning)
        .Add("upstream", upstream)
        .Add("traits", static_cast<std::int64_t>(batch.m_traits.size()))
        .Add("begun", static_cast<std::int64_t>(batch.m_begun.size())));
    m_parts.m_metrics.Count("upstream_crashes_total", "");
    SendToAll(SuspectCall::Crash(upstream, batch.m_traits, batch.m_begun));
  }
}

void
CrashReports::OnRunComplete(const UpstreamKey& aUpstream,
                            const std::vector<std::string>& aTraits)
{
  TimePoint now = m_parts.m_loop.Now();
  std::vector<std::string> named;
  for (std::size_t i = 0; i < aTraits.size(); ++i) {
    bool isNamed = m_tracker.IsNamed(aTraits[i]);
    // Whole requests seldom come twice, so they are remembered as sound only
    // while they are suspected.
    if (i > 0 || isNamed) {
      m_tracker.OnRunEnded(aTraits[i], NameOf(aUpstream), true, now);
    }
    if (isNamed) {
      named.push_back(aTraits[i]);
    }
  }
  ReportSound(named);
  if (!named.empty()) {
    NoteConvictions("own");
  }
}

void
CrashReports::ReportSound(const std::vector<std::string>& aTraits)
{
  for (const std::string& trait : aTraits) {
    SendToAll(SuspectCall::RunEnded(trait, kAnyUpstream, true));
  }
}

void
CrashReports::OnAnswer(const UpstreamKey& aUpstream, TimePoint aSentAt)
{
  if (m_crashedAt.empty()) {
    return;
  }
  std::string upstream = NameOf(aUpstream);
  auto crashed = m_crashedAt.find(upstream);
  // An answer to an earlier request may have been on its way.
  if (crashed == m_crashedAt.end() || aSentAt <= crashed->second) {
    return;
  }
  m_crashedAt.erase(crashed);
  m_tracker.OnEngineAlive(upstream, m_parts.m_loop.Now());
  m_parts.m_log.Write(
    LogEvent("upstream_alive").Add("upstream", upstream).Add("from", "own"));
  NoteConvictions("own");
  SendToAll(SuspectCall::EngineAlive(upstream));
}

void
CrashReports::OnConviction(std::function<void()> aCallback)
{
  m_onConviction = std::move(aCallback);
}

void
CrashReports::Expire()
{
  m_tracker.Expire(m_parts.m_loop.Now());
  m_spread.Expire(m_parts.m_loop.Now());
  std::erase_if(m_crashedAt, [this](const auto& aEntry) {
    return !m_tracker.HasCrashed(aEntry.first);
  });
  NoteConvictions("expiry");
}

std::string
CrashReports::Digest() const
{
  return m_tracker.Size() == 0
           ? std::string()
           : m_tracker.Digest(kMaxCrashDigestBytes, m_parts.m_loop.Now());
}

void
CrashReports::Merge(const std::string& aDigest)
{
  m_tracker.Merge(aDigest, m_parts.m_loop.Now());
  NoteConvictions("peer");
}

Json::Value
CrashReports::OnReport(const Json::Value& aCall)
{
  TimePoint now = m_parts.m_loop.Now();
  Json::Value reply = m_tracker.Serve(aCall, kMaxCrashDigestBytes, now);
  NoteCrashed(aCall["engine"].asString());
  NoteConvictions("peer");
  return reply;
}

void
CrashReports::NoteCrashed(const std::string& aUpstream)
{
  if (m_tracker.HasCrashed(aUpstream)) {
    m_crashedAt.try_emplace(aUpstream, m_parts.m_loop.Now());
  } else {
    m_crashedAt.erase(aUpstream);
  }
}

void
CrashReports::SendToAll(const Json::Value& aCall, std::string aId)
{
  std::vector<std::string> peers =
    m_parts.m_peers.Reachable(m_parts.m_loop.Now());
  if (peers.size() > kMaxDirectReportPeers) {
    if (aId.empty()) {
      aId = m_issuer + "/" + std::to_string(++m_lastReport);
    }
    Spread({ .m_id = std::move(aId), .m_call = aCall });
    return;
  }
  for (const std::string& peer : peers) {
    Send(peer, aCall, kCrashReportTries);
  }
}

void
CrashReports::Spread(const SpreadReport& aReport)
{
  if (m_spread.Add(aReport, m_parts.m_loop.Now())) {
    ArmRound();
  }
}

void
CrashReports::ArmRound()
{
  if (m_spread.IsEmpty() || std::exchange(m_hasRound, true)) {
    return;
  }
  m_parts.m_loop.RunAfter(kReportRoundPeriod,
                          [this, alive = std::weak_ptr<bool>(m_alive)] {
                            if (!alive.expired()) {
                              SendRound();
                            }
                          });
}

void
CrashReports::SendRound()
{
  m_hasRound = false;
  Json::Value reports(Json::arrayValue);
  for (const SpreadReport& report : m_spread.NextRound()) {
    Json::Value entry(Json::arrayValue);
    entry.append(report.m_id);
    entry.append(report.m_call);
    reports.append(std::move(entry));
  }
  Json::Value params(Json::objectValue);
  params["reports"] = std::move(reports);
  std::vector<std::string> peers =
    m_parts.m_peers.Reachable(m_parts.m_loop.Now());
  for (std::size_t i = 0; i < kReportFanout && !peers.empty(); ++i) {
    std::size_t chosen = m_parts.m_random.Below(peers.size());
    std::swap(peers.at(chosen), peers.back());
    m_parts.m_peerCalls.Call(
      peers.back(),
      kReportSpreadMethod,
      params,
      [this, alive = std::weak_ptr<bool>(m_alive)](const PeerResult& aResult) {
        // Other VMs pass the reports on, too.
        if (!alive.expired() && std::holds_alternative<PeerFailure>(aResult)) {
          m_parts.m_metrics.Count("crash_report_failures_total", "");
        }
      });
    peers.pop_back();
  }
  ArmRound();
}

Json::Value
CrashReports::OnSpread(const Json::Value& aParams)
{
  const Json::Value& reports = aParams["reports"];
  if (!reports.isArray()) {
    throw RpcError(kRpcInvalidParams, "\"reports\" is no list");
  }
  std::size_t malformed = 0;
  std::size_t read = 0;
  m_tracker.BeginReports();
  for (const Json::Value& entry : reports) {
    if (++read > kMaxReportsPerRound) {
      break;
    }
    bool hasFields = entry.isArray() && entry.size() == 2 &&
                     entry[0].isString() &&
                     entry[0].asString().size() <= kMaxReportIdBytes;
    try {
      if (hasFields) {
        TakeReport({ .m_id = entry[0].asString(), .m_call = entry[1] });
      }
    } catch (const Error&) {
      hasFields = false;
    }
    malformed += hasFields ? 0 : 1;
  }
  m_tracker.EndReports(m_parts.m_loop.Now());
  if (malformed > 0) {
    m_parts.m_metrics.Count("reports_malformed_total", "", malformed);
  }
  NoteConvictions("peer");
  return Json::Value(Json::objectValue);
}

void
CrashReports::TakeReport(const SpreadReport& aReport)
{
  if (m_spread.IsKnown(aReport.m_id)) {
    return;
  }
  CrashVerdict verdict = m_tracker.Apply(aReport.m_call, m_parts.m_loop.Now());
  NoteCrashed(aReport.m_call["engine"].asString());
  Spread(aReport);
  // A VM that ran a trait whole tells all, since the one that suspects it may
  // not know. All that do so make one report.
  for (const std::string& trait : verdict.m_sound) {
    if (m_tracker.IsNamed(trait)) {
      SendToAll(SuspectCall::RunEnded(trait, kAnyUpstream, true),
                aReport.m_id + "/" + trait);
    }
  }
  for (const auto& [trait, age] : verdict.m_outlived) {
    if (m_tracker.IsNamed(trait)) {
      SendToAll(SuspectCall::RunGoesOn(trait, kAnyUpstream, age),
                aReport.m_id + "/" + trait);
    }
  }
}

void
CrashReports::Send(const std::string& aPeer,
                   const Json::Value& aCall,
                   std::uint32_t aTries)
{
  m_parts.m_peerCalls.Call(
    aPeer,
    kCrashReportMethod,
    aCall,
    [this, aPeer, aCall, aTries, alive = std::weak_ptr<bool>(m_alive)](
      const PeerResult& aResult) {
      if (alive.expired()) {
        return;
      }
      if (const auto* failure = std::get_if<PeerFailure>(&aResult)) {
        OnSendFailed(aPeer, aCall, aTries - 1, failure->m_reason);
        return;
      }
      try {
        OnReply(std::get<Json::Value>(aResult));
      } catch (const Error& error) {
        OnSendFailed(aPeer, aCall, 0, error.what());
      }
    });
}

void
CrashReports::OnReply(const Json::Value& aReply)
{
  SuspectReply reply = ReadSuspectReply(aReply);
  std::vector<std::string> sound;
  for (const std::string& trait : reply.m_verdict.m_sound) {
    if (m_tracker.IsNamed(trait)) {
      m_tracker.OnRunEnded(trait, kAnyUpstream, true, m_parts.m_loop.Now());
      sound.push_back(trait);
    }
  }
  ReportSound(sound);
  for (const auto& [trait, age] : reply.m_verdict.m_outlived) {
    if (m_tracker.OnRunGoesOn(trait, age, m_parts.m_loop.Now())) {
      SendToAll(SuspectCall::RunGoesOn(trait, kAnyUpstream, age));
    }
  }
  Merge(reply.m_digest);
}

void
CrashReports::OnSendFailed(const std::string& aPeer,
                           const Json::Value& aCall,
                           std::uint32_t aTriesLeft,
                           const std::string& aReason)
{
  m_parts.m_metrics.Count("crash_report_failures_total", "");
  m_parts.m_log.Write(LogEvent("crash_report_failed", LogLevel::Debug)
                        .Add("peer", aPeer)
                        .Add("tries_left", std::int64_t{ aTriesLeft })
                        .Add("reason", aReason));
  if (aTriesLeft == 0) {
    return;
  }
  m_parts.m_loop.RunAfter(
    kCrashReportRetryDelay,
    [this, aPeer, aCall, aTriesLeft, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        Send(aPeer, aCall, aTriesLeft);
      }
    });
}

void
CrashReports::NoteConvictions(std::string_view aFrom)
{
  std::vector<std::string> listed = m_tracker.Convicted(m_parts.m_loop.Now());
  std::set<std::string> convicted(listed.begin(), listed.end());
  if (convicted == m_convicted) {
    return;
  }
  bool isMore = false;
  auto log = [&](std::string_view aEvent, const std::string& aTraits) {
    m_parts.m_log.Write(LogEvent(aEvent, LogLevel::Warning)
                          .Add("traits", aTraits)
                          .Add("from", aFrom));
    m_parts.m_metrics.Count(std::string(aEvent) + "s_total", "");
  };
  for (const std::string& traits : convicted) {
    if (!m_convicted.contains(traits)) {
      isMore = true;
      log("crash_conviction", traits);
    }
  }
  for (const std::string& traits : m_convicted) {
    if (!convicted.contains(traits)) {
      log("crash_acquittal", traits);
    }
  }
  m_convicted = std::move(convicted);
  if (isMore && m_onConviction) {
    m_parts.m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        m_onConviction();
      }
    });
  }
}

} // namespace shallotford
