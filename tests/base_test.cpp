/// Tests of identifiers, errors, log lines and JSON reading.

#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "shallotford/base.h"

using namespace shallotford;

BOOST_AUTO_TEST_CASE(attempt_id_survives_its_text_form)
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

BOOST_AUTO_TEST_CASE(error_body_carries_run_and_remedy)
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
