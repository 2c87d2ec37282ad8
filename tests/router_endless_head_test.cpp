/// Tests of upstreams whose heads or chunk framing go on without end.

#define BOOST_TEST_MODULE router_endless_head
#include <boost/test/unit_test.hpp>

#include "router_endless_fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace shallotford;
using namespace shallotford::test;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE_F(Endless,
                       a_head_without_end_is_sent_to_another_upstream,
                       data::make(kHeads))
{
  BOOST_TEST(IsGood(AskFirst("/safe/x", sample.m_answer)));
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_head_without_end_fails_what_may_run_once,
                       data::make(kHeads))
{
  BOOST_TEST(IsError(AskFirst("/once/x", sample.m_answer)));
  CheckClosedEarly();
  BOOST_TEST(m_attempts == 1);
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_chunk_line_without_end_is_sent_to_another_upstream,
                       data::make(kChunkLines))
{
  BOOST_TEST(IsGood(AskFirst("/safe/x", sample.m_answer)));
  CheckClosedEarly();
}

BOOST_DATA_TEST_CASE_F(Endless,
                       a_chunk_line_without_end_fails_what_may_run_once,
                       data::make(AtBothSpeeds(kChunkLines)))
{
  BOOST_TEST(IsError(AskFirst("/once/x", sample.m_answer)));
  CheckClosedEarly();
  BOOST_TEST(m_attempts == 1);
}
