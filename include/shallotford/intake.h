#ifndef SHALLOTFORD_INTAKE_H
#define SHALLOTFORD_INTAKE_H

/// One account of what callers' connections make this process hold, and what is
/// done when it nears its bound. Pure: it knows no sockets and no clock.

#include "shallotford/base.h"

#include <cstddef>
#include <vector>

namespace shallotford {

/// Share of a VM's memory that the account may fill. The rest is for the
/// process in calm (about 12 MB, and as much as the configuration needs) and
/// for what the heap holds without using it.
inline constexpr double kIntakeShare = 0.4;
/// The bound if the VM's memory isn't stated: many of the largest requests (4
/// MB), on a VM of usual size.
inline constexpr std::size_t kDefaultIntakeBytes = 64u << 20;
/// The same for calls of other VMs and operators: what VMs call in calm is a
/// tenth of the share on the smallest of them.
inline constexpr double kControlIntakeShare = 0.1;
inline constexpr std::size_t kDefaultControlIntakeBytes = 16u << 20;
/// Room that a request claims for its answer before it is sent: what is read
/// from an upstream before reading can pause.
inline constexpr std::size_t kAnswerClaim = 16u << 10;
/// Memory of a connection without a request: its object, its parser and the
/// loop's state.
inline constexpr std::size_t kConnectionBytes = 4u << 10;
/// A heavy connection without progress for so long is closed near the bound.
/// Longer than a caller in calm is between two packets.
inline constexpr std::chrono::milliseconds kMaxIntakeStall{ 2'000 };

/// Descriptors of a VM that are kept for files, and for upstreams, peers, the
/// directory's source and listeners.
inline constexpr std::size_t kFileDescriptors = 200;
inline constexpr std::size_t kOtherDescriptors = 1'024;

/// Returns how many bytes the account of a VM may hold.
/// @param aMegabytes  the VM's memory; 0 if not stated
std::size_t
IntakeBytes(double aMegabytes);

/// The same for other VMs and operators.
std::size_t
ControlIntakeBytes(double aMegabytes);

/// Returns how many connections of callers fit a VM, at least one.
/// @param aDescriptors  the VM's limit; 0 if not stated
std::size_t
IntakeConnections(std::size_t aConfigured, std::size_t aDescriptors);

/// What is done as the account fills.
enum class IntakeStep
{
  Calm,
  Pause,  ///< connections above their share aren't read
  Refuse, ///< new ones are closed, then the heaviest without progress
};
const char*
ToString(IntakeStep aStep);

/// One connection, for the choice of those to close.
struct IntakeHolder
{
  std::size_t m_bytes{ 0 };
  Duration m_stalled{}; ///< time since its last progress
};

class Intake
{
public:
  explicit Intake(std::size_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  void Open()
  {
    ++m_connections;
    m_bytes += kConnectionBytes;
  }
  /// @param aBytes  what the connection still holds
  void Close(std::size_t aBytes)
  {
    --m_connections;
    m_bytes -= kConnectionBytes + aBytes;
  }
  /// A connection holds aTo bytes instead of aFrom.
  void Change(std::size_t aFrom, std::size_t aTo)
  {
    m_bytes = m_bytes - aFrom + aTo;
  }

  std::size_t Bytes() const { return m_bytes; }
  std::size_t Connections() const { return m_connections; }
  /// Returns the step at which the account is, or would be with aMore bytes.
  IntakeStep Step(std::size_t aMore = 0) const;
  /// Returns whether a connection that holds aBytes may be read on.
  bool MayRead(std::size_t aBytes) const
  {
    return Step() == IntakeStep::Calm || aBytes <= Share();
  }
  /// Returns whether a request may run whose connection then holds aBytes.
  bool MayRun(std::size_t aBytes) const
  {
    return Step() != IntakeStep::Refuse || aBytes <= Share();
  }
  /// Returns whether aBytes more would stay below the step Refuse.
  bool HasRoomFor(std::size_t aBytes) const;
  /// Grants a connection room for aBytes more, so that large requests end one
  /// after the other while none is within its share. The first grant may use
  /// the whole bound.
  /// @return whether it is granted; EndGrant() is due then
  bool Grant(std::size_t aBytes);
  void EndGrant() { --m_grants; }
  /// Returns the bytes that each connection may hold at any step.
  std::size_t Share() const;

  /// Returns the indices of the connections to close, the heaviest first, until
  /// the account would be below the step Refuse.
  std::vector<std::size_t> ToClose(
    const std::vector<IntakeHolder>& aHolders) const;

private:
  std::size_t m_maxBytes;
  std::size_t m_bytes{ 0 };
  std::size_t m_connections{ 0 };
  std::size_t m_grants{ 0 };
};

} // namespace shallotford

#endif // SHALLOTFORD_INTAKE_H
