/// Tests of a router whose loop gets no processor time for a while: what
/// arrived meanwhile is judged by its arrival, not by its reading.

#define BOOST_TEST_MODULE held_up_loop
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

struct HeldUp : Plain
{
  /// Runs aFunction while the loop serves nothing.
  void WhileHeldUp(const std::function<void()>& aFunction)
  {
    std::promise<void> held;
    std::promise<void> release;
    m_loop->Post([&] {
      held.set_value();
      release.get_future().wait();
    });
    held.get_future().wait();
    aFunction();
    release.set_value();
    m_loop.Do([] {});
  }

  /// Leaves an idle connection to each upstream.
  void WarmUp()
  {
    int asked = 0;
    do {
      Ask("/safe/", "warm" + std::to_string(asked++));
    } while (!m_loop.Do(
      [this] { return !m_a->Received().empty() && !m_b->Received().empty(); }));
  }

  bool HasNoCallers()
  {
    return Has(Metrics(), "shallotford_caller_connections 0\n");
  }

  /// Returns the value of a field of the request that upstreams got last with
  /// this id.
  std::string ReceivedField(const std::string& aId, std::string_view aName)
  {
    return m_loop.Do([&]() -> std::string {
      for (PublishedServer* server : { m_a, m_b }) {
        for (const CallerRequest& request : server->Received()) {
          const std::string* id =
            FindField(request.m_head.m_fields, "X-Shallotford-Request-Id");
          if (id != nullptr && *id == aId) {
            return *FindField(request.m_head.m_fields, aName);
          }
        }
      }
      return {};
    });
  }
};

std::string
WithDeadline(const std::string& aId, std::chrono::milliseconds aDeadline)
{
  return "POST /safe/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
         "X-Shallotford-Request-Id: " +
         aId +
         "\r\nX-Shallotford-Deadline-Ms: " + std::to_string(aDeadline.count()) +
         "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(
  a_caller_that_left_before_its_request_was_read_gets_none_sent,
  HeldUp)
{
  WarmUp();
  constexpr int kRounds = 10;
  for (int i = 0; i < kRounds; ++i) {
    std::string id = "left" + std::to_string(i);
    WhileHeldUp([&] {
      RawSocket socket(Port());
      socket.Send(Request("/safe/", id));
    });
    BOOST_TEST(WaitFor([this] { return HasNoCallers(); }));
    BOOST_TEST(AllRuns(id) == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(an_upstream_gets_the_time_left_since_the_arrival,
                        HeldUp)
{
  WarmUp();
  constexpr auto kHeldFor = 400ms;
  constexpr auto kClockTick = 20ms; // of the kernel's time of arrival
  RawSocket socket(Port());
  WhileHeldUp([&] {
    socket.Send(WithDeadline("r1", 3'000ms));
    std::this_thread::sleep_for(kHeldFor);
  });
  BOOST_TEST(socket.ReadToEnd().starts_with("HTTP/1.1 200 "));
  int left = std::stoi(ReceivedField("r1", "X-Shallotford-Deadline-Ms"));
  BOOST_TEST(left <= (3'000ms - kHeldFor + kClockTick).count());
}

BOOST_FIXTURE_TEST_CASE(a_request_whose_time_was_over_when_read_is_not_sent,
                        HeldUp)
{
  WarmUp();
  RawSocket socket(Port());
  WhileHeldUp([&] {
    socket.Send(WithDeadline("r1", 100ms));
    std::this_thread::sleep_for(200ms);
  });
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "\"run\":\"no\""));
  BOOST_TEST(AllRuns("r1") == 0);
}

BOOST_AUTO_TEST_CASE(bytes_that_arrived_before_a_timer_was_due_come_first)
{
  struct Reader : StreamHandlerI
  {
    void OnBytes(std::string_view) override { m_order.Put("bytes"); }
    void OnPeerFinished() override {}
    void OnBroken(const std::string&) override {}
    Inbox<std::string> m_order;
  };
  Reader reader;
  LoopThread loop;
  RawListener listener;
  std::unique_ptr<StreamI> stream = loop.Do([&] {
    return loop->Streams().Connect({ .m_address = listener.Address() }, reader);
  });
  std::unique_ptr<RawSocket> peer = listener.Accept();
  loop.Do([&] {
    loop->RunAfter(20ms, [&] { reader.m_order.Put("timer"); });
    peer->Send("x");
    std::this_thread::sleep_for(40ms);
  });
  BOOST_TEST(reader.m_order.Take().value() == "bytes");
  BOOST_TEST(reader.m_order.Take().value() == "timer");
  loop.Do([&] { stream.reset(); });
}
