/// Splits a stream of server-sent events into complete events.

#include "router_events.h"

#include "config.h"
#include "shallotford/base.h"

#include <array>

namespace shallotford {

namespace {

/// Returns the number of bytes up to the end of the last complete event, or 0
/// if no event ends after the first aSeen bytes, which hold no end of an event.
std::size_t
EndOfEvents(std::string_view aBytes, std::size_t aSeen)
{
  // An event of many pieces is not searched again with each of them.
  constexpr std::size_t kMaxMarkBytes = 3;
  std::size_t from = aSeen - std::min(aSeen, kMaxMarkBytes - 1);
  std::string_view unseen = aBytes.substr(from);
  // An empty line: "\n\r\n" also ends "\r\n\r\n".
  constexpr std::array<std::string_view, 3> kEnds = { "\n\n",
                                                      "\n\r\n",
                                                      "\r\r" };
  std::size_t end = 0;
  for (std::string_view mark : kEnds) {
    std::size_t at = unseen.rfind(mark);
    if (at != std::string_view::npos) {
      end = std::max(end, from + at + mark.size());
    }
  }
  return end;
}

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  std::size_t seen = m_rest.size();
  m_rest.append(aBytes);
  std::size_t end = EndOfEvents(m_rest, seen);
  if (end == 0) {
    if (m_rest.size() > kMaxEventBytes) {
      throw Error(ErrorKind::UpstreamFailed,
                  "an event exceeds " + std::to_string(kMaxEventBytes) +
                    " bytes",
                  "Send smaller events.");
    }
    return {};
  }
  std::string events = m_rest.substr(0, end);
  m_rest.erase(0, end);
  ReadIds(events);
  return events;
}

bool
EventSplitter::IsInsideEvent() const
{
  return m_rest.find_first_not_of("\r\n") != std::string::npos;
}

std::string
EventSplitter::TakeRest()
{
  return std::exchange(m_rest, {});
}

void
EventSplitter::ReadIds(std::string_view aEvents)
{
  constexpr std::string_view kField = "id:";
  std::size_t at = aEvents.rfind(kField);
  while (at != std::string_view::npos) {
    bool lineBegins =
      at == 0 || aEvents[at - 1] == '\n' || aEvents[at - 1] == '\r';
    if (lineBegins) {
      std::string_view value = aEvents.substr(at + kField.size());
      value = value.substr(0, value.find_first_of("\r\n"));
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      m_lastId = value;
      return;
    }
    at = at == 0 ? std::string_view::npos : aEvents.rfind(kField, at - 1);
  }
}

} // namespace shallotford
