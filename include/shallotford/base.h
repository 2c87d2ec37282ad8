#ifndef SHALLOTFORD_BASE_H
#define SHALLOTFORD_BASE_H

/// Basic types and functions that every other library uses: typed errors,
/// identifiers, hashes, time, random numbers, structured log events and JSON.

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/value.h>

namespace shallotford {

/// Monotonic time, used by every decision.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Calendar time, used only in logs and in data that is sent to others.
using WallTime = std::chrono::system_clock::time_point;

// ---------------------------------------------------------------- errors

/// The kinds of error that are reported to clients and operators. Each has one
/// name on the wire.
enum class ErrorKind
{
  InvalidRequest,   ///< the caller's request is malformed
  TooLarge,         ///< a body exceeds its limit
  HeadTooLarge,     ///< a message's head exceeds its limit
  RequestTimeout,   ///< the request did not arrive in time
  Unauthenticated,  ///< the caller presented no valid key
  NotFound,         ///< unknown path, model or service
  RateLimited,      ///< the caller exceeds its rate limit
  Overloaded,       ///< no placement meets the targets now
  NoUpstream,       ///< no live upstream can serve the request
  DependencyDown,   ///< a dependency of the service is down
  Quarantined,      ///< the request is known to crash upstreams
  TicketRequired,   ///< the idempotency key is not a ticket
  TicketInvalid,    ///< forged, expired or another caller's ticket, one used
                    ///< for another request, or one without a kept answer
  TicketIssuerGone, ///< the VM incarnation that issued it has ended
  DeadlineExceeded, ///< the request's deadline passed
  UpstreamFailed,   ///< the upstream failed while it ran the request
  UpstreamRefused,  ///< the upstream reported that it did not run the request
  Cancelled,        ///< the caller closed the connection
  ShuttingDown,     ///< this VM is shutting down
  NotReady,         ///< this VM has no configuration yet
  InvalidConfig,    ///< the settings or the fleet text are invalid
  StaleRevision,    ///< the fleet text is not newer
  RevisionConflict, ///< same revision with other content
  Internal,         ///< a defect of this program
};

/// Returns the wire name of aKind, such as "rate_limited".
std::string_view
ToString(ErrorKind aKind);

/// Whether the request ran at an upstream.
enum class RunState
{
  No,      ///< certainly not run
  Unknown, ///< may have run
  Yes,     ///< certainly run
};

/// Returns "no", "unknown" or "yes".
std::string_view
ToString(RunState aRun);

/// An error with its kind and a remedy for the reader.
class Error : public std::runtime_error
{
public:
  /// @param aKind    the kind, which decides the HTTP status
  /// @param aWhat    what is wrong, in one sentence
  /// @param aRemedy  what the reader can do about it, in one sentence
  /// @param aRun     whether the request ran
  Error(ErrorKind aKind,
        const std::string& aWhat,
        std::string aRemedy,
        RunState aRun = RunState::No);

  ErrorKind Kind() const { return m_kind; }
  const std::string& Remedy() const { return m_remedy; }
  RunState Run() const { return m_run; }
  /// Returns how long the caller should wait before it retries; zero if a retry
  /// will not help.
  std::chrono::milliseconds RetryAfter() const { return m_retryAfter; }
  Error& WithRetryAfter(std::chrono::milliseconds aDelay);

private:
  ErrorKind m_kind;
  std::string m_remedy;
  RunState m_run;
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// Returns the HTTP status that carries an error of kind aKind.
int
HttpStatus(ErrorKind aKind);

/// Returns the OpenAI-shaped JSON body of an error: {"error":{"message","type",
/// "code","run","remedy","retry_after_ms"}}.
std::string
ErrorBody(const Error& aError);

// ----------------------------------------------------------- identifiers

/// One run of the daemon on one VM. Address and incarnation together never
/// repeat.
/// Text form: "IP:PORT~INCARNATION_HEX".
struct VmIncarnation
{
  std::string m_address;         ///< peer address, "IP:PORT"
  std::uint64_t m_incarnation{}; ///< random, chosen at the daemon's start

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const VmIncarnation&) const = default;
};

/// Identifies a request by the incarnation that accepted it and a sequence
/// number.
/// Text form: "IP:PORT~INCARNATION_HEX~SEQUENCE".
struct RequestId
{
  VmIncarnation m_vm;
  std::uint64_t m_sequence{};

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const RequestId&) const = default;
};

/// One attempt to run a request at upstreams. Engines get this id for it.
/// Text form: the request's, then "~ATTEMPT".
struct AttemptId
{
  RequestId m_request;
  std::uint32_t m_attempt{};

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const AttemptId&) const = default;
};

std::string
ToString(const VmIncarnation& aVm);
std::string
ToString(const RequestId& aId);
std::string
ToString(const AttemptId& aId);
/// @throws Error (InvalidRequest) if aText is not the text form of an id
VmIncarnation
ParseVmIncarnation(std::string_view aText);
RequestId
ParseRequestId(std::string_view aText);
AttemptId
ParseAttemptId(std::string_view aText);

/// Returns aNumber in hexadecimal, without leading zeros.
std::string
Hex(std::uint64_t aNumber);

/// Returns a 64-bit XXH3 hash, the same on every VM and in every version.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/// Returns the 128-bit XXH3 hash of aText as 32 hexadecimal digits.
std::string
Fingerprint(std::string_view aText);

/// Returns aBytes as standard base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);
/// @throws Error (InvalidRequest) if aText is not standard base64
std::string
DecodeBase64(std::string_view aText);

// ------------------------------------------------------ clock and random

/// Source of time. Tests use a fake one.
class ClockI
{
public:
  virtual ~ClockI() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// Returns a number in [0, 1) from the upper 53 bits of a hash or of a random
/// number.
inline double
UnitOf(std::uint64_t aBits)
{
  return static_cast<double>(aBits >> 11) * 0x1.0p-53;
}

/// Source of random numbers. Tests use a seeded one.
class RandomI
{
public:
  virtual ~RandomI() = default;
  /// Returns a uniformly distributed 64-bit number.
  virtual std::uint64_t Next() = 0;
  /// Returns a number in [0, aBound). @param aBound at least 1
  std::uint64_t Below(std::uint64_t aBound) { return Next() % aBound; }
  /// Returns a number in [0, 1).
  double Unit() { return UnitOf(Next()); }
};

std::unique_ptr<ClockI>
MakeSystemClock();
/// Returns a generator seeded by the operating system.
std::unique_ptr<RandomI>
MakeSystemRandom();
/// Returns a deterministic generator. @param aSeed any number
std::unique_ptr<RandomI>
MakeSeededRandom(std::uint64_t aSeed);

/// A clock for tests, which moves only in Advance().
class FakeClock : public ClockI
{
public:
  TimePoint Now() const override { return m_now; }
  WallTime WallNow() const override;
  void Advance(Duration aBy) { m_now += aBy; }

private:
  TimePoint m_now{ std::chrono::seconds{ 1 } };
};

// ------------------------------------------------------------------ logs

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One event, written as one line of key=value pairs.
class LogEvent
{
public:
  explicit LogEvent(std::string_view aName, LogLevel aLevel = LogLevel::Info);
  LogEvent& Add(std::string_view aKey, std::string_view aValue);
  LogEvent& Add(std::string_view aKey, std::int64_t aValue);
  LogEvent& Add(std::string_view aKey, Duration aValue);

  LogLevel Level() const { return m_level; }
  const std::string& Name() const { return m_name; }
  /// Returns the line. Values that are empty or contain white space, quotes,
  /// '=' or a backslash are quoted.
  const std::string& Line() const { return m_line; }

private:
  LogLevel m_level;
  std::string m_name;
  std::string m_line;
};

/// Receiver of log events. Implementations may be called from any task.
class LogI
{
public:
  virtual ~LogI() = default;
  virtual void Write(const LogEvent& aEvent) = 0;
};

/// Returns a log that writes through easylogging++ to standard output. It never
/// blocks: while the reader is slow, lines wait in a bounded queue. If it fills
/// up, lines are dropped and counted, those below LogLevel::Warning first.
/// @param aLevel  events below it are dropped
std::unique_ptr<LogI>
MakeLog(LogLevel aLevel);

/// Returns a log that passes at most aPerSecond events of one name and level
/// per second to aSink, and reports how many events it suppressed. aSink and
/// aClock must outlive it.
std::unique_ptr<LogI>
MakeLimitedLog(LogI& aSink, const ClockI& aClock, std::uint32_t aPerSecond);

/// Bounded queue of lines that writes to a file descriptor without blocking,
/// however slow its reader is.
class LineQueue
{
public:
  /// @param aCapacity  maximum number of queued bytes
  LineQueue(int aDescriptor, std::size_t aCapacity)
    : m_descriptor(aDescriptor)
    , m_capacity(aCapacity)
  {
  }
  /// Queues aLine and writes as much as the descriptor accepts without
  /// blocking.
  /// @param aIsWarning  a warning may fill the whole queue, other lines only
  ///                    its first half; a line without room is dropped
  void Push(std::string_view aLine, bool aIsWarning);
  std::uint64_t Dropped() const { return m_dropped; }

private:
  void Flush();

  int m_descriptor;
  std::size_t m_capacity;
  std::string m_queued;
  std::uint64_t m_dropped{ 0 };  ///< lines dropped so far
  std::uint64_t m_reported{ 0 }; ///< of these, reported in "lines_dropped"
};

/// A log for tests, which keeps the lines in memory.
class MemoryLog : public LogI
{
public:
  void Write(const LogEvent& aEvent) override;
  const std::vector<std::string>& Lines() const { return m_lines; }

private:
  std::vector<std::string> m_lines;
};

// ------------------------------------------------------------------ JSON

/// Parses strict JSON: no comments, no duplicate keys, no trailing text, at
/// most kMaxJsonDepth levels.
/// @throws Error (InvalidRequest) with line and column
Json::Value
ParseJson(std::string_view aText);

/// Returns aValue as JSON on one line.
std::string
WriteJson(const Json::Value& aValue);

/// Returns the 1-based line of byte aOffset in aText.
std::size_t
LineOfOffset(std::string_view aText, std::size_t aOffset);

} // namespace shallotford

#endif // SHALLOTFORD_BASE_H
