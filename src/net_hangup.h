#ifndef SHALLOTFORD_SRC_NET_HANGUP_H
#define SHALLOTFORD_SRC_NET_HANGUP_H

/// Watches connections whose request is being answered.
///
/// libwebsockets 4.1.6 doesn't read from such a connection, and so doesn't see
/// its end; worse, it polls readable ones without pause. Its flow control is
/// no way out, since that holds writes back too. So the end is seen here, and
/// what a peer sends before it has its answer is read and dropped here.

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace shallotford {

class HangupWatch
{
public:
  HangupWatch();
  ~HangupWatch();
  HangupWatch(const HangupWatch&) = delete;
  HangupWatch& operator=(const HangupWatch&) = delete;

  /// Returns the descriptor that becomes readable when a callback is due.
  int Descriptor() const { return m_descriptor; }
  /// Prepares a watch; Arm() starts it.
  /// @param aOnReadable  called once when aSocket is readable or at its end
  std::uint64_t Add(int aSocket, std::function<void()> aOnReadable);
  /// Calls the callback of aWatch once more when aSocket is readable.
  void Arm(std::uint64_t aWatch, int aSocket);
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

#endif // SHALLOTFORD_SRC_NET_HANGUP_H
