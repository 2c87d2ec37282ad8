#ifndef SHALLOTFORD_SRC_ROUTER_EVENTS_H
#define SHALLOTFORD_SRC_ROUTER_EVENTS_H

/// Event boundaries in a stream that is passed on byte for byte.

#include <string>
#include <string_view>

namespace shallotford {

/// Holds back an unfinished event, so that a stream that breaks can go on
/// elsewhere at an event's beginning.
class EventSplitter
{
public:
  /// Takes bytes and returns those that complete events.
  /// @throws Error (UpstreamFailed) if an event exceeds kMaxEventBytes
  std::string Feed(std::string_view aBytes);
  /// Returns the bytes of the unfinished event and forgets them.
  std::string TakeRest();
  /// Returns the id of the last whole event that had one.
  const std::string& LastId() const { return m_lastId; }
  bool HasRest() const { return !m_rest.empty(); }

private:
  void ReadIds(std::string_view aEvents);

  std::string m_rest;
  std::string m_lastId;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_EVENTS_H
