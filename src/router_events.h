#ifndef SHALLOTFORD_SRC_ROUTER_EVENTS_H
#define SHALLOTFORD_SRC_ROUTER_EVENTS_H

/// Splits a stream of server-sent events into complete events, so that a broken
/// stream can be resumed between two events.

#include <string>
#include <string_view>

namespace shallotford {

/// Passes complete events on byte for byte and holds back an incomplete one, so
/// that a stream that breaks can be resumed at another upstream.
class EventSplitter
{
public:
  /// Takes bytes and returns those that complete events.
  /// @throws Error (UpstreamFailed) if an event exceeds kMaxEventBytes
  std::string Feed(std::string_view aBytes);
  /// Returns the bytes of the incomplete event and drops them.
  std::string TakeRest();
  /// Returns the id of the last complete event that had one.
  const std::string& LastId() const { return m_lastId; }
  /// Returns the bytes after the last complete event.
  const std::string& Rest() const { return m_rest; }
  /// Returns whether an event has begun and isn't complete.
  bool IsInsideEvent() const;

private:
  void ReadIds(std::string_view aEvents);

  std::string m_rest;
  std::string m_lastId;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_EVENTS_H
