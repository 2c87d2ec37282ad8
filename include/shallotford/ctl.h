#ifndef SHALLOTFORD_CTL_H
#define SHALLOTFORD_CTL_H

/// The operators' command-line tool, shallotfordctl: checks fleet texts and
/// settings, plans changes, and queries the daemons of a fleet.

#include "shallotford/base.h"

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace shallotford {

/// Exit codes of shallotfordctl.
enum class CtlExit
{
  Ok = 0,
  Failed = 1,     ///< the VM, or every VM, failed or can't be reached
  Invalid = 2,    ///< invalid command line, or a text that would be refused
  SomeFailed = 3, ///< with --fleet: some VMs answered and others failed
};

/// Waits between the rounds of --watch and decides when the watch ends.
class CtlPaceI
{
public:
  virtual ~CtlPaceI() = default;
  /// Called when a watch begins. From then on, Ctrl-C ends it with
  /// CtlExit::Ok.
  virtual void Start() = 0;
  /// Waits between two rounds. @returns whether another round follows
  virtual bool WaitNext(std::chrono::seconds aInterval) = 0;
};

/// The output streams of one run, and the pace of its rounds.
struct CtlIo
{
  std::ostream& m_out;
  std::ostream& m_err;
  bool m_colour{ false }; ///< escape sequences may be written to m_out
  CtlPaceI& m_pace;
};

/// Runs one command line. Never throws.
/// @param aArguments  without the program's name
CtlExit
RunCtl(const std::vector<std::string>& aArguments, CtlIo& aIo);

} // namespace shallotford

#endif // SHALLOTFORD_CTL_H
