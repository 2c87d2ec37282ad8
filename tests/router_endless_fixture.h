#ifndef SHALLOTFORD_TESTS_ROUTER_ENDLESS_FIXTURE_H
#define SHALLOTFORD_TESTS_ROUTER_ENDLESS_FIXTURE_H

/// Upstreams of a router that send without end, and what they send.

#include "endless_fixture.h"
#include "router_fixture.h"

namespace shallotford::test {

inline const std::string kSigned =
  "X-Shallotford-Request-Id: r1\r\n"
  "X-Shallotford-Response-Signature: mark-r1\r\n";
inline const std::string kOk = "HTTP/1.1 200 OK\r\n" + kSigned;
inline const std::string kFailed = "HTTP/1.1 500 Failed\r\n" + kSigned;
inline const std::string kNotRun =
  "HTTP/1.1 503 Busy\r\nX-Shallotford-Not-Executed: 1\r\n";
inline const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string kChunk = "10\r\naaaaaaaaaaaaaaaa\r\n";
inline const std::string kEvents = kOk + "Content-Type: text/event-stream\r\n";

inline std::string
WithLength(const std::string& aHead, const std::string& aBody)
{
  return aHead + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// Returns a server's entry for the store.
inline std::string
EntryOf(const EndlessServer& aServer,
        const std::string& aService,
        const std::string& aStage)
{
  return R"({"service":")" + aService + R"(","address":")" + aServer.Address() +
         R"(","zone":"z1","slots":8,"state":"ready","born":1,"seq":1,)" +
         (aStage.empty() ? "" : R"("stage":")" + aStage + R"(",)") +
         R"("version":"v1"})";
}

/// A named answer without end.
struct Case
{
  std::string m_name;
  EndlessAnswer m_answer;
};

inline std::ostream&
operator<<(std::ostream& aStream, const Case& aCase)
{
  return aStream << aCase.m_name;
}

/// Returns each case at full speed and slowly.
inline std::vector<Case>
AtBothSpeeds(const std::vector<Case>& aCases)
{
  std::vector<Case> all;
  for (const Case& one : aCases) {
    all.push_back(one);
    all.push_back({ one.m_name + " slowly", one.m_answer });
    all.back().m_answer.m_slow = true;
  }
  return all;
}

inline const std::vector<Case> kHeads =
  AtBothSpeeds({ { "garbage", { "", "garbage " } },
                 { "status line", { "HTTP/1.1 200 ", "a" } },
                 { "field line", { "HTTP/1.1 200 OK\r\nX-A: ", "a" } },
                 { "fields", { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" } },
                 { "interim answers", { "", "HTTP/1.1 100 Continue\r\n\r\n" } },
                 { "empty lines", { "", "\r\n" } } });

inline const std::vector<Case> kChunkLines = {
  { "chunk size", { kOk + kChunked, "0" } },
  { "chunk extension", { kOk + kChunked + "5;x=", "a" } },
  { "trailers", { kOk + kChunked + "0\r\n", "X-A: b\r\n" } },
  { "trailer line", { kOk + kChunked + "0\r\nX-A: ", "a" } }
};

inline const std::vector<Case> kFailures =
  AtBothSpeeds({ { "chunked failure", { kFailed + kChunked, kChunk } },
                 { "unframed failure", { kFailed + "\r\n", "a" } },
                 { "failure's chunk size", { kFailed + kChunked, "0" } } });

inline const std::vector<Case> kRefusals =
  AtBothSpeeds({ { "chunked refusal", { kNotRun + kChunked, kChunk } },
                 { "unframed refusal", { kNotRun + "\r\n", "a" } },
                 { "refusal's chunk size", { kNotRun + kChunked, "0" } } });

inline const std::vector<Case> kBodies =
  AtBothSpeeds({ { "chunked body", { kOk + kChunked, kChunk } },
                 { "unframed body", { kOk + "\r\n", "a" } } });

inline const std::vector<Case> kStreams = AtBothSpeeds(
  { { "comments", { kEvents + "\r\n", ":\n\n" } },
    { "chunked comments", { kEvents + kChunked, "3\r\n:\n\n\r\n" } },
    { "empty lines", { kEvents + "\r\n", "\n" } },
    { "events", { kEvents + "\r\n", "data: a\n\n" } } });

inline const std::vector<Case> kExtraBytes =
  AtBothSpeeds({ { "answers", { WithLength(kOk, "good"), kOk } },
                 { "garbage", { WithLength(kOk, "good"), "a" } },
                 { "empty lines", { WithLength(kOk, "good"), "\r\n" } } });

inline const std::vector<Case> kCalls = AtBothSpeeds(
  { { "garbage", { "", "garbage " } },
    { "fields", { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" } },
    { "chunk size", { "HTTP/1.1 200 OK\r\n" + kChunked, "0" } },
    { "chunked body", { "HTTP/1.1 200 OK\r\n" + kChunked, kChunk } },
    { "unframed body", { "HTTP/1.1 200 OK\r\n\r\n", "a" } },
    { "unframed failure", { "HTTP/1.1 500 Failed\r\n\r\n", "a" } } });

/// Two upstreams, the first of which to be asked answers without end, and the
/// other one in order.
struct Endless : RouterFixture
{
  Endless()
  {
    Publish(ConfigText(1,
                       R"(,{"name":"resumed","prefix":"/resumed/",)"
                       R"("host":"h","kind":"streaming","timeout-ms":4000,)"
                       R"("target-latency-ms":900,"service":"plain",)"
                       R"("max-attempts":2,"resumable":true})"));
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      m_loop.Do([&] {
        m_store->Put("servers/i-" + std::to_string(i),
                     EntryOf(*m_servers[i], "plain", ""));
      });
    }
    Start();
    WaitFor([this] { return Has(Metrics(), "shallotford_upstreams 2\n"); });
  }

  EndlessAnswer Answer(const std::string& aRequest)
  {
    if (m_attempts++ == 0) {
      return m_first;
    }
    if (Has(aRequest, "/resumed/")) {
      return { WithLength(kEvents, Event(1)), "" };
    }
    return { WithLength(kOk, "good"), "" };
  }

  /// Sends one request whose first answer is aFirst, and returns the whole
  /// answer to the caller.
  std::string AskFirst(const std::string& aPath, const EndlessAnswer& aFirst)
  {
    m_first = aFirst;
    return Ask(aPath, "r1");
  }

  /// Checks that the router closed the connection of the first answer.
  void CheckClosed()
  {
    std::optional<Flood> flood = m_floods.Take(30s);
    BOOST_TEST_REQUIRE(flood.has_value());
    BOOST_TEST(flood->m_closed);
    m_flood = *flood;
  }
  /// Checks the same, and that the router didn't take all that was sent.
  void CheckClosedEarly()
  {
    CheckClosed();
    BOOST_TEST(!m_flood.m_exhausted, m_flood.m_sent);
  }

  static bool IsGood(const std::string& aAnswer)
  {
    return aAnswer.starts_with("HTTP/1.1 200 ") && aAnswer.ends_with("good");
  }
  static bool IsError(const std::string& aAnswer)
  {
    return aAnswer.starts_with("HTTP/1.1 50");
  }
  /// Returns whether an answer to a caller has its last chunk.
  static bool IsComplete(const std::string& aAnswer)
  {
    return aAnswer.ends_with(std::string("\r\n") + std::string(kLastChunk));
  }

  EndlessAnswer m_first; ///< set before the request
  std::atomic<int> m_attempts{ 0 };
  Inbox<Flood> m_floods;
  Flood m_flood;
  std::array<std::unique_ptr<EndlessServer>, 2> m_servers{ MakeServer(),
                                                           MakeServer() };

private:
  std::unique_ptr<EndlessServer> MakeServer()
  {
    return std::make_unique<EndlessServer>(
      [this](const std::string& aRequest) { return Answer(aRequest); },
      m_floods);
  }
};

/// One prefill engine and two decode engines. The first call of one kind is
/// answered without end, all others in order.
struct EndlessEngines : RouterFixture
{
  EndlessEngines()
  {
    Publish(ConfigText(1));
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      m_loop.Do([&] {
        m_store->Put(
          "servers/i-" + std::to_string(i),
          EntryOf(*m_servers[i], "model", i == 0 ? "prefill" : "decode"));
      });
    }
    Start();
    WaitFor([this] { return Has(Metrics(), "shallotford_upstreams 3\n"); });
  }

  EndlessAnswer Answer(const std::string& aRequest)
  {
    if (Has(aRequest, m_endlessCall) && m_calls++ == 0) {
      return m_first;
    }
    if (Has(aRequest, "/api/hold-take")) {
      return { WithLength("HTTP/1.1 200 OK\r\n", R"({"hold":"h1"})"), "" };
    }
    if (Has(aRequest, "X-Shallotford-Stage")) {
      return { WithLength("HTTP/1.1 200 OK\r\n",
                          R"({"handle":"k1","tokens":1,"version":1})"),
               "" };
    }
    if (aRequest.starts_with("DELETE ")) {
      return { WithLength("HTTP/1.1 200 OK\r\n", ""), "" };
    }
    return { WithLength(kEvents, Event(1)), "" };
  }

  /// Asks for a stream whose first call that holds aCall is answered by
  /// aFirst, and checks that it is served and that the connection is closed.
  void CheckServed(const std::string& aCall, const EndlessAnswer& aFirst)
  {
    m_endlessCall = aCall;
    m_first = aFirst;
    std::string answer = Ask("/stream/x", "r1");
    BOOST_TEST(Has(answer, Event(1)));
    BOOST_TEST(answer.ends_with(kLastChunk));
    std::optional<Flood> flood = m_floods.Take(30s);
    BOOST_TEST_REQUIRE(flood.has_value());
    BOOST_TEST(flood->m_closed);
    BOOST_TEST(!flood->m_exhausted, flood->m_sent);
  }

  std::string m_endlessCall; ///< set before the request
  EndlessAnswer m_first;     ///< set before the request
  std::atomic<int> m_calls{ 0 };
  Inbox<Flood> m_floods;
  std::array<std::unique_ptr<EndlessServer>, 3> m_servers{ MakeServer(),
                                                           MakeServer(),
                                                           MakeServer() };

private:
  std::unique_ptr<EndlessServer> MakeServer()
  {
    return std::make_unique<EndlessServer>(
      [this](const std::string& aRequest) { return Answer(aRequest); },
      m_floods);
  }
};

/// A caller that sends a request and doesn't read its answer.
class SilentCaller
{
public:
  SilentCaller(Endless& aFixture, const std::string& aPath)
    : m_socket(aFixture.Port())
  {
    m_socket.Send(RouterFixture::Request(aPath, "r1"));
  }
  void Leave() { m_socket.Close(); }

private:
  RawSocket m_socket;
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_ROUTER_ENDLESS_FIXTURE_H
