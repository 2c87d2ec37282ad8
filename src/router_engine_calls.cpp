/// Background calls to engines' own APIs.

#include "router_engine_calls.h"

#include "config.h"

namespace shallotford {

UpstreamCallOptions
OptionsFor(const EngineCall& aCall, std::chrono::milliseconds aTimeout)
{
  HttpHeaders fields = aCall.m_fields;
  if (!aCall.m_body.empty()) {
    fields.push_back({ "Content-Length", std::to_string(aCall.m_body.size()) });
  }
  return { .m_head = WriteRequestHead(aCall.m_method, aCall.m_target, fields),
           .m_body = std::make_shared<const std::string>(aCall.m_body),
           .m_maxReuseIdle = kMaxReuseIdleRepeatable,
           .m_headTimeout = aTimeout,
           .m_bodyTimeout = aTimeout,
           .m_wholeTimeout = aTimeout };
}

class EngineCalls::PendingCall : public UpstreamCallHandlerI
{
public:
  PendingCall(EngineCalls& aOwner,
              const UpstreamEntry& aUpstream,
              const EngineCall& aCall,
              std::function<void(int)> aOnAnswer)
    : m_owner(aOwner)
    , m_upstream(aUpstream.m_key)
    , m_target(aCall.m_target)
    , m_onAnswer(std::move(aOnAnswer))
    , m_call(aOwner.m_pool.Start(aUpstream,
                                 OptionsFor(aCall, kEngineCallTimeout),
                                 *this))
  {
  }

  void OnAnswerHead(const AnswerHead& aHead) override
  {
    if (m_owner.m_onHead) {
      m_owner.m_onHead(m_upstream, aHead);
    }
    if (m_onAnswer) {
      m_onAnswer(aHead.m_status);
    }
  }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { m_owner.Remove(this); }
  void OnCallFailed(const CallFailure& aFailure) override
  {
    m_owner.m_log.Write(LogEvent("engine_call_failed")
                          .Add("target", m_target)
                          .Add("end", ToString(aFailure.m_end))
                          .Add("reason", aFailure.m_reason));
    m_owner.Remove(this);
  }

private:
  EngineCalls& m_owner;
  UpstreamKey m_upstream;
  std::string m_target;
  std::function<void(int)> m_onAnswer;
  std::unique_ptr<UpstreamCallI> m_call;
};

EngineCalls::EngineCalls(LoopI& aLoop,
                         ConnectionPool& aPool,
                         LogI& aLog,
                         OnHead aOnHead)
  : m_loop(aLoop)
  , m_pool(aPool)
  , m_log(aLog)
  , m_onHead(std::move(aOnHead))
{
}

EngineCalls::~EngineCalls() = default;

void
EngineCalls::Send(const UpstreamEntry& aUpstream,
                  const EngineCall& aCall,
                  std::function<void(int)> aOnAnswer)
{
  auto call = std::make_unique<PendingCall>(
    *this, aUpstream, aCall, std::move(aOnAnswer));
  m_calls.emplace(call.get(), std::move(call));
}

void
EngineCalls::Remove(PendingCall* aCall)
{
  auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return;
  }
  m_loop.DestroyLater(std::move(found->second));
  m_calls.erase(found);
}

} // namespace shallotford
