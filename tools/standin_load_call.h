#ifndef SHALLOTFORD_TOOLS_STANDIN_LOAD_CALL_H
#define SHALLOTFORD_TOOLS_STANDIN_LOAD_CALL_H

/// One request of the load generator, from its first submission to its
/// outcome, over resumes and resubmissions.

#include "standin_load.h"

namespace shallotford::standin {

class LoadCall : public std::enable_shared_from_this<LoadCall>
{
public:
  using Done = std::function<void(const PlannedCall&, const CallResult&)>;

  LoadCall(LoopI& aLoop,
           const LoadOptions& aOptions,
           PlannedCall aPlan,
           Done aDone);
  void Start();

private:
  class StreamHandler;

  HttpCall MakeCall(const std::string& aPath, const std::string& aBody) const;
  void Submit();
  void FetchTicket();
  void OnTicket(const std::string& aBody);
  void SendWhole();
  void SendStream();
  void OnWhole(const HttpResult& aResult);
  void OnAnswer(const Json::Value& aBody);
  void OnEvent(const ServerSentEvent& aEvent);
  void OnDelta(const std::string& aText);
  void OnStreamEnd();
  void OnError(const HttpReply& aReply);
  void OnErrorBody(const Json::Value& aBody, const HttpHeaders& aHeaders);
  /// Goes on at the next daemon after the connection broke.
  void OnBroken(const std::string& aReason);
  void After(Duration aDelay, void (LoadCall::*aStep)());
  void Finish(CallOutcome aOutcome, const std::string& aReason);

  LoopI& m_loop;
  const LoadOptions& m_options;
  PlannedCall m_plan;
  Done m_done;
  CallResult m_result;
  TimePoint m_startedAt;
  TimePoint m_firstAt;
  TimersI::TimerId m_deadline{};
  std::unique_ptr<HttpClientCallI> m_call;
  std::uint32_t m_generation{ 0 }; ///< events of older submissions are dropped
  std::uint32_t m_breaks{ 0 };
  std::size_t m_daemon{};
  std::string m_ticket;
  bool m_mayHaveRun{ false }; ///< an earlier submission's fate is unknown
  // Of a stream.
  std::string m_lastEventId;
  std::size_t m_received{ 0 }; ///< bytes of the expected text
  std::uint32_t m_tokens{ 0 };
  bool m_whole{ false }; ///< [DONE] came
  bool m_ended{ false };
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_LOAD_CALL_H
