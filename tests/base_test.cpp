/// Tests of identifiers, errors, log lines and JSON reading.

#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include "shallotford/base.h"

using namespace shallotford;

BOOST_AUTO_TEST_CASE(attempt_id_is_unchanged_by_writing_and_parsing)
{
  AttemptId id{ { { "127.0.0.1:7001", 0xabcdef }, 42 }, 3 };
  BOOST_TEST(ToString(id) == "127.0.0.1:7001~abcdef~42~3");
  BOOST_TEST((ParseAttemptId(ToString(id)) == id));
}

BOOST_AUTO_TEST_CASE(malformed_ids_are_refused)
{
  for (const char* text : { "",
                            "~",
                            "a~1",
                            "a~zz~1",
                            "a~1~",
                            "~1~1",
                            "a~1~99999999999999999999",
                            "a~b~c~d~e" }) {
    BOOST_CHECK_THROW(ParseRequestId(text), Error);
  }
}

BOOST_AUTO_TEST_CASE(error_body_contains_run_and_remedy)
{
  Error error(ErrorKind::RateLimited, "too many", "Wait.");
  error.WithRetryAfter(std::chrono::milliseconds{ 250 });
  Json::Value body = ParseJson(ErrorBody(error))["error"];
  BOOST_TEST(body["run"].asString() == "no");
  BOOST_TEST(body["remedy"].asString() == "Wait.");
  BOOST_TEST(body["code"].asString() == "rate_limited");
  BOOST_TEST(body["retry_after_ms"].asInt() == 250);
  BOOST_TEST(HttpStatus(error.Kind()) == 429);
}

BOOST_AUTO_TEST_CASE(log_values_with_spaces_are_quoted)
{
  LogEvent event("x");
  event.Add("a", "b c\n").Add("n", std::int64_t{ 5 });
  BOOST_TEST(event.Line() == "event=x a=\"b c\\n\" n=5");
}

BOOST_AUTO_TEST_CASE(json_reader_is_strict)
{
  for (const char* text :
       { "", "{", "{\"a\":1,\"a\":2}", "{} x", "// c\n{}", "[1,]" }) {
    BOOST_CHECK_THROW(ParseJson(text), Error);
  }
  BOOST_CHECK_THROW(ParseJson(std::string(5000, '[')), Error);
  BOOST_TEST(ParseJson("{\"a\":[1]}")["a"][0].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(a_limited_log_reports_suppressed_events)
{
  MemoryLog sink;
  FakeClock clock;
  auto log = MakeLimitedLog(sink, clock, 2);
  for (int i = 0; i < 5; ++i) {
    log->Write(LogEvent("often"));
  }
  log->Write(LogEvent("often", LogLevel::Warning));
  log->Write(LogEvent("seldom"));
  BOOST_TEST(sink.Lines().size() == 4U);
  clock.Advance(std::chrono::seconds(1));
  log->Write(LogEvent("often"));
  BOOST_TEST(sink.Lines()[4] == "event=suppressed kind=often count=3");
  BOOST_TEST(sink.Lines()[5] == "event=often");
}

BOOST_AUTO_TEST_CASE(a_slow_reader_never_blocks_the_log)
{
  int ends[2];
  BOOST_REQUIRE(::pipe(ends) == 0);
  constexpr std::size_t kCapacity = 64u << 10;
  LineQueue queue(ends[1], kCapacity);
  std::string line(1'000, 'x');
  line += '\n';
  // The lines exceed the capacities of the pipe and the queue many times.
  for (int i = 0; i < 1'000; ++i) {
    queue.Push(line, false);
  }
  std::uint64_t dropped = queue.Dropped();
  BOOST_TEST(dropped > 0U);
  queue.Push("warning\n", true); // may use the queue's second half
  BOOST_TEST(queue.Dropped() == dropped);
  std::string read;
  char buffer[65'536];
  while (read.find("lines_dropped") == std::string::npos) {
    ssize_t got = ::read(ends[0], buffer, sizeof buffer);
    BOOST_REQUIRE(got > 0);
    read.append(buffer, static_cast<std::size_t>(got));
    queue.Push("more\n", true);
  }
  BOOST_TEST(read.find("warning\n") != std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}
