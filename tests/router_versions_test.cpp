/// Tests of streams while engines of several software versions serve side by
/// side: a stream stays at the version that began it.

#define BOOST_TEST_MODULE router_versions
#include <boost/test/unit_test.hpp>

#include "router_versions_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_FIXTURE_TEST_CASE(a_broken_stream_is_resumed_at_its_software_version,
                        TwoVersions)
{
  for (int i = 0; i < kStreams; ++i) {
    std::string id = "r" + std::to_string(i);
    BOOST_TEST(Has(Ask("/stream/x", id), Event(2)));
    std::vector<std::string> versions = Versions(id);
    BOOST_TEST(versions.size() == 2U);
    BOOST_TEST(versions.front() == versions.back());
  }
}

BOOST_FIXTURE_TEST_CASE(
  a_stream_taken_up_at_another_vm_stays_at_its_software_version,
  TwoVersions)
{
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  OtherVm other(*this, options, m_store->Address());
  BOOST_TEST(WaitFor([&] {
    RawSocket socket(other.Port());
    socket.Send(Request("/safe/", "s", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  }));
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    std::string next = "n" + std::to_string(i);
    BOOST_TEST(Has(Ask("/fixed/x", first), Event(1)));
    BOOST_TEST(Has(TakeUp(other.Port(), next, first), Event(2)));
    BOOST_TEST(Versions(first).front() == Versions(next).front());
  }
}

BOOST_FIXTURE_TEST_CASE(a_stream_keeps_its_software_version_if_its_vm_stops,
                        TwoVersions)
{
  OtherVm other(*this, Options(), m_store->Address());
  BOOST_TEST(WaitFor([&] {
    RawSocket socket(other.Port());
    socket.Send(Request("/safe/", "s", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  }));
  RouterOptions seeded = Options();
  seeded.m_seeds = { "127.0.0.1:" + std::to_string(other.PeerPort()) };
  m_loop.Do([&] { m_router->Reload(seeded); });
  for (int i = 0; i < kStreams; ++i) {
    BOOST_TEST(Has(Ask("/fixed/x", "f" + std::to_string(i)), Event(1)));
  }
  m_loop.Do([this] { m_router.reset(); });
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    std::string next = "n" + std::to_string(i);
    BOOST_TEST(Has(TakeUp(other.Port(), next, first), Event(2)));
    BOOST_TEST(Versions(first).front() == Versions(next).front());
  }
}

BOOST_FIXTURE_TEST_CASE(a_stream_whose_software_version_has_left_is_refused,
                        TwoVersions)
{
  BOOST_TEST(Has(Ask("/fixed/x", "f"), Event(1)));
  std::string left = Versions("f").front();
  for (const char* id : { "a", "b" }) {
    m_loop.Do([&] { m_store->Remove("servers/i-" + left.substr(1) + id); });
  }
  BOOST_TEST(WaitFor([this] { return Knows(4); }));
  BOOST_TEST(TakeUp(Port(), "n", "f").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Versions("n").empty());
}

BOOST_FIXTURE_TEST_CASE(
  a_broken_stream_is_cut_at_once_if_no_engine_of_its_version_is_left,
  TwoVersions)
{
  m_loop.Do([&] {
    m_store->Remove("servers/i-1b");
    m_store->Remove("servers/i-2b");
  });
  BOOST_TEST(WaitFor([this] { return Knows(4); }));
  std::string answer = Ask("/stream/x", "r");
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
  BOOST_TEST(Versions("r").size() == 1U);
  BOOST_TEST(!Has(Metrics(), "shallotford_waits_for_memory_total"));
}

BOOST_FIXTURE_TEST_CASE(
  a_stream_of_unknown_origin_is_refused_while_its_version_is_uncertain,
  TwoVersions)
{
  // Version 2 came just now, so its streams may have begun at version 1.
  int refused = 0;
  for (int i = 0; i < kStreams; ++i) {
    std::string next = "n" + std::to_string(i);
    std::string answer = TakeUp(Port(), next, "u" + std::to_string(i));
    if (answer.starts_with("HTTP/1.1 503 ")) {
      ++refused;
      BOOST_TEST(Has(answer, "\"run\":\"no\""));
      BOOST_TEST(Versions(next).empty());
    } else {
      BOOST_TEST((Versions(next) == std::vector<std::string>{ "v1" }));
    }
  }
  BOOST_TEST(refused > 0);
  std::string answer = TakeUpWith(Port(), "n", "");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "\"run\":\"no\""));
  BOOST_TEST(Versions("n").empty());
}

BOOST_FIXTURE_TEST_CASE(streams_go_on_at_their_version_after_all_vms_were_lost,
                        TwoVersions)
{
  std::set<std::string> versions;
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    BOOST_TEST(Has(Ask("/fixed/x", first), Event(1)));
    versions.insert(Versions(first).front());
  }
  BOOST_TEST(versions.size() == 2U);
  // The changes before are older than any stream.
  m_loop.Do([this] {
    m_store->DiscardHistory();
    m_router.reset();
  });
  OtherVm other(*this, Options(), m_store->Address());
  BOOST_TEST(WaitFor([&] { return Answers(other); }));
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    std::string next = "n" + std::to_string(i);
    BOOST_TEST(Has(TakeUp(other.Port(), next, first), Event(2)));
    BOOST_TEST((Versions(first) == Versions(next)));
  }
}

BOOST_FIXTURE_TEST_CASE(
  a_vm_that_has_just_started_joins_no_text_of_two_versions,
  TwoVersions)
{
  std::size_t begunAtFirstVersion = 0;
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    BOOST_TEST(Has(Ask("/fixed/x", first), Event(1)));
    begunAtFirstVersion += Versions(first).front() == "v1" ? 1 : 0;
  }
  BOOST_TEST(begunAtFirstVersion > 0U);
  m_loop.Do([this] {
    m_store->Remove("servers/i-1a");
    m_store->Remove("servers/i-1b");
    m_router.reset();
  });
  OtherVm other(*this, Options(), m_store->Address());
  BOOST_TEST(WaitFor([&] { return Answers(other); }));
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    std::string next = "n" + std::to_string(i);
    TakeUp(other.Port(), next, first);
    bool joined = !Versions(next).empty() && Versions(first) != Versions(next);
    BOOST_TEST(!joined);
  }
  TakeUpWith(other.Port(), "unnamed", "");
  BOOST_TEST(Versions("unnamed").empty());
}

/// The store discards its history just after the last upstreams of a version
/// have left: a VM that starts then joined streams of two versions.
BOOST_FIXTURE_TEST_CASE(
  an_early_discarded_history_joins_no_text_of_two_versions,
  TwoVersions)
{
  std::size_t begunAtFirstVersion = 0;
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    BOOST_TEST(Has(Ask("/fixed/x", first), Event(1)));
    begunAtFirstVersion += Versions(first).front() == "v1" ? 1 : 0;
  }
  BOOST_TEST(begunAtFirstVersion > 0U);
  m_loop.Do([this] {
    m_store->Remove("servers/i-1a");
    m_store->Remove("servers/i-1b");
    m_store->DiscardHistory();
    m_router.reset();
  });
  OtherVm other(*this, Options(), m_store->Address());
  BOOST_TEST(WaitFor([&] { return Answers(other); }));
  for (int i = 0; i < kStreams; ++i) {
    std::string first = "f" + std::to_string(i);
    std::string next = "n" + std::to_string(i);
    TakeUp(other.Port(), next, first);
    bool joined = !Versions(next).empty() && Versions(first) != Versions(next);
    BOOST_TEST(!joined);
  }
  TakeUpWith(other.Port(), "unnamed", "");
  BOOST_TEST(Versions("unnamed").empty());
}

BOOST_FIXTURE_TEST_CASE(a_vm_out_of_step_joins_no_text_of_two_versions, Plain)
{
  // The other VM has a store of its own, which falls silent before version 2
  // joins; it knows no peers.
  std::map<std::string, std::vector<std::string>> versions;
  auto add = [&](const std::string& aId, const std::string& aSoftware) {
    PublishedServer& engine = AddServer(aId, "model", "decode", aSoftware);
    m_loop.Do([&] {
      engine.SetScript(
        [&versions, &engine, aSoftware](const PublishedCall& aCall) {
          if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
            return false;
          }
          versions[aCall.m_id].push_back(aSoftware);
          engine.BeginStream(aCall);
          aCall.m_exchange->Write(Event(1));
          aCall.m_exchange->Abort();
          return true;
        });
    });
    return &engine;
  };
  PublishedServer* first = add("i-1", "v1");
  auto store = m_loop.Do([&] {
    auto made = std::make_unique<PublishedStore>(*m_loop);
    made->Put("op/config", ConfigText(1));
    made->Put("servers/i-a", m_a->Entry("plain", ""));
    made->Put("servers/i-1", first->Entry("model", "decode"));
    return made;
  });
  RouterOptions options = Options();
  options.m_firstStart = true;
  {
    OtherVm other(*this, options, store->Address());
    BOOST_TEST(WaitFor([&] { return TwoVersions::Answers(other); }));
    m_loop.Do([&] { store->SetFault(StoreFault::NoAnswer); });
    add("i-2", "v2");
    BOOST_TEST(WaitFor([this] { return Knows(4); }));
    std::size_t atSecond = 0;
    for (int i = 0; i < kStreams; ++i) {
      std::string begun = "f" + std::to_string(i);
      std::string next = "n" + std::to_string(i);
      BOOST_TEST(Has(Ask("/fixed/x", begun), Event(1)));
      std::string version = m_loop.Do([&] { return versions[begun].front(); });
      atSecond += version == "v2" ? 1 : 0;
      TwoVersions::TakeUp(other.Port(), next, begun);
      bool joined = m_loop.Do([&] {
        return !versions[next].empty() && versions[next].front() != version;
      });
      BOOST_TEST(!joined);
    }
    BOOST_TEST(atSecond > 0u);
  }
  m_loop.Do([&] {
    for (const auto& server : m_servers) {
      server->SetScript({});
    }
    store.reset();
  });
}

BOOST_FIXTURE_TEST_CASE(many_take_ups_do_not_each_read_the_history, TwoVersions)
{
  // An engine that has just started, and whose creation the store no longer
  // has, shows that the history was discarded early.
  m_loop.Do([this] {
    PublishedServer& engine = *m_servers.back();
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      WallTime::clock::now().time_since_epoch());
    engine.SetStartedMs(static_cast<std::uint64_t>(now.count()));
    m_store->Put("servers/" + engine.Id(), engine.Entry("model", "decode"));
    m_store->DiscardHistory();
    m_router.reset();
  });
  OtherVm other(*this, Options(), m_store->Address());
  BOOST_TEST(WaitFor([&] { return Answers(other); }));
  for (int i = 0; i < kStreams; ++i) {
    std::string next = "n" + std::to_string(i);
    std::string answer = TakeUp(other.Port(), next, "u" + std::to_string(i));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  }
  std::size_t reads = CountLogLines("event=directory_history");
  BOOST_TEST(reads > 0U);
  BOOST_TEST(reads < static_cast<std::size_t>(kStreams));
  BOOST_TEST(CountLogLines("usable=yes") == 0U);
}
