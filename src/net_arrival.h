#ifndef SHALLOTFORD_SRC_NET_ARRIVAL_H
#define SHALLOTFORD_SRC_NET_ARRIVAL_H

/// Tells when bytes, or the end, arrive on connections, beside libwebsockets.
///
/// libwebsockets 4.1.6 doesn't read from a connection whose request is being
/// answered, and so doesn't see its end; worse, it polls readable ones without
/// pause. Its flow control is no way out, since that holds writes back too.

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace shallotford {

class ArrivalWatch
{
public:
  ArrivalWatch();
  ~ArrivalWatch();
  ArrivalWatch(const ArrivalWatch&) = delete;
  ArrivalWatch& operator=(const ArrivalWatch&) = delete;

  /// Returns the descriptor that becomes readable when a callback is due.
  int Descriptor() const { return m_descriptor; }
  /// Calls aOnArrival each time that bytes or the end arrive on aSocket.
  std::uint64_t Add(int aSocket, std::function<void()> aOnArrival);
  /// Ends a watch. Closing the socket ends it in the kernel.
  void Remove(std::uint64_t aWatch) { m_callbacks.erase(aWatch); }
  /// Runs the callbacks that are due.
  void RunDue();

private:
  int m_descriptor;
  std::uint64_t m_lastWatch{ 0 };
  std::unordered_map<std::uint64_t, std::function<void()>> m_callbacks;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_ARRIVAL_H
