/// Calls at engines that no request waits for.

#include "router_errands.h"

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
           .m_freshFor = kFreshForRepeatable,
           .m_headTimeout = aTimeout,
           .m_bodyTimeout = aTimeout };
}

class Errands::Errand : public UpstreamCallHandlerI
{
public:
  Errand(Errands& aOwner,
         const UpstreamEntry& aUpstream,
         const EngineCall& aCall,
         std::function<void(int)> aOnAnswer)
    : m_owner(aOwner)
    , m_target(aCall.m_target)
    , m_onAnswer(std::move(aOnAnswer))
    , m_call(aOwner.m_pool.Start(aUpstream,
                                 OptionsFor(aCall, kErrandTimeout),
                                 *this))
  {
  }

  void OnAnswerHead(const AnswerHead& aHead) override
  {
    if (m_onAnswer) {
      m_onAnswer(aHead.m_status);
    }
  }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { m_owner.Remove(this); }
  void OnCallFailed(AttemptEnd aEnd, const std::string& aReason) override
  {
    m_owner.m_log.Write(LogEvent("engine_call_failed")
                          .Add("target", m_target)
                          .Add("end", ToString(aEnd))
                          .Add("reason", aReason));
    m_owner.Remove(this);
  }

private:
  Errands& m_owner;
  std::string m_target;
  std::function<void(int)> m_onAnswer;
  std::unique_ptr<UpstreamCallI> m_call;
};

Errands::Errands(LoopI& aLoop, ConnectionPool& aPool, LogI& aLog)
  : m_loop(aLoop)
  , m_pool(aPool)
  , m_log(aLog)
{
}

Errands::~Errands() = default;

void
Errands::Send(const UpstreamEntry& aUpstream,
              const EngineCall& aCall,
              std::function<void(int)> aOnAnswer)
{
  auto errand =
    std::make_unique<Errand>(*this, aUpstream, aCall, std::move(aOnAnswer));
  m_errands.emplace(errand.get(), std::move(errand));
}

void
Errands::Remove(Errand* aErrand)
{
  auto found = m_errands.find(aErrand);
  if (found == m_errands.end()) {
    return;
  }
  m_loop.DestroyLater(std::move(found->second));
  m_errands.erase(found);
}

} // namespace shallotford
