/// Tests of upstreams whose bodies or events go on without end.

#define BOOST_TEST_MODULE router_endless_body
#include <boost/test/unit_test.hpp>

#include "router_endless_fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace shallotford;
using namespace shallotford::test;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE_F(Endless,
                       a_failure_without_end_is_sent_to_another_upstream,
                       data::make(kFailures))
{
  BOOST_TEST(IsGood(AskFirst("/safe/x", sample.m_answer)));
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_failure_without_end_fails_what_may_run_once,
                       data::make(kFailures))
{
  BOOST_TEST(IsError(AskFirst("/once/x", sample.m_answer)));
  CheckClosedEarly();
  BOOST_TEST(m_attempts == 1);
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_refusal_without_end_still_counts_as_a_refusal,
                       data::make({ "/safe/x", "/once/x" }) *
                         data::make(kRefusals),
                       path,
                       refusal)
{
  BOOST_TEST(IsGood(AskFirst(path, refusal.m_answer)));
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_body_without_end_is_cut_at_the_deadline,
                       data::make(kBodies))
{
  std::string answer = AskFirst("/once/x", sample.m_answer);
  BOOST_TEST(!IsComplete(answer));
  BOOST_TEST(!IsGood(answer));
  CheckClosed();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_body_without_end_waits_for_its_caller,
                       data::make(kBodies))
{
  m_first = sample.m_answer;
  SilentCaller caller(*this, "/safe/x");
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_body_without_end_is_closed_when_its_caller_leaves,
                       data::make(kBodies) + data::make(kStreams))
{
  m_first = sample.m_answer;
  SilentCaller caller(*this, "/resumed/x");
  WaitFor([this] { return m_attempts == 1; });
  BOOST_TEST(IsGood(Ask("/safe/x", "r1")));
  caller.Leave();
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_stream_without_end_is_cut_at_the_deadline,
                       data::make(kStreams))
{
  std::string answer = AskFirst("/resumed/x", sample.m_answer);
  BOOST_TEST(!IsComplete(answer));
  CheckClosed();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_stream_without_end_waits_for_its_caller,
                       data::make(kStreams))
{
  m_first = sample.m_answer;
  SilentCaller caller(*this, "/resumed/x");
  CheckClosedEarly();
}

BOOST_FIXTURE_TEST_CASE(an_event_without_end_is_sent_to_another_upstream,
                        Endless)
{
  std::string answer = AskFirst("/resumed/x", { kEvents + "\r\ndata: ", "a" });
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(IsComplete(answer));
  CheckClosedEarly();
}

BOOST_FIXTURE_TEST_CASE(a_slow_event_without_end_fails_at_the_deadline, Endless)
{
  std::string answer =
    AskFirst("/resumed/x", { kEvents + "\r\ndata: ", "a", true });
  BOOST_TEST(IsError(answer));
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       extra_bytes_after_an_answer_close_the_connection,
                       data::make(kExtraBytes))
{
  BOOST_TEST(IsGood(AskFirst("/once/x", sample.m_answer)));
  CheckClosedEarly();
  BOOST_TEST(IsGood(Ask("/once/x", "r1")));
  BOOST_TEST(m_attempts == 2);
}
