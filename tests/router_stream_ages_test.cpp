/// Tests of streams that are taken up long after they began: what the present
/// attempt and the present configuration say tells nothing of their age.

#define BOOST_TEST_MODULE router_stream_ages
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_versions_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// Streams that began at version 1, which version 2 has replaced since, longer
/// ago than VMs' views of the upstreams may be late.
struct ReplacedVersion : Engines
{
  ReplacedVersion()
  {
    AddEngine("i-1", "v1");
    BOOST_TEST(WaitFor([this] { return Knows(3); }));
  }

  void BeginAndReplace(const std::string& aDeadline)
  {
    for (int i = 0; i < kStreams; ++i) {
      BOOST_TEST(Has(Attempt("f" + std::to_string(i), aDeadline), Event(1)));
    }
    AddEngine("i-2", "v2");
    BOOST_TEST(WaitFor([this] { return Knows(4); }));
    m_loop.Do([this] { m_store->Remove("servers/i-1"); });
    BOOST_TEST(WaitFor([this] { return Knows(3); }));
    std::this_thread::sleep_for(kMaxUpstreamViewAge + 500ms);
  }

  /// @param aFields  header fields after the request's id
  std::string Attempt(const std::string& aId, const std::string& aFields)
  {
    RawSocket socket(Port());
    std::string request = "POST /fixed/x HTTP/1.1\r\nHost: h\r\n"
                          "X-Shallotford-Request-Id: ";
    request += aId;
    request += "\r\nConnection: close\r\n";
    request += aFields;
    request += "Content-Length: 1\r\n\r\nb";
    socket.Send(request);
    return socket.ReadToEnd();
  }

  static std::string Deadline(std::chrono::milliseconds aTime)
  {
    return "X-Shallotford-Deadline-Ms: " + std::to_string(aTime.count()) +
           "\r\n";
  }

  /// Takes the streams up with and without the id of their first attempt, which
  /// no VM remembers.
  void TakeUpAll(const std::string& aDeadline)
  {
    for (int i = 0; i < kStreams; ++i) {
      std::string number = std::to_string(i);
      std::string fields = "Last-Event-Id: 1\r\n" + aDeadline;
      Attempt("n" + number, fields);
      fields.append("Resumes: lost").append(number).append("\r\n");
      Attempt("m" + number, fields);
      for (const std::string& id : { "n" + number, "m" + number }) {
        bool joined = !Versions(id).empty() && Versions(id).front() != "v1";
        BOOST_TEST(!joined);
      }
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(
  a_deadline_that_begins_anew_joins_no_text_of_two_versions,
  ReplacedVersion)
{
  BeginAndReplace(Deadline(8'000ms));
  TakeUpAll(Deadline(8'000ms));
}

BOOST_FIXTURE_TEST_CASE(a_missing_deadline_joins_no_text_of_two_versions,
                        ReplacedVersion)
{
  BeginAndReplace("");
  TakeUpAll("");
}

BOOST_FIXTURE_TEST_CASE(
  a_deadline_beyond_the_routes_timeout_joins_no_text_of_two_versions,
  ReplacedVersion)
{
  BeginAndReplace(Deadline(20'000ms));
  TakeUpAll(Deadline(15'000ms));
}

BOOST_FIXTURE_TEST_CASE(a_lowered_timeout_joins_no_text_of_two_versions,
                        ReplacedVersion)
{
  BeginAndReplace(Deadline(8'000ms));
  std::string config = ConfigText(2);
  std::string before = "\"timeout-ms\":8000";
  for (std::size_t at = config.find(before); at != std::string::npos;
       at = config.find(before, at)) {
    config.replace(at, before.size(), "\"timeout-ms\":2000");
  }
  Publish(config);
  BOOST_TEST(WaitFor(
    [this] { return CountLogLines("event=configuration version=2") == 1U; }));
  TakeUpAll(Deadline(3'000ms));
}
