/// RouterTask: callers' requests, periodic work, and the planned stop.

#include "router_task.h"

#include "config.h"

#include <ctime>

namespace shallotford {

namespace {

/// Returns how long this machine was suspended since its boot.
Duration
SuspendedTime()
{
  auto read = [](clockid_t aClock) {
    timespec time{};
    ::clock_gettime(aClock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

} // namespace

RouterTask::RouterTask(const RouterOptions& aOptions, const RouterParts& aParts)
  : m_options(aOptions)
  , m_loop(aParts.m_loop)
  , m_source(aParts.m_source)
  , m_decoder(aParts.m_decoder)
  , m_dialect(aParts.m_dialect)
  , m_log(aParts.m_log)
  , m_random(aParts.m_random)
  , m_pool(m_loop)
  , m_upstreams(aOptions.m_location, aOptions.m_adaptive)
  , m_admission(m_loop, aOptions.m_typicalRequest.m_outputTokens)
  , m_relays(aOptions.m_location)
  , m_engineCalls(m_loop,
                  m_pool,
                  m_log,
                  [this](const UpstreamKey& aKey, const AnswerHead& aHead) {
                    AnswerFacts facts = m_dialect.ReadAnswer(aHead);
                    if (facts.m_leaving && !facts.m_replaced) {
                      m_shared.OnLeaving(aKey);
                    }
                  })
  , m_shared{ .m_loop = m_loop,
              .m_dialect = m_dialect,
              .m_log = m_log,
              .m_pool = m_pool,
              .m_upstreams = m_upstreams,
              .m_metrics = m_metrics,
              .m_budgetOptions = aOptions.m_retryBudget,
              .m_startedAt = m_loop.Now(),
              .m_budgets = {},
              .m_prefillDelays = {},
              .m_liveVms = 1,
              .m_admission = m_admission,
              .m_engineCalls = m_engineCalls,
              .m_origins = m_origins,
              .m_versions = m_versions,
              .m_crashes = m_crashes,
              .m_permits = m_permits,
              .m_grants = m_grants,
              .m_relays = m_relays,
              .m_streamTimes = {},
              .m_routeMoves = {},
              .m_serviceLinks = {},
              .m_reachedAt = {} }
  , m_keys({ .m_dialect = m_dialect, .m_log = m_log, .m_metrics = m_metrics },
           aOptions.m_revoke,
           aOptions.m_changesWithin)
  , m_peers(aOptions.m_peerAddress, aOptions.m_seeds)
  , m_peerCalls(m_loop, {})
  , m_origins({ m_loop,
                m_peerCalls,
                m_peers,
                m_log,
                m_metrics,
                [this] { return PauseSinceTick() >= kMinDetectedPause; } })
  , m_versions({ m_loop,
                 m_source,
                 m_decoder,
                 m_origins,
                 m_log,
                 m_metrics,
                 m_directory,
                 m_options.m_heartbeat })
  , m_crashes({ m_loop, m_peerCalls, m_peers, m_log, m_metrics, m_random })
  , m_permits({ m_loop, m_peerCalls, m_peers, m_log, m_metrics })
  , m_grants({ m_loop,
               m_peerCalls,
               m_peers,
               m_log,
               m_metrics,
               MinAssumedVms(m_options.m_location),
               [this] { return PauseSinceTick() >= kMinDetectedPause; } })
  , m_intake(std::make_shared<Intake>(aOptions.m_maxIntake))
  , m_peerHandler([this](HttpExchangeI& aExchange, const HttpRequest& aCall) {
    aExchange.Respond(200,
                      { { "content-type", "application/json" } },
                      m_rpc.Handle(aCall.m_body));
  })
  , m_operatorHandler(
      [this](HttpExchangeI& aExchange, const HttpRequest& aCall) {
        OnOperator(aExchange, aCall);
      })
{
  m_rpc.AddMethod("directory", [this](const Json::Value& aParams) {
    return OnGossip(aParams);
  });
  m_rpc.AddMethod("stream_begun", [this](const Json::Value& aParams) {
    return m_origins.OnPublished(aParams);
  });
  m_rpc.AddMethod("stream_origin", [this](const Json::Value& aParams) {
    return m_origins.OnAsked(aParams);
  });
  m_rpc.AddMethod(kCrashReportMethod, [this](const Json::Value& aParams) {
    return m_crashes.OnReport(aParams);
  });
  m_rpc.AddMethod(kReportSpreadMethod, [this](const Json::Value& aParams) {
    return m_crashes.OnSpread(aParams);
  });
  m_rpc.AddMethod(kPermitMethod, [this](const Json::Value& aParams) {
    return m_permits.OnAsk(aParams);
  });
  m_rpc.AddMethod(kGrantMethod, [this](const Json::Value& aParams) {
    return m_grants.OnAsk(aParams);
  });
  m_crashes.OnConviction([this] {
    for (const auto& [key, request] : m_requests) {
      request->OnConviction();
    }
  });
}

RouterTask::~RouterTask()
{
  m_loop.CancelTimer(m_tickTimer);
  // Ends the remaining requests as if their callers had disconnected.
  m_callers.reset();
  m_relayListener.reset();
  m_requests.clear();
}

void
RouterTask::Start()
{
  Listen();
  m_origins.Start(m_options.m_firstStart);
  m_suspended = SuspendedTime();
  m_lastTick = m_loop.Now();
  m_sourceContactAt = m_lastTick;
  m_source.Start(*this);
  Tick();
}

void
RouterTask::Reload(const RouterOptions& aOptions)
{
  // Settings of the listeners take effect only at the next start.
  m_options.m_seeds = aOptions.m_seeds;
  for (const std::string& seed : aOptions.m_seeds) {
    m_peers.AddSeed(seed);
  }
  m_log.Write(
    LogEvent("settings_reloaded")
      .Add("seeds", static_cast<std::int64_t>(aOptions.m_seeds.size())));
}

// --------------------------------------------------------------- callers

void
RouterTask::OnHead(const RequestHead& aHead)
{
  const std::string* host = FindField(aHead.m_fields, "host");
  const Route* route =
    host == nullptr ? nullptr : m_routes.Find(*host, aHead.m_target);
  // Without a route or a configuration the complete request is refused.
  if (route == nullptr) {
    return;
  }
  try {
    m_keys.Judge(aHead, *route);
  } catch (const Error& error) {
    LogRejected(aHead, error);
    throw;
  }
}

void
RouterTask::OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest)
{
  Accept(aExchange, aRequest, false);
}

void
RouterTask::Accept(const CallerExchangePtr& aExchange,
                   CallerRequest& aRequest,
                   bool aRelayed)
{
  try {
    std::optional<RelayFacts> relayed;
    if (aRelayed) {
      relayed = TakeRelayFacts(aRequest.m_head.m_fields);
      CheckRelayed(*relayed);
    }
    StartRequest(aExchange, aRequest, relayed);
  } catch (const Error& error) {
    Reject(*aExchange, aRequest, error);
  }
}

void
RouterTask::StartRequest(const CallerExchangePtr& aExchange,
                         CallerRequest& aRequest,
                         const std::optional<RelayFacts>& aRelayed)
{
  if (m_routes.Config() == nullptr) {
    throw Error(ErrorKind::NotReady,
                "this VM has no configuration yet",
                "Send the request again after the time given.")
      .WithRetryAfter(kNoUpstreamRetryAfter);
  }
  const std::string* host = FindField(aRequest.m_head.m_fields, "host");
  const Route* route = m_routes.Find(*host, aRequest.m_head.m_target);
  if (route == nullptr) {
    throw Error(ErrorKind::NotFound,
                "no route matches host " + *host,
                "Use a host and path of the configuration.");
  }
  // The configuration may have changed since the head was read.
  const Organisation* organisation = aRelayed
                                       ? m_keys.FindRelayed(*aRelayed, *route)
                                       : m_keys.Judge(aRequest.m_head, *route);
  RequestFacts facts = m_dialect.ReadRequest(aRequest.m_head);
  RefuseWhileLeaving(*route, facts);
  if (!aExchange->ClaimRoom()) {
    throw Error(ErrorKind::Overloaded,
                "this VM has no room for the answer",
                "Send the request again after the time given.")
      .WithRetryAfter(kNoRoomRetryAfter);
  }
  auto key = std::make_shared<RoutedRequest*>(nullptr);
  auto request = std::make_unique<RoutedRequest>(
    m_shared,
    RoutedRequestOptions{ .m_exchange = aExchange,
                          .m_request = std::move(aRequest),
                          .m_facts = std::move(facts),
                          .m_routing = m_routes.Config(),
                          .m_route = route,
                          .m_organisation = organisation,
                          .m_relayed = aRelayed,
                          .m_onEnd = [this, key] { RemoveLater(key); } });
  *key = request.get();
  RoutedRequest& started = *request;
  m_requests.emplace(*key, std::move(request));
  started.Start();
}

void
RouterTask::RemoveLater(const std::shared_ptr<RoutedRequest*>& aKey)
{
  // The request calls this from its own event, so it is destroyed afterwards.
  m_loop.Post([this, aKey, alive = std::weak_ptr<bool>(m_alive)] {
    if (!alive.expired()) {
      m_requests.erase(*aKey);
    }
  });
}

void
RouterTask::RefuseWhileLeaving(const Route& aRoute,
                               const RequestFacts& aFacts) const
{
  if (!m_leaving) {
    return;
  }
  Duration since = m_loop.Now() - m_leavingSince;
  Duration left = m_options.m_drainTime - kDrainMargin - since;
  Duration expected = m_shared.m_streamTimes.Expected(
    aRoute,
    aFacts.m_deadline.value_or(aRoute.m_timeout),
    aFacts.m_outputTokens,
    m_loop.Now());
  if (since < kDrainAcceptTime && expected < left) {
    return;
  }
  throw Error(ErrorKind::ShuttingDown,
              "this VM is stopping",
              "Send the request again on a new connection.")
    .WithRetryAfter(kLeavingRetryAfter);
}

std::string
RouterTask::IdOf(const RequestHead& aHead) const
{
  try {
    return m_dialect.ReadRequest(aHead).m_id;
  } catch (const Error&) {
    return {}; // the request is rejected for a malformed field
  }
}

void
RouterTask::Reject(CallerExchangeI& aExchange,
                   const CallerRequest& aRequest,
                   const Error& aError)
{
  RespondError(aExchange, aError);
  LogRejected(aRequest.m_head, aError);
  CountRejected(aError);
}

void
RouterTask::LogRejected(const RequestHead& aHead, const Error& aError)
{
  m_log.Write(LogEvent("request_rejected")
                .Add("request", IdOf(aHead))
                .Add("target", aHead.m_target)
                .Add("code", ToString(aError.Kind()))
                .Add("reason", aError.what()));
}

void
RouterTask::CountRejected(const Error& aError)
{
  m_metrics.Count("rejected_total",
                  "code=\"" + std::string(ToString(aError.Kind())) + "\"");
}

void
RouterTask::OnBadRequest(const Error& aError)
{
  // OnHead() has logged what it refused.
  bool isLogged = aError.Kind() == ErrorKind::Unauthenticated ||
                  aError.Kind() == ErrorKind::NotReady;
  if (!isLogged) {
    m_log.Write(LogEvent("request_malformed")
                  .Add("code", ToString(aError.Kind()))
                  .Add("reason", aError.what()));
  }
  CountRejected(aError);
}

void
RouterTask::OnClose(CloseCause aCause)
{
  m_metrics.Count("caller_closes_total",
                  "cause=\"" + std::string(ToString(aCause)) + "\"");
}

void
RouterTask::OnDropped(CloseCause aCause, std::size_t aBytes)
{
  m_log.Write(LogEvent("caller_bytes_dropped")
                .Add("cause", ToString(aCause))
                .Add("bytes", static_cast<std::int64_t>(aBytes)));
  m_metrics.Count("caller_drops_total",
                  "cause=\"" + std::string(ToString(aCause)) + "\"");
}

CallerLimits
RouterTask::Limits() const
{
  return m_routes.Config() == nullptr ? CallerLimits{}
                                      : m_routes.Config()->m_limits;
}

// --------------------------------------------------------- periodic work

void
RouterTask::Tick()
{
  TimePoint now = m_loop.Now();
  DetectPause();
  m_lastTick = now;
  for (const UpstreamKey& key : m_upstreams.Expire(now)) {
    m_pool.CloseIdle(key);
    m_log.Write(LogEvent("upstream_gone").Add("upstream", key.m_id));
  }
  m_shared.m_liveVms =
    std::max(m_peers.LiveCount(now), MinAssumedVms(m_options.m_location));
  if (now - m_lastGossip >= kGossipPeriod) {
    m_lastGossip = now;
    Gossip();
  }
  m_keys.Tick();
  SeekProof();
  m_origins.Expire();
  m_shared.m_routeMoves.Expire(now);
  m_versions.Expire();
  m_crashes.Expire();
  m_permits.Expire();
  m_grants.Expire();
  m_relays.Expire(now);
  m_callers->Sweep();
  if (m_relayListener != nullptr) {
    m_relayListener->Sweep();
  }
  SetRoles();
  LogReadiness();
  if (m_leaving) {
    CheckDrained();
  }
  m_tickTimer =
    m_loop.RunAfter(m_leaving ? kLeavingTick : kRouterTick, [this] { Tick(); });
}

Duration
RouterTask::PauseSinceTick() const
{
  Duration late = m_loop.Now() - m_lastTick - kRouterTick;
  return std::max(SuspendedTime() - m_suspended, late);
}

void
RouterTask::DetectPause()
{
  Duration late = m_loop.Now() - m_lastTick - kRouterTick;
  Duration pause = PauseSinceTick();
  m_suspended = SuspendedTime();
  m_metrics.Observe(Latency::LoopDelay, std::max(late, Duration::zero()));
  if (late >= kLongLoopDelay) {
    m_log.Write(
      LogEvent("loop_held_up")
        .Add("delay", late)
        .Add("requests", static_cast<std::int64_t>(m_requests.size()))
        .Add("connections", static_cast<std::int64_t>(m_callers->Count())));
  }
  if (late >= kLongLoopDelay || pause >= kMinDetectedPause) {
    m_shared.m_heldUpAt = m_loop.Now();
  }
  if (pause < kMinDetectedPause) {
    return;
  }
  m_log.Write(LogEvent("paused", LogLevel::Warning).Add("pause", pause));
  m_permits.OnPause();
  m_grants.OnPause();
  m_origins.OnPause();
  for (auto& [service, links] : m_shared.m_serviceLinks) {
    links.Forget();
  }
  m_pool.CloseAllIdle();
}

void
RouterTask::LogReadiness()
{
  bool ready = IsReady();
  if (std::exchange(m_ready, ready) != ready) {
    m_log.Write(
      LogEvent("readiness")
        .Add("ready", ready ? "yes" : "no")
        .Add("upstreams", static_cast<std::int64_t>(m_upstreams.Size())));
  }
}

// ---------------------------------------------------------- planned stop

void
RouterTask::Drain(std::function<void()> aOnDrained, TimePoint aAskedAt)
{
  if (std::exchange(m_leaving, true)) {
    return;
  }
  m_leavingSince = std::min(aAskedAt, m_loop.Now());
  m_onDrained = std::move(aOnDrained);
  m_log.Write(
    LogEvent("drain_begins")
      .Add("requests", static_cast<std::int64_t>(m_requests.size()))
      .Add("connections", static_cast<std::int64_t>(m_callers->Count())));
}

void
RouterTask::CheckDrained()
{
  Duration since = m_loop.Now() - m_leavingSince;
  Duration end = m_options.m_drainTime - kDrainMargin;
  bool late = since >= end + kStopAnswerTime;
  if (since < std::min<Duration>(kDrainAcceptTime, end)) {
    return;
  }
  if (since >= end) {
    for (const auto& [key, request] : m_requests) {
      request->OnStop();
    }
  }
  m_callers->CloseIdle();
  if (m_relayListener != nullptr) {
    m_relayListener->CloseIdle();
  }
  if (!m_requests.empty() && !late) {
    return;
  }
  bool isConnected = m_callers->Count() > 0 || (m_relayListener != nullptr &&
                                                m_relayListener->Count() > 0);
  if (isConnected && !late) {
    return;
  }
  m_log.Write(
    LogEvent("drained")
      .Add("requests", static_cast<std::int64_t>(m_requests.size()))
      .Add("connections", static_cast<std::int64_t>(m_callers->Count())));
  if (auto onDrained = std::exchange(m_onDrained, nullptr)) {
    onDrained();
  }
}

std::unique_ptr<RouterI>
MakeRouter(const RouterOptions& aOptions, const RouterParts& aParts)
{
  return std::make_unique<RouterTask>(aOptions, aParts);
}

} // namespace shallotford
