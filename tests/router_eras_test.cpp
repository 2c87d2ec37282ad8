/// Tests of a router whose store comes back from an older copy, and of
/// upstreams that leave.

#define BOOST_TEST_MODULE router_eras
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

std::string
RouteText(const std::string& aName)
{
  return R"(,{"name":")" + aName + R"(","host":"h","prefix":"/)" + aName +
         R"(/","kind":"safe","service":"plain"})";
}

/// A store that loses its changes since the start of the test.
struct OlderStore : Plain
{
  OlderStore()
    : m_copy(m_loop.Do([this] { return m_store->Revision(); }))
  {
  }
  void GoBack()
  {
    m_loop.Do([this] { m_store->GoBackTo(m_copy); });
  }
  bool IsServed(const std::string& aPath)
  {
    return Ask(aPath, "r").starts_with("HTTP/1.1 200 ");
  }
  bool WaitUntilServed(const std::string& aPath)
  {
    return WaitFor([&] { return IsServed(aPath); });
  }
  /// Waits until the router has read the store again.
  void WaitForCalls(std::uint64_t aCalls)
  {
    auto calls = [this] {
      return m_loop.Do([this] { return m_store->Calls(); });
    };
    std::uint64_t from = calls();
    WaitFor([&] { return calls() >= from + aCalls; });
  }
  void WaitForEra(int aEra)
  {
    BOOST_TEST(WaitFor([&] {
      return Has(Metrics(),
                 "shallotford_directory_era " + std::to_string(aEra) + "\n");
    }));
  }
  /// Returns how many of 20 requests the first upstream receives.
  std::size_t CountReceived()
  {
    auto received = [this] {
      return m_loop.Do([this] { return m_a->Received().size(); });
    };
    std::size_t before = received();
    for (int i = 0; i < 20; ++i) {
      Ask("/safe/", "r" + std::to_string(i));
    }
    return received() - before;
  }
  std::uint64_t m_copy;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(
  a_configuration_in_a_revision_read_before_the_store_went_back_is_applied,
  OlderStore)
{
  Publish(ConfigText(5));
  Publish(ConfigText(6, RouteText("lost")));
  BOOST_TEST(WaitUntilServed("/lost/"));
  GoBack();
  Publish(ConfigText(7, RouteText("new")));
  BOOST_TEST(WaitUntilServed("/new/"));
}

BOOST_FIXTURE_TEST_CASE(
  a_configuration_that_a_restored_store_lost_stays_in_force,
  OlderStore)
{
  Publish(ConfigText(6, RouteText("lost")));
  BOOST_TEST(WaitUntilServed("/lost/"));
  GoBack();
  WaitForCalls(4);
  BOOST_TEST(IsServed("/lost/"));
}

BOOST_FIXTURE_TEST_CASE(
  a_vm_that_starts_on_a_restored_store_gets_the_lost_configuration_from_a_peer,
  OlderStore)
{
  Publish(ConfigText(6, RouteText("lost")));
  BOOST_TEST(WaitUntilServed("/lost/"));
  GoBack();
  WaitForEra(2);
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  OtherVm other(
    *this, options, m_loop.Do([this] { return m_store->Address(); }));
  BOOST_TEST(WaitFor([&] {
    RawSocket socket(other.Port());
    socket.Send(Request("/lost/", "r1", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  }));
}

BOOST_FIXTURE_TEST_CASE(answers_of_an_older_era_are_ignored, OlderStore)
{
  GoBack();
  WaitForEra(2);
  m_loop.Do([this] { m_store->SetEra(1); });
  Publish(ConfigText(8, RouteText("new")));
  WaitForCalls(4);
  BOOST_TEST(!IsServed("/new/"));
  m_loop.Do([this] { m_store->SetEra(2); });
  BOOST_TEST(WaitUntilServed("/new/"));
}

BOOST_FIXTURE_TEST_CASE(
  a_removed_upstream_that_a_restored_store_lists_gets_no_requests,
  OlderStore)
{
  m_loop.Do([this] { m_store->Remove("servers/i-a"); });
  BOOST_TEST(WaitFor([this] { return Knows(1); }));
  GoBack();
  WaitForEra(2);
  BOOST_TEST(CountReceived() == 0U);
}

BOOST_FIXTURE_TEST_CASE(
  a_draining_upstream_that_a_restored_store_lists_as_ready_gets_no_requests,
  OlderStore)
{
  m_loop.Do(
    [this] { m_store->Put("servers/i-a", m_a->Entry("plain", "", true)); });
  BOOST_TEST(WaitFor([this] { return CountLogLines("draining=yes") == 1U; }));
  GoBack();
  WaitForEra(2);
  BOOST_TEST(CountReceived() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_upstream_that_says_it_leaves_gets_no_more_requests,
                        Plain)
{
  m_loop.Do([this] { m_a->SetLeaving(); });
  // Some of these requests reach it; the answer to the first one tells.
  for (int i = 0; i < 40; ++i) {
    Ask("/safe/", "r" + std::to_string(i));
  }
  BOOST_TEST(m_loop.Do([this] { return m_a->Received().size(); }) <= 1U);
  BOOST_TEST(Ask("/safe/", "last").starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(an_engine_that_says_it_leaves_gets_no_more_streams)
{
  RouterFixture vm;
  vm.Publish(ConfigText(1));
  vm.AddServer("i-p", "model", "prefill");
  PublishedServer& leaving = vm.AddServer("i-a", "model", "decode");
  PublishedServer& other = vm.AddServer("i-b", "model", "decode");
  for (PublishedServer* server : { &leaving, &other }) {
    vm.m_loop.Do([&] {
      server->SetScript([server](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        server->BeginStream(aCall);
        aCall.m_exchange->Write(Event(1));
        aCall.m_exchange->End();
        return true;
      });
    });
  }
  vm.Start();
  RouterFixture::WaitFor(
    [&] { return Has(vm.Metrics(), "shallotford_upstreams 3\n"); });
  vm.m_loop.Do([&] { leaving.SetLeaving(); });
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(
      vm.Ask("/stream/", "r" + std::to_string(i)).starts_with("HTTP/1.1 200 "));
  }
  // The answer to a reservation tells, before a request runs there.
  auto runs = vm.m_loop.Do([&] { return leaving.Runs().size(); });
  BOOST_TEST(runs == 0U);
}
