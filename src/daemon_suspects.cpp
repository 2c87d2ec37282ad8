/// Calls between VMs about suspects, which are requests that may have crashed
/// an engine.

#include "daemon_suspects.h"

#include "config.h"

#include <memory>
#include <utility>

namespace shallotford {

namespace {

constexpr const char* kSuspectMethod = "suspect";
constexpr const char* kDigestCall = "digest";

} // namespace

SuspectCoordination::SuspectCoordination(PoisonTracker& aPoison,
                                         LoopI& aLoop,
                                         LogI& aLog,
                                         std::string aSelf,
                                         TlsFiles aTls)
  : m_poison(aPoison)
  , m_loop(aLoop)
  , m_log(aLog)
  , m_self(std::move(aSelf))
  , m_peer(aLoop, std::move(aTls))
{
}

void
SuspectCoordination::SetVms(std::vector<std::string> aListed,
                            std::vector<std::string> aLive)
{
  m_listed = std::move(aListed);
  m_live = std::move(aLive);
}

void
SuspectCoordination::Grant(const std::string& aService,
                           const std::string& aFingerprint,
                           const std::string& aEngine,
                           std::function<void(bool)> aDone)
{
  if (m_poison.StatusOf(aFingerprint, m_loop.Now()) != PoisonStatus::Suspect) {
    aDone(m_poison.Grant(aFingerprint, aEngine, m_loop.Now()));
    return;
  }
  auto done = [this, aFingerprint, aEngine, answer = std::move(aDone)](
                const std::optional<SuspectReply>& aReply) {
    answer(aReply ? aReply->m_granted
                  : m_poison.Grant(aFingerprint, aEngine, m_loop.Now()));
  };
  CallCoordinator(
    aService, SuspectCall::Grant(aFingerprint, aEngine), std::move(done));
}

void
SuspectCoordination::Move(const std::string& aService,
                          const std::string& aFingerprint,
                          const std::string& aFrom,
                          const std::string& aTo,
                          std::function<void(bool)> aDone)
{
  if (aFrom.empty()) {
    Grant(aService, aFingerprint, aTo, std::move(aDone));
    return;
  }
  // The first run ends before the second one is granted, so that a suspect
  // never runs at two engines.
  RunEnded(aService,
           aFingerprint,
           aFrom,
           false,
           [this, aService, aFingerprint, aTo, done = std::move(aDone)] {
             Grant(aService, aFingerprint, aTo, done);
           });
}

void
SuspectCoordination::RunEnded(const std::string& aService,
                              const std::string& aFingerprint,
                              const std::string& aEngine,
                              bool aComplete,
                              const std::function<void()>& aDone)
{
  auto done = [this, aFingerprint, aEngine, aComplete, aDone](
                const std::optional<SuspectReply>& aReply) {
    if (!aReply) {
      m_poison.OnRunEnded(aFingerprint, aEngine, aComplete, m_loop.Now());
    }
    if (aDone) {
      aDone();
    }
  };
  CallCoordinator(aService,
                  SuspectCall::RunEnded(aFingerprint, aEngine, aComplete),
                  std::move(done));
}

void
SuspectCoordination::ReportCrash(const std::string& aService,
                                 const std::string& aEngine,
                                 const std::vector<std::string>& aBatch,
                                 std::function<void(const CrashVerdict&)> aDone)
{
  auto done = [this, aEngine, aBatch, answer = std::move(aDone)](
                const std::optional<SuspectReply>& aReply) {
    answer(aReply ? aReply->m_verdict
                  : m_poison.OnCrash(aEngine, aBatch, m_loop.Now()));
  };
  CallCoordinator(
    aService, SuspectCall::Crash(aEngine, aBatch), std::move(done));
}

Json::Value
SuspectCoordination::Serve(const Json::Value& aCall)
{
  bool isDigest = aCall.isObject() && aCall["call"] == kDigestCall;
  if (isDigest) {
    if (!aCall["digest"].isString()) {
      throw Error(ErrorKind::InvalidRequest,
                  "malformed quarantine message: \"digest\" is missing",
                  "Run the same version of the daemon on both VMs.");
    }
    m_poison.Merge(aCall["digest"].asString(), m_loop.Now());
    return Json::Value(Json::objectValue);
  }
  Json::Value reply =
    m_poison.Serve(aCall, kMaxSuspectDigestBytes, m_loop.Now());
  bool convicts = !reply.get("convicted", Json::arrayValue).empty();
  if (convicts) {
    BroadcastDigest();
  }
  return reply;
}

void
SuspectCoordination::CallCoordinator(const std::string& aService,
                                     const Json::Value& aCall,
                                     Done aDone)
{
  std::string coordinator = SuspectCoordinator(aService, m_live);
  if (coordinator.empty() || coordinator == m_self) {
    aDone(ReadSuspectReply(Serve(aCall)));
    return;
  }
  auto waiting = std::make_shared<Done>(std::move(aDone));
  auto finish = [waiting](std::optional<SuspectReply> aReply) {
    Done done = std::exchange(*waiting, nullptr);
    if (done) {
      done(std::move(aReply));
    }
  };
  auto timer = m_loop.RunAfter(kSuspectTimeout, [this, finish, coordinator] {
    m_log.Write(
      LogEvent("coordinator_silent", LogLevel::Warning).Add("vm", coordinator));
    finish(std::nullopt);
  });
  m_peer.Call(coordinator,
              kSuspectMethod,
              aCall,
              [this, finish, waiting, timer](const PeerResult& aResult) {
                if (!*waiting) {
                  return;
                }
                m_loop.CancelTimer(timer);
                finish(ReadReply(aResult));
              });
}

std::optional<SuspectReply>
SuspectCoordination::ReadReply(const PeerResult& aResult)
{
  std::string reason;
  try {
    if (const auto* json = std::get_if<Json::Value>(&aResult)) {
      SuspectReply reply = ReadSuspectReply(*json);
      m_poison.Merge(reply.m_digest, m_loop.Now());
      return reply;
    }
    reason = std::get<PeerFailure>(aResult).m_reason;
  } catch (const Error& error) {
    reason = error.what();
  }
  m_log.Write(
    LogEvent("coordinator_failed", LogLevel::Warning).Add("reason", reason));
  return std::nullopt;
}

void
SuspectCoordination::BroadcastDigest()
{
  Json::Value call(Json::objectValue);
  call["call"] = kDigestCall;
  call["digest"] = m_poison.Digest(kMaxSuspectDigestBytes, m_loop.Now());
  for (const std::string& vm : m_listed) {
    if (vm != m_self) {
      m_peer.Call(vm, kSuspectMethod, call, [](const PeerResult&) {});
    }
  }
}

} // namespace shallotford
