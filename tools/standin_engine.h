#ifndef SHALLOTFORD_TOOLS_STANDIN_ENGINE_H
#define SHALLOTFORD_TOOLS_STANDIN_ENGINE_H

/// The stand-in engine: the engine model served over HTTP, with faults.

#include "standin_engine_model.h"
#include "standin_http.h"
#include "standin_link.h"

#include <map>

namespace shallotford::standin {

/// Settings of the engine process; the names are listed in NamesOf().
struct EngineSettings
{
  std::string m_listen{ "127.0.0.1:0" };
  EngineModelOptions m_model;
  std::uint64_t m_linkBytesPerSecond{ 10'000'000'000 };
  double m_stallRate{ 0.0 };                    ///< share of pulls that stall
  std::chrono::milliseconds m_stall{ 2'000 };   ///< time until a stall gives up
  std::chrono::milliseconds m_answerDelay{ 0 }; ///< before each call is served
  std::string m_poisonWord; ///< a prompt that holds it crashes the process
  /// "prefill" crashes this engine, "decode" the engine that decodes it; set
  /// where the prompt is prefilled.
  std::string m_poisonStage{ "decode" };
  bool m_leaving{ false };
  std::string m_platform; ///< "IP:PORT" of the weight store, or empty
};

/// Returns the setters of aSettings' fields by their names in JSON.
NamedSettings
NamesOf(EngineSettings& aSettings);

class EngineServer : public HttpHandlerI
{
public:
  EngineServer(LoopI& aLoop, EngineSettings aSettings);

  void OnRequest(Exchange aExchange, HttpRequest aRequest) override;
  /// Called instead of ending the process when the engine crashes (tests).
  void OnCrash(std::function<void()> aCallback);

private:
  /// Somebody who reads a stream's tokens.
  struct Reader
  {
    Exchange m_exchange;
    std::uint64_t m_attachment{};
    std::uint32_t m_next{}; ///< position of the next token to send
  };
  /// A pull under way, by its import.
  struct Pull
  {
    Exchange m_exchange;
    std::string m_stream;
    std::string m_import;
    std::string m_from;
    std::string m_export;
    std::uint64_t m_bytes{};
    KvContent m_content;
  };
  using PullPtr = std::shared_ptr<Pull>;

  void Serve(const Exchange& aExchange, const HttpRequest& aRequest);
  void ServePost(const Exchange& aExchange,
                 const std::vector<std::string>& aPath,
                 const Json::Value& aBody);
  void ServeGet(const Exchange& aExchange,
                const std::vector<std::string>& aPath,
                const HttpRequest& aRequest);
  void Claim(const Exchange& aExchange, const Json::Value& aBody);
  void Prefill(const Exchange& aExchange, const Json::Value& aBody);
  void StartPull(const Exchange& aExchange,
                 const std::string& aImport,
                 const Json::Value& aBody);
  void Transfer(const PullPtr& aPull);
  void EndPull(const PullPtr& aPull, bool aWhole);
  void StartStream(const Exchange& aExchange, const Json::Value& aBody);
  void Attach(const Exchange& aExchange,
              const std::string& aStream,
              std::uint32_t aFrom);
  void SendTokens(const std::string& aStream);
  void Cancel(const Exchange& aExchange, const std::string& aStream);
  void Order(const Exchange& aExchange, const Json::Value& aBody);
  void FetchWeights();
  void ChangeFaults(const Exchange& aExchange, const Json::Value& aBody);
  Json::Value StreamList() const;
  Json::Value LoadBody() const;
  Json::Value CacheEventsBody(std::uint64_t aAfter) const;
  Json::Value StateBody() const;
  Json::Value StatsBody() const;
  /// Runs the model to now, tells those who wait, and sets the timer.
  void Pump();
  void Handle(const EngineEvent& aEvent);
  void AnswerPrefill(const EngineEvent& aEvent);
  void EndWaiting(const std::string& aStream);
  void SetTimer();

  LoopI& m_loop;
  EngineSettings m_settings;
  EngineModel m_model;
  std::unique_ptr<RandomI> m_random;
  SharedLink m_link;
  CallSet m_calls;
  std::function<void()> m_crash;
  TimersI::TimerId m_timer{ 0 };
  TimePoint m_timerAt{ TimePoint::max() };
  std::map<std::string, std::vector<Exchange>> m_prefillWaiters;
  std::map<std::string, Reader> m_readers;
  std::map<std::uint64_t, PullPtr> m_transfers; ///< by the link's number
};

/// Runs `shallotford-standin engine`.
/// @param aConfig  path of the JSON settings
int
RunEngine(const std::string& aConfig);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_ENGINE_H
