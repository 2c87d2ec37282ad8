/// The account of what callers' connections hold, and its bound.

#include "shallotford/intake.h"

#include <algorithm>
#include <numeric>

namespace shallotford {

namespace {

constexpr double kMegabyte = 1u << 20;

// Shares of the bound from which a step is taken. What connections within their
// share may still bring fits above the first.
constexpr double kPauseShare = 0.6;
constexpr double kRefuseShare = 0.75;
/// Part of the bound that connections may fill, in equal shares, while others
/// aren't read.
constexpr std::size_t kSharedPart = 4; // one in

bool
IsAbove(std::size_t aBytes, double aShare, std::size_t aMax)
{
  return static_cast<double>(aBytes) > aShare * static_cast<double>(aMax);
}

std::size_t
BytesOf(double aMegabytes, double aShare, std::size_t aDefault)
{
  return aMegabytes <= 0
           ? aDefault
           : static_cast<std::size_t>(aMegabytes * kMegabyte * aShare);
}

} // namespace

std::size_t
IntakeBytes(double aMegabytes)
{
  return BytesOf(aMegabytes, kIntakeShare, kDefaultIntakeBytes);
}

std::size_t
ControlIntakeBytes(double aMegabytes)
{
  return BytesOf(aMegabytes, kControlIntakeShare, kDefaultControlIntakeBytes);
}

std::size_t
IntakeConnections(std::size_t aConfigured, std::size_t aDescriptors)
{
  if (aDescriptors == 0) {
    return aConfigured;
  }
  constexpr std::size_t kKept = kFileDescriptors + kOtherDescriptors;
  std::size_t left = aDescriptors - std::min(kKept, aDescriptors / 2);
  return std::min(aConfigured, left);
}

const char*
ToString(IntakeStep aStep)
{
  switch (aStep) {
    case IntakeStep::Calm:
      return "calm";
    case IntakeStep::Pause:
      return "pause";
    case IntakeStep::Refuse:
      return "refuse";
  }
  return "unknown";
}

IntakeStep
Intake::Step(std::size_t aMore) const
{
  std::size_t bytes = m_bytes + aMore;
  if (IsAbove(bytes, kRefuseShare, m_maxBytes)) {
    return IntakeStep::Refuse;
  }
  return IsAbove(bytes, kPauseShare, m_maxBytes) ? IntakeStep::Pause
                                                 : IntakeStep::Calm;
}

bool
Intake::HasRoomFor(std::size_t aBytes) const
{
  return Step(aBytes) != IntakeStep::Refuse;
}

bool
Intake::Grant(std::size_t aBytes)
{
  bool fits =
    HasRoomFor(aBytes) || (m_grants == 0 && m_bytes + aBytes <= m_maxBytes);
  m_grants += fits ? 1 : 0;
  return fits;
}

std::size_t
Intake::Share() const
{
  return m_maxBytes / kSharedPart / std::max<std::size_t>(m_connections, 1);
}

std::vector<std::size_t>
Intake::ToClose(const std::vector<IntakeHolder>& aHolders) const
{
  std::vector<std::size_t> order(aHolders.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aHolders[aLeft].m_bytes > aHolders[aRight].m_bytes;
    });
  std::vector<std::size_t> chosen;
  std::size_t left = m_bytes;
  for (std::size_t index : order) {
    if (!IsAbove(left, kRefuseShare, m_maxBytes)) {
      break;
    }
    if (aHolders[index].m_stalled >= kMaxIntakeStall) {
      left -= std::min(left, aHolders[index].m_bytes + kConnectionBytes);
      chosen.push_back(index);
    }
  }
  return chosen;
}

} // namespace shallotford
