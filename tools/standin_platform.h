#ifndef SHALLOTFORD_TOOLS_STANDIN_PLATFORM_H
#define SHALLOTFORD_TOOLS_STANDIN_PLATFORM_H

/// The stand-in platform: a watchable fleet text, a lagging list of VMs and a
/// rate-limited weight store. Readers cannot write; tests publish by admin
/// calls.

#include "standin_http.h"

#include <set>

namespace shallotford::standin {

struct PlatformOptions
{
  std::string m_fleetText; ///< published as version 1 unless empty
  std::string m_vms;       ///< JSON list, published as version 1 unless empty
  std::uint64_t m_weightBytes{ 1'000'000'000 }; ///< of every model
  std::uint64_t m_weightBytesPerSecond{ 1'000'000'000 };
};

/// Faults and delays that PUT /admin/mode sets.
struct PlatformMode
{
  bool m_down{ false };           ///< cuts every connection
  std::uint32_t m_staleVersion{}; ///< newest text that is served; 0: all
  bool m_flap{ false };           ///< serves the newest and the one before
  bool m_cut{ false };            ///< serves the first half of the text
  std::chrono::milliseconds m_vmsLag{ 0 };
};

class PlatformServer : public HttpHandlerI
{
public:
  PlatformServer(LoopI& aLoop, PlatformOptions aOptions);
  void OnRequest(Exchange aExchange, HttpRequest aRequest) override;

private:
  /// A published document and those who wait for its next version.
  struct Document
  {
    std::vector<std::string> m_texts; ///< version i + 1
    std::uint64_t m_calls{ 0 };
    struct Watch
    {
      Exchange m_exchange;
      std::uint64_t m_after{};
      TimersI::TimerId m_timer{};
    };
    std::map<std::uint64_t, Watch> m_watches;
    std::size_t m_mostWatches{ 0 };
  };

  void Admin(const Exchange& aExchange, const HttpRequest& aRequest);
  void Read(Document& aDocument,
            const Exchange& aExchange,
            const HttpRequest& aRequest);
  void Publish(Document& aDocument, std::string aText);
  void AnswerWatches(Document& aDocument);
  /// Returns the version that a reader sees now.
  std::uint64_t ServedVersion(const Document& aDocument);
  void Serve(Document& aDocument,
             const Exchange& aExchange,
             std::uint64_t aVersion);
  void SendWeights(const Exchange& aExchange);
  Json::Value StatsBody() const;

  LoopI& m_loop;
  PlatformOptions m_options;
  PlatformMode m_mode;
  Document m_fleet;
  Document m_vms;
  bool m_flapOld{ false };
  std::uint64_t m_nextWatch{ 1 };
  std::uint64_t m_weightCalls{ 0 };
  std::uint32_t m_weightsAtOnce{ 0 };
  std::uint32_t m_mostWeightsAtOnce{ 0 };
  TimePoint m_weightsFreeAt;
};

/// Runs `shallotford-standin platform`.
/// @param aFleetFile, aVmsFile  paths, or empty
int
RunPlatform(const std::string& aListen,
            const std::string& aFleetFile,
            const std::string& aVmsFile);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_PLATFORM_H
