/// Tests a call that arrived on another task's socket: its answer must be
/// written on the loop that owns the socket.

#define BOOST_TEST_MODULE forwarded_call
#include <boost/test/unit_test.hpp>

#include "daemon_worker.h"
#include "fake_engine.h"
#include "golden_fleet.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

class NoLog : public LogI
{
public:
  void Write(const LogEvent&) override {}
};

} // namespace

BOOST_AUTO_TEST_CASE(answer_is_posted_to_the_owner_of_the_socket)
{
  Transcript workerSide;
  Transcript ownerSide;
  FakeLoop workerLoop(workerSide);
  FakeLoop ownerLoop(ownerSide);
  FakeEngine engine(workerLoop, workerSide);
  NoLog log;
  auto random = MakeSeededRandom(1);
  FakeClock clock;
  Worker worker({ .m_settings = { .m_callerAddress = "127.0.0.1:0",
                                  .m_peerAddress = "10.9.0.1:70",
                                  .m_region = "mtl",
                                  .m_failureDomain = "mtl-a" },
                  .m_vm = { "10.9.0.1:70", 0xb007 } },
                workerLoop,
                engine,
                log,
                *random,
                clock);
  worker.SetControlSink([](const WorkerMessage&) {});
  worker.Start();
  worker.OnMessage(FleetInForce{ GoldenFleet() });
  worker.OnMessage(PlatformReady{ true });
  workerLoop.Fake().m_answer = [](const HttpCall&) {
    return HttpReply{ 201, {}, "held" };
  };
  workerLoop.RunFor(100ms);

  auto exchange = std::make_shared<FakeExchange>(ownerSide, "peer");
  worker.OnMessage(
    ForwardedCall{ .m_exchange = exchange,
                   .m_owner = &ownerLoop,
                   .m_request = { .m_method = "POST",
                                  .m_path = "/services/booking/holds",
                                  .m_body = "{}" } });
  workerLoop.RunFor(1s);
  // The worker has answered, but the socket's own loop has not run yet.
  BOOST_TEST(ownerSide.Text().empty());
  ownerLoop.RunFor(1ms);
  BOOST_TEST(ownerSide.Text().find("peer status 201") != std::string::npos);
  BOOST_TEST(exchange->Body() == "held");
}
