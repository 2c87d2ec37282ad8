/// Tests of the splitter of server-sent events.

#define BOOST_TEST_MODULE net_sse
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "config.h"
#include "shallotford/net.h"

using namespace shallotford;

namespace {

/// Returns the events of aStream, fed in pieces of aPiece bytes, one a line.
std::string
EventsOf(const std::string& aStream, std::size_t aPiece)
{
  EventStreamParser parser;
  std::string events;
  for (std::size_t at = 0; at < aStream.size(); at += aPiece) {
    parser.Feed(std::string_view(aStream).substr(at, aPiece),
                [&](const ServerSentEvent& aEvent) {
                  events += aEvent.m_id + "|" + aEvent.m_event + "|" +
                            aEvent.m_data + "\n";
                });
  }
  return events;
}

} // namespace

BOOST_AUTO_TEST_CASE(fields_and_line_ends_are_read)
{
  BOOST_TEST(EventsOf("id: 4\nevent: token\ndata: a\n\n", 99) == "4|token|a\n");
  BOOST_TEST(EventsOf("data:a\r\ndata: b\r\n\r\n", 99) == "||a\nb\n");
  BOOST_TEST(EventsOf(": comment\nretry: 5\nid: 1\n\ndata: x\n\n", 99) ==
             "||x\n");
  BOOST_TEST(EventsOf("data\n\n", 99) == "||\n");
  BOOST_TEST(EventsOf("data: unfinished\n", 99).empty());
}

BOOST_AUTO_TEST_CASE(pieces_make_no_difference)
{
  BOOST_TEST(rc::check(
    [](const std::vector<std::uint8_t>& aChoices, std::uint8_t aPiece) {
      constexpr const char* kParts[] = { "data: x\n", "data: yy\r\n", "\n",
                                         "\r\n",      "id: 7\n",      ": c\n",
                                         "event: e\n" };
      std::string stream;
      for (std::uint8_t choice : aChoices) {
        stream += kParts[choice % std::size(kParts)];
      }
      RC_ASSERT(EventsOf(stream, 1 + aPiece % 9) ==
                EventsOf(stream, stream.size() + 1));
    }));
}

BOOST_AUTO_TEST_CASE(too_large_events_are_refused)
{
  std::string line = "data: " + std::string(kMaxEventBytes / 2, 'x') + "\n";
  BOOST_TEST(!EventsOf(line + "\n", 4096).empty());
  BOOST_CHECK_THROW(EventsOf(line + line, 4096), Error);
  BOOST_CHECK_THROW(EventsOf(line.substr(0, 20) + line + line, 4096), Error);
}
