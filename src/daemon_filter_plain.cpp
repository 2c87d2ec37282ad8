/// Filters for calls of plain services: they choose a server, call it and
/// return its answer.

#include "config.h"
#include "daemon_claim.h"
#include "daemon_filters.h"
#include "daemon_plain.h"
#include "daemon_worker.h"

#include <algorithm>
#include <limits>

namespace shallotford {

namespace {

bool
IsExcluded(const Flow& aFlow, const std::string& aServer)
{
  const auto& excluded = aFlow.m_attempt.m_excluded;
  return std::find(excluded.begin(), excluded.end(), aServer) != excluded.end();
}

class PlacePlainFilter : public FilterI
{
public:
  explicit PlacePlainFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return kPlaceFilter; }

  void Start(const FlowPtr& aFlow) override
  {
    std::uint32_t number = aFlow->m_attempt.m_id.m_attempt;
    const PlainServer* server = Choose(*aFlow, true);
    if (server == nullptr) {
      // Each usable server has failed this request before, so one of them is
      // tried again.
      server = Choose(*aFlow, false);
    }
    if (server == nullptr) {
      Error error(ErrorKind::NoUpstream,
                  "no server of service \"" + aFlow->m_service->m_name +
                    "\" is up",
                  "Send the request again after the time in Retry-After.");
      error.WithRetryAfter(kPlainRetryAfter);
      m_worker.Apply(
        aFlow,
        ledger_event::NotPlaced{ .m_attempt = number, .m_error = error });
      return;
    }
    m_worker.Apply(aFlow,
                   ledger_event::Placed{ .m_attempt = number,
                                         .m_prefill = "",
                                         .m_upstream = server->m_address });
    aFlow->m_attempt.m_placement.m_decodeEngine = server->m_address;
    m_worker.Next(aFlow);
  }

private:
  /// Chooses the usable server with the fewest running calls of this VM, where
  /// one in another region counts as having kOtherRegionPenaltyCalls more. Ties
  /// are broken at random.
  /// @param aSkipExcluded  leave out servers that failed this request
  const PlainServer* Choose(const Flow& aFlow, bool aSkipExcluded)
  {
    WorkerState& state = m_worker.State();
    const PlainServer* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const PlainServer& server : aFlow.m_service->m_servers) {
      bool usable = state.m_plain.Usable(server.m_address, m_worker.Now());
      if (!usable || (aSkipExcluded && IsExcluded(aFlow, server.m_address))) {
        continue;
      }
      bool sameRegion = server.m_region == state.m_options.m_settings.m_region;
      double cost =
        static_cast<double>(state.m_plain.Running(server.m_address));
      cost += sameRegion ? 0 : kOtherRegionPenaltyCalls;
      cost += state.m_random.Unit() * 0.5;
      if (cost < bestCost) {
        bestCost = cost;
        best = &server;
      }
    }
    return best;
  }

  Worker& m_worker;
};

class CallPlainFilter : public FilterI
{
public:
  explicit CallPlainFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "call"; }

  void Start(const FlowPtr& aFlow) override
  {
    std::uint32_t number = aFlow->m_attempt.m_id.m_attempt;
    std::string server = aFlow->m_attempt.m_placement.m_decodeEngine;
    m_worker.Apply(
      aFlow, ledger_event::Sent{ .m_attempt = number, .m_upstream = server });
    WorkerState& state = m_worker.State();
    state.m_plain.OnStarted(server);
    aFlow->m_attempt.m_plainServer = server;
    auto done = [this, aFlow, number, server](const HttpResult& aResult) {
      if (!IsCurrent(*aFlow, number)) {
        return;
      }
      m_worker.State().m_plain.OnEnded(server);
      aFlow->m_attempt.m_plainServer.clear();
      OnDone(aFlow, server, aResult);
    };
    aFlow->m_attempt.m_calls.push_back(state.m_loop.Client().FetchWhole(
      PlainCall(*aFlow, server, m_worker.Now()), std::move(done)));
  }

private:
  void OnDone(const FlowPtr& aFlow,
              const std::string& aServer,
              const HttpResult& aResult)
  {
    if (aResult.m_failure) {
      Fail(aFlow, aServer, *aResult.m_failure);
      return;
    }
    const HttpReply& reply = *aResult.m_reply;
    WorkerState& state = m_worker.State();
    state.m_plain.OnAnswered(aServer);
    if (FindHeader(reply.m_headers, "x-leaving") != nullptr) {
      state.m_plain.OnLeaving(aServer, m_worker.Now());
      m_worker.ReportLeaving(aServer, true);
    }
    const std::string* run = FindHeader(reply.m_headers, "x-run");
    if (run != nullptr && *run == "no") {
      FailNotRun(aFlow, aServer, reply);
      return;
    }
    m_worker.Deliver(
      aFlow, reply.m_status, PassedHeaders(reply.m_headers), reply.m_body);
  }

  void Fail(const FlowPtr& aFlow,
            const std::string& aServer,
            const HttpFailure& aFailure)
  {
    bool notSent = aFailure.m_progress == CallProgress::NotSent;
    m_worker.State().m_plain.OnFailed(aServer, m_worker.Now());
    ledger_event::AttemptFailed failed{
      .m_attempt = aFlow->m_attempt.m_id.m_attempt,
      .m_upstream = aServer,
      .m_cause = notSent ? FailureCause::Unreachable : FailureCause::Lost,
      .m_progress = notSent ? SendProgress::NotSent : SendProgress::Sent,
      .m_detail = aFailure.m_reason,
      .m_retryAfter = {},
    };
    m_worker.Apply(aFlow, std::move(failed));
  }

  void FailNotRun(const FlowPtr& aFlow,
                  const std::string& aServer,
                  const HttpReply& aReply)
  {
    ledger_event::AttemptFailed failed{
      .m_attempt = aFlow->m_attempt.m_id.m_attempt,
      .m_upstream = aServer,
      .m_cause = FailureCause::Refused,
      .m_progress = SendProgress::Answered,
      .m_detail = "status " + std::to_string(aReply.m_status),
      .m_retryAfter = {},
    };
    m_worker.Apply(aFlow, std::move(failed));
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakePlacePlainFilter(Worker& aWorker)
{
  return std::make_unique<PlacePlainFilter>(aWorker);
}

std::unique_ptr<FilterI>
MakeCallPlainFilter(Worker& aWorker)
{
  return std::make_unique<CallPlainFilter>(aWorker);
}

} // namespace shallotford
