/// Entry point of shallotfordctl, the operators' command line.

#include "shallotford/ctl.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

/// Ends the process at once. Each round of a watch is written as a whole, so
/// that no line is cut.
void
EndWatch(int /*aSignal*/)
{
  _exit(static_cast<int>(shallotford::CtlExit::Ok));
}

/// Repeats the rounds of a watch until Ctrl-C, which ends the program with 0.
class UntilInterrupted : public shallotford::CtlPaceI
{
public:
  void Start() override
  {
    struct sigaction action = {};
    action.sa_handler = EndWatch;
    sigaction(SIGINT, &action, nullptr);
  }

  bool WaitNext(std::chrono::seconds aInterval) override
  {
    std::this_thread::sleep_for(aInterval);
    return true;
  }
};

/// Returns whether stdout is a terminal and NO_COLOR is unset or empty.
bool
WantsColour()
{
  const char* noColour = std::getenv("NO_COLOR");
  if (noColour != nullptr && *noColour != '\0') {
    return false;
  }
  return isatty(STDOUT_FILENO) == 1;
}

} // namespace

int
main(int aCount, char** aValues)
{
  UntilInterrupted pace;
  shallotford::CtlIo io{ .m_out = std::cout,
                         .m_err = std::cerr,
                         .m_colour = WantsColour(),
                         .m_pace = pace };
  return static_cast<int>(
    shallotford::RunCtl({ aValues + 1, aValues + aCount }, io));
}
