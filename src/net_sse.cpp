/// Splits a byte stream into server-sent events.

#include "config.h"
#include "shallotford/net.h"

namespace shallotford {

namespace {

/// Adds one line of an event. Comments and unknown fields are ignored.
/// Returns whether the line carried a known field.
void
AddLine(ServerSentEvent& aEvent, std::string_view aLine, bool& aHasData)
{
  std::size_t colon = aLine.find(':');
  std::string_view field = aLine.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = aLine.substr(colon + 1);
  }
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (aHasData) {
      aEvent.m_data += '\n';
    }
    aEvent.m_data += value;
    aHasData = true;
  } else if (field == "id") {
    aEvent.m_id = value;
  } else if (field == "event") {
    aEvent.m_event = value;
  }
}

[[noreturn]] void
ThrowTooLarge()
{
  throw Error(ErrorKind::UpstreamFailed,
              "an event of the stream exceeds " +
                std::to_string(kMaxEventBytes) + " bytes",
              "Let the upstream send smaller events.",
              RunState::Unknown);
}

} // namespace

void
EventStreamParser::Feed(
  std::string_view aBytes,
  const std::function<void(const ServerSentEvent&)>& aSink)
{
  m_pending += aBytes;
  std::size_t taken = 0;
  while (true) {
    std::size_t end = m_pending.find('\n', std::max(taken, m_searched));
    if (end == std::string::npos) {
      break;
    }
    std::string_view line(m_pending.data() + taken, end - taken);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    taken = end + 1;
    if (!line.empty()) {
      m_eventBytes += line.size();
      AddLine(m_event, line, m_hasData);
      if (m_eventBytes > kMaxEventBytes) {
        ThrowTooLarge();
      }
      continue;
    }
    bool complete = m_hasData;
    ServerSentEvent event = std::move(m_event);
    m_event = {};
    m_hasData = false;
    m_eventBytes = 0;
    if (complete) {
      aSink(event);
    }
  }
  m_pending.erase(0, taken);
  m_searched = m_pending.size();
  if (m_pending.size() + m_eventBytes > kMaxEventBytes) {
    ThrowTooLarge();
  }
}

} // namespace shallotford
