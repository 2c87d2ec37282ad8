/// The filter for calls that must not be repeated: one VM decides for each
/// ticket whether its call runs.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_plain.h"
#include "daemon_worker.h"

namespace shallotford {

namespace {

class TicketFilter : public FilterI
{
public:
  explicit TicketFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "ticket"; }

  void Start(const FlowPtr& aFlow) override
  {
    const std::string* key =
      FindHeader(aFlow->m_http.m_headers, "idempotency-key");
    if (aFlow->m_repeatable || key == nullptr) {
      Open(aFlow);
      return;
    }
    Decide(aFlow, *key);
  }

private:
  void Open(const FlowPtr& aFlow)
  {
    m_worker.Open(
      aFlow,
      { .m_service = aFlow->m_service->m_name,
        .m_caller = aFlow->m_caller,
        .m_fingerprint = aFlow->m_fingerprint,
        .m_model = false,
        .m_repeatable = aFlow->m_repeatable,
        .m_deadline = aFlow->m_receivedAt + aFlow->m_service->m_deadline });
    m_worker.Next(aFlow);
  }

  void Decide(const FlowPtr& aFlow, const std::string& aKey)
  {
    WorkerState& state = m_worker.State();
    TicketPeers peers{ .m_listed = { state.m_vms.begin(), state.m_vms.end() },
                       .m_successions = state.m_successions };
    TicketDecision decision =
      state.m_tickets.Decide({ .m_ticket = aKey,
                               .m_caller = aFlow->m_caller,
                               .m_fingerprint = aFlow->m_fingerprint,
                               .m_forwarded = aFlow->m_forwarded },
                             peers,
                             m_worker.Now());
    state.m_metrics.Count("tickets_decided_total",
                          "step=\"" + std::string(ToString(decision.m_step)) +
                            "\"");
    switch (decision.m_step) {
      case TicketStep::Run:
        aFlow->m_ticket = decision.m_ticket;
        Open(aFlow);
        return;
      case TicketStep::Forward:
        Forward(aFlow, decision.m_forwardTo);
        return;
      case TicketStep::Wait:
        m_worker.WaitForTicket(aFlow, decision.m_ticket);
        return;
      case TicketStep::Replay:
        Replay(*aFlow, *decision.m_answer);
        return;
      case TicketStep::Refuse:
        m_worker.Refuse(aFlow, *decision.m_error);
        return;
    }
  }

  static void Replay(Flow& aFlow, const KeptAnswer& aAnswer)
  {
    HttpHeaders headers{ { "x-replayed", "1" } };
    if (!aAnswer.m_contentType.empty()) {
      headers.push_back({ "content-type", aAnswer.m_contentType });
    }
    aFlow.m_exchange->Respond(aAnswer.m_status, headers, aAnswer.m_body);
  }

  void Forward(const FlowPtr& aFlow, const std::string& aIssuer)
  {
    HttpCall call{ .m_method = aFlow->m_http.m_method,
                   .m_address = aIssuer,
                   .m_path = "/forward" + aFlow->m_http.m_path,
                   .m_headers = PassedHeaders(aFlow->m_http.m_headers),
                   .m_body = aFlow->m_http.m_body,
                   .m_headersTimeout = kForwardTimeout };
    if (!aFlow->m_http.m_query.empty()) {
      call.m_path += '?' + aFlow->m_http.m_query;
    }
    call.m_headers.push_back({ "x-caller", aFlow->m_caller });
    call.m_tls = m_worker.PeerTls();
    auto done = [this, aFlow](const HttpResult& aResult) {
      OnForwarded(aFlow, aResult);
    };
    aFlow->m_attempt.m_calls.push_back(
      m_worker.State().m_loop.Client().FetchWhole(std::move(call),
                                                  std::move(done)));
  }

  void OnForwarded(const FlowPtr& aFlow, const HttpResult& aResult)
  {
    m_worker.Discard(std::move(aFlow->m_attempt.m_calls));
    if (aResult.m_failure) {
      bool mayHaveArrived =
        aResult.m_failure->m_progress != CallProgress::NotSent;
      m_worker.Refuse(aFlow, ForwardFailed(mayHaveArrived));
      return;
    }
    const HttpReply& reply = *aResult.m_reply;
    aFlow->m_exchange->Respond(
      reply.m_status, PassedHeaders(reply.m_headers), reply.m_body);
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakeTicketFilter(Worker& aWorker)
{
  return std::make_unique<TicketFilter>(aWorker);
}

} // namespace shallotford
