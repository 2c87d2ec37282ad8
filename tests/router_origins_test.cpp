/// Tests of streams whose callers don't name the attempt that brought the first
/// event: VMs find them by what all attempts have in common.

#define BOOST_TEST_MODULE router_origins
#include <boost/test/unit_test.hpp>

#include "router_versions_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

constexpr const char* kSplitRoute =
  R"(,{"name":"split","host":"h","prefix":"/split/","kind":"streaming",)"
  R"("timeout-ms":8000,"target-latency-ms":900,"max-attempts":1,)"
  R"("traffic-split":[{"service":"model","weight":1},)"
  R"({"service":"other","weight":1}]})";

RouterOptions
FirstStart()
{
  RouterOptions options = RouterFixture::Options();
  options.m_firstStart = true;
  return options;
}

/// Two VMs; the first one has been there for all streams.
struct TwoVms : TwoVersions
{
  explicit TwoVms(const RouterOptions& aOptions = FirstStart())
    : TwoVersions(aOptions)
  {
    RouterOptions options = Options();
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
    m_other.emplace(*this, options, m_store->Address());
    BOOST_TEST(WaitFor([&] { return Answers(*m_other); }));
  }

  static std::string Send(std::uint16_t aPort,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody,
                          const std::string& aFields = "")
  {
    RawSocket socket(aPort);
    socket.Send(Request(aPath, aId, aBody, "Connection: close\r\n" + aFields));
    return socket.ReadToEnd();
  }
  /// Begins a stream at the first VM, which breaks after event 1.
  void Begin(const std::string& aPath,
             const std::string& aId,
             const std::string& aBody)
  {
    BOOST_TEST(Has(Send(Port(), aPath, aId, aBody), Event(1)));
  }
  /// Continues it at the other VM.
  std::string TakeUpBody(const std::string& aPath,
                         const std::string& aId,
                         const std::string& aBody)
  {
    return Send(m_other->Port(), aPath, aId, aBody, "Last-Event-Id: 1\r\n");
  }

  std::optional<OtherVm> m_other;
};

struct LaterStart : TwoVms
{
  LaterStart()
    : TwoVms(Options())
  {
  }
};

/// A route that is split between the service of two versions and another one.
struct SplitRoute : TwoVms
{
  SplitRoute()
  {
    AddEngine("i-o", "o1", "other", "");
    Publish(ConfigText(2, kSplitRoute));
    for (std::uint16_t port : { Port(), m_other->Port() }) {
      BOOST_TEST(WaitFor([&] {
        return !Send(port, "/split/x", "probe", "p")
                  .starts_with("HTTP/1.1 404 ");
      }));
    }
  }
  /// Leaves the route only the service of one version.
  void PublishMoved()
  {
    std::string moved = kSplitRoute;
    std::string share = R"({"service":"model","weight":1},)";
    moved.replace(moved.find(share), share.size(), "");
    Publish(ConfigText(3, moved));
    BOOST_TEST(WaitFor(
      [this] { return CountLogLines("event=configuration version=3") == 2U; }));
  }
};

std::string
Name(const char* aKind, int aNumber)
{
  return aKind + std::to_string(aNumber);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(
  a_stream_whose_caller_names_no_attempt_goes_on_at_its_version,
  TwoVms)
{
  std::set<std::string> versions;
  for (int i = 0; i < kStreams; ++i) {
    Begin("/fixed/x", Name("f", i), Name("body", i));
    versions.insert(Versions(Name("f", i)).front());
  }
  BOOST_TEST(versions.size() == 2U);
  for (int i = 0; i < kStreams; ++i) {
    std::string answer = TakeUpBody("/fixed/x", Name("n", i), Name("body", i));
    BOOST_TEST(Has(answer, Event(2)));
    BOOST_TEST((Versions(Name("n", i)) == Versions(Name("f", i))));
  }
}

BOOST_FIXTURE_TEST_CASE(equal_requests_at_two_versions_are_not_joined, TwoVms)
{
  std::set<std::string> versions;
  for (int i = 0; i < kStreams; ++i) {
    Begin("/fixed/x", Name("f", i), "body");
    versions.insert(Versions(Name("f", i)).front());
  }
  BOOST_TEST(versions.size() == 2U);
  for (int i = 0; i < kStreams; ++i) {
    std::string answer = TakeUpBody("/fixed/x", Name("n", i), "body");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(Has(answer, "\"run\":\"no\""));
    BOOST_TEST(Versions(Name("n", i)).empty());
  }
}

/// Another VM, now lost, may have begun an equal request at the other version.
BOOST_FIXTURE_TEST_CASE(
  a_vm_that_may_have_missed_streams_joins_no_text_of_two_versions,
  LaterStart)
{
  for (int i = 0; i < kStreams; ++i) {
    Begin("/fixed/x", Name("f", i), Name("body", i));
    TakeUpBody("/fixed/x", Name("n", i), Name("body", i));
    BOOST_TEST(Versions(Name("n", i)).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(a_stream_goes_on_at_the_service_that_began_it,
                        SplitRoute)
{
  std::size_t begunAtOther = 0;
  for (int i = 0; i < kStreams; ++i) {
    Begin("/split/x", Name("f", i), Name("body", i));
    begunAtOther += Versions(Name("f", i)).front() == "o1" ? 1 : 0;
  }
  BOOST_TEST(begunAtOther > 0U);
  BOOST_TEST(begunAtOther < static_cast<std::size_t>(kStreams));
  for (int i = 0; i < kStreams; ++i) {
    BOOST_TEST(
      Has(TakeUpBody("/split/x", Name("n", i), Name("body", i)), Event(2)));
    BOOST_TEST((Versions(Name("n", i)) == Versions(Name("f", i))));
  }
}

BOOST_FIXTURE_TEST_CASE(
  a_stream_of_lost_origin_is_not_joined_at_the_service_its_route_moved_to,
  SplitRoute)
{
  PublishMoved();
  for (int i = 0; i < kStreams; ++i) {
    std::string lost =
      "Last-Event-Id: 1\r\nResumes: lost" + std::to_string(i) + "\r\n";
    Send(Port(), "/split/x", Name("m", i), Name("body", i), lost);
    BOOST_TEST(Versions(Name("m", i)).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(
  a_stream_whose_route_moved_is_not_joined_at_another_service,
  SplitRoute)
{
  for (int i = 0; i < kStreams; ++i) {
    Begin("/split/x", Name("f", i), Name("body", i));
  }
  PublishMoved();
  for (int i = 0; i < kStreams; ++i) {
    std::string fields = "Last-Event-Id: 1\r\n";
    std::string named = fields + "Resumes: " + Name("f", i) + "\r\n";
    Send(Port(), "/split/x", Name("n", i), Name("body", i), fields);
    Send(Port(), "/split/x", Name("m", i), Name("body", i), named);
    for (const std::string& id : { Name("n", i), Name("m", i) }) {
      bool joined =
        !Versions(id).empty() && Versions(id) != Versions(Name("f", i));
      BOOST_TEST(!joined);
    }
  }
}
