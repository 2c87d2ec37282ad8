/// Tests of requests that crash engines because of one part of their prompts:
/// what one VM learns from a crash serves all VMs.

#define BOOST_TEST_MODULE router_crashes
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

constexpr const char* kBadPart = "bad";
constexpr const char* kBadTarget = "/stream/bad";
constexpr const char* kRejectedTarget = "/stream/rejected";
constexpr int kEngines = 30;

/// Many decode engines, of which each that begins an answer on kBadPart
/// crashes, and two VMs that know each other.
struct CrashingEngines : RouterFixture
{
  CrashingEngines()
  {
    Publish(ConfigText(1));
    AddServer("i-s", "plain");
    AddServer("i-p", "model", "prefill");
    for (int i = 0; i < kEngines; ++i) {
      PublishedServer& engine =
        AddServer("i-d" + std::to_string(i), "model", "decode");
      m_loop.Do([&] {
        engine.SetScript([this, &engine](const PublishedCall& aCall) {
          return OnCall(engine, aCall);
        });
      });
    }
    Start();
    RouterOptions options = Options();
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
    m_other.emplace(*this, options, m_store->Address());
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_other->PeerPort()) };
    m_loop.Do([&] { m_router->Reload(options); });
    for (std::uint16_t port : { Port(), m_other->Port() }) {
      BOOST_TEST(WaitFor([&] {
        return AskAt(port, "/stream/x", "5e,1")
          .starts_with("HTTP/1.1 200 OK\r\n");
      }));
    }
  }

  ~CrashingEngines()
  {
    m_loop.Do([this] {
      for (const auto& server : m_servers) {
        server->SetScript({});
      }
    });
  }
  CrashingEngines(const CrashingEngines&) = delete;
  CrashingEngines& operator=(const CrashingEngines&) = delete;

  /// Runs on the loop's thread.
  bool OnCall(PublishedServer& aEngine, const PublishedCall& aCall)
  {
    if (m_crashed.contains(&aEngine)) {
      aCall.m_exchange->Abort();
      return true;
    }
    const RequestHead& head = aCall.m_request.m_head;
    if (aCall.m_reserve || aCall.m_prefill || head.m_method == "DELETE") {
      return false;
    }
    if (head.m_target == kRejectedTarget) {
      aCall.m_exchange->Respond(
        400, "Bad Request", PublishedServer::SignedFields(aCall), "no");
      return true;
    }
    aEngine.BeginStream(aCall);
    const std::string* parts =
      FindField(head.m_fields, "X-Shallotford-Prompt-Prefix");
    bool crashes = head.m_target == kBadTarget ||
                   (parts != nullptr && Has(*parts, kBadPart));
    if (crashes) {
      m_crashed.insert(&aEngine);
      aCall.m_exchange->Abort();
      return true;
    }
    aCall.m_exchange->Write(Event(1));
    aCall.m_exchange->End();
    return true;
  }

  /// Sends a request whose prompt has aParts, ids separated by commas.
  std::string AskAt(std::uint16_t aPort,
                    const std::string& aPath,
                    const std::string& aParts)
  {
    std::string id = "r" + std::to_string(++m_lastId);
    std::string field;
    for (char c : aParts + ",") {
      field += c == ',' ? ":7," : std::string(1, c);
    }
    field.pop_back();
    RawSocket socket(aPort);
    socket.Send(Request(
      aPath,
      id,
      "body " + id,
      "Connection: close\r\nX-Shallotford-Prompt-Prefix: " + field + "\r\n"));
    return socket.ReadToEnd();
  }

  /// Sends a request with kBadPart among parts that only some requests share.
  std::string AskBad(std::uint16_t aPort)
  {
    std::string number = std::to_string(m_lastId);
    return AskAt(aPort, "/stream/x", "aa,bad,c" + number);
  }

  /// Lets both VMs receive requests with kBadPart until five engines crashed or
  /// none crashes any more.
  void CrashFive()
  {
    for (int i = 0; i < 10 && Crashes() < 5; ++i) {
      AskBad(i % 2 == 0 ? Port() : m_other->Port());
    }
  }

  /// Returns how often a VM has learned what to refuse.
  std::size_t Convictions() { return CountLogLines("event=crash_conviction"); }

  std::size_t Crashes()
  {
    return m_loop.Do([this] { return m_crashed.size(); });
  }

  /// Returns how often a prefill or decode engine received a request with
  /// kBadPart.
  std::size_t SendsOfBadPart()
  {
    return m_loop.Do([this] {
      std::size_t sends = 0;
      for (const auto& server : m_servers) {
        for (const CallerRequest& request : server->Received()) {
          const std::string* parts =
            FindField(request.m_head.m_fields, "X-Shallotford-Prompt-Prefix");
          sends += parts != nullptr && Has(*parts, kBadPart) ? 1 : 0;
        }
      }
      return sends;
    });
  }

  std::optional<OtherVm> m_other;
  std::set<PublishedServer*> m_crashed; ///< on the loop's thread
  int m_lastId{ 0 };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_part_that_crashed_engines_is_sent_to_no_more_of_them,
                        CrashingEngines)
{
  CrashFive();
  std::this_thread::sleep_for(3s);
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 10; ++i) {
    AskBad(Port());
    AskBad(m_other->Port());
  }
  BOOST_TEST(SendsOfBadPart() - before <= 3u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_success_clears_no_part,
                        CrashingEngines)
{
  for (std::uint16_t port : { Port(), m_other->Port() }) {
    BOOST_TEST(
      AskAt(port, kRejectedTarget, "aa,bad,1").starts_with("HTTP/1.1 400 "));
  }
  CrashFive();
  std::this_thread::sleep_for(3s);
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 10; ++i) {
    AskBad(Port());
  }
  BOOST_TEST(SendsOfBadPart() - before <= 3u);
}

BOOST_FIXTURE_TEST_CASE(requests_that_share_only_a_harmless_part_are_served,
                        CrashingEngines)
{
  CrashFive();
  for (std::uint16_t port : { Port(), m_other->Port() }) {
    BOOST_TEST(
      AskAt(port, "/stream/x", "aa,d1").starts_with("HTTP/1.1 200 OK\r\n"));
  }
}

BOOST_FIXTURE_TEST_CASE(a_vm_that_starts_later_refuses_what_crashed_engines,
                        CrashingEngines)
{
  CrashFive();
  BOOST_TEST(WaitFor([this] { return Convictions() == 2; }));
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  OtherVm later(*this, options, m_store->Address());
  BOOST_TEST(WaitFor([this] { return Convictions() == 3; }));
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(AskBad(later.Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(SendsOfBadPart() == before);
}

BOOST_FIXTURE_TEST_CASE(an_equal_request_that_crashed_engines_is_not_sent_again,
                        CrashingEngines)
{
  auto ask = [this](std::uint16_t aPort) {
    RawSocket socket(aPort);
    std::string id = "e" + std::to_string(++m_lastId);
    socket.Send(Request(kBadTarget, id, "same", "Connection: close\r\n"));
    return socket.ReadToEnd();
  };
  for (int i = 0; i < 3; ++i) {
    ask(Port());
    ask(m_other->Port());
  }
  std::this_thread::sleep_for(3s);
  std::size_t before = Crashes();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(ask(Port()).starts_with("HTTP/1.1 503 "));
    BOOST_TEST(ask(m_other->Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(Crashes() == before);
}

BOOST_FIXTURE_TEST_CASE(a_large_fleet_learns_from_crashes_that_one_vm_saw,
                        CrashingEngines)
{
  constexpr std::size_t kMore = kMaxDirectReportPeers + 2;
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  std::vector<std::unique_ptr<OtherVm>> more;
  for (std::size_t i = 0; i < kMore; ++i) {
    more.push_back(
      std::make_unique<OtherVm>(*this, options, m_store->Address()));
  }
  std::string all = "shallotford_live_vms " + std::to_string(kMore + 2) + "\n";
  BOOST_TEST_REQUIRE(WaitFor([&] { return Has(Metrics(), all); }));
  for (int i = 0; i < 10 && Crashes() < 5; ++i) {
    AskBad(Port());
  }
  BOOST_TEST(WaitFor([&] { return Convictions() == kMore + 2; }));
  std::size_t before = SendsOfBadPart();
  for (const auto& vm : more) {
    BOOST_TEST(AskBad(vm->Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(SendsOfBadPart() == before);
}
