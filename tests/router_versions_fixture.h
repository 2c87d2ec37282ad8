#ifndef SHALLOTFORD_TESTS_ROUTER_VERSIONS_FIXTURE_H
#define SHALLOTFORD_TESTS_ROUTER_VERSIONS_FIXTURE_H

/// A router with engines of several software versions, and callers that
/// continue their streams.

#include "router_fixture.h"

namespace shallotford::test {

inline constexpr int kStreams = 8;

/// The first run of a stream breaks off after event 1; a run with Last-Event-Id
/// sends event 2 and ends.
struct Engines : Plain
{
  explicit Engines(const RouterOptions& aOptions = Options())
    : Plain(aOptions)
  {
  }

  void AddEngine(const std::string& aId,
                 const std::string& aSoftware,
                 const std::string& aService = "model",
                 const std::string& aStage = "decode")
  {
    PublishedServer& engine = AddServer(aId, aService, aStage, aSoftware);
    m_loop.Do([&] {
      engine.SetScript([this, &engine, aSoftware](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        const HttpHeaders& fields = aCall.m_request.m_head.m_fields;
        bool resumed = FindField(fields, "Last-Event-Id") != nullptr;
        m_versions[aCall.m_id].push_back(aSoftware);
        engine.BeginStream(aCall);
        aCall.m_exchange->Write(Event(resumed ? 2 : 1));
        if (resumed) {
          aCall.m_exchange->End();
        } else {
          aCall.m_exchange->Abort();
        }
        return true;
      });
    });
  }

  /// Returns the software versions that ran a request, in order.
  std::vector<std::string> Versions(const std::string& aId)
  {
    return m_loop.Do([&] { return m_versions[aId]; });
  }

  /// Returns whether a VM serves plain requests.
  static bool Answers(OtherVm& aVm)
  {
    RawSocket socket(aVm.Port());
    socket.Send(Request("/safe/", "s", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  }

  /// Sends a request that continues the stream of request aFirst after event 1.
  static std::string TakeUp(std::uint16_t aPort,
                            const std::string& aId,
                            const std::string& aFirst)
  {
    return TakeUpWith(aPort, aId, "Resumes: " + aFirst + "\r\n");
  }

  /// @param aFields  further header fields
  static std::string TakeUpWith(std::uint16_t aPort,
                                const std::string& aId,
                                const std::string& aFields)
  {
    RawSocket socket(aPort);
    socket.Send(Request("/stream/x",
                        aId,
                        "body",
                        "Connection: close\r\nLast-Event-Id: 1\r\n" + aFields));
    return socket.ReadToEnd();
  }

  /// On the loop's thread.
  std::map<std::string, std::vector<std::string>> m_versions;
};

/// Two engines of each of two software versions.
struct TwoVersions : Engines
{
  explicit TwoVersions(const RouterOptions& aOptions = Options())
    : Engines(aOptions)
  {
    AddEngine("i-1a", "v1");
    AddEngine("i-1b", "v1");
    AddEngine("i-2a", "v2");
    AddEngine("i-2b", "v2");
    WaitFor([this] { return Knows(6); });
  }
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_ROUTER_VERSIONS_FIXTURE_H
