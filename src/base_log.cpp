/// Log events, written as one line of key=value pairs each, and the logs that
/// write them without blocking and with a limited rate.

#include "shallotford/base.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <map>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace shallotford {

namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (char c : aValue) {
    if (c == '\n') {
      aLine += "\\n";
      continue;
    }
    if (c == '\r') {
      aLine += "\\r";
      continue;
    }
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += c;
  }
  aLine += '"';
}

/// Maximum size of the lines that are queued while the reader is slow.
constexpr std::size_t kLogQueueBytes = 256u << 10;

LineQueue&
StandardOutput()
{
  static LineQueue sQueue(STDOUT_FILENO, kLogQueueBytes);
  return sQueue;
}

std::mutex&
OutputMutex()
{
  static std::mutex sMutex;
  return sMutex;
}

/// Receives formatted lines from easylogging++ and queues them for standard
/// output.
class QueueDispatch : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage* message = aData->logMessage();
    bool isWarning = message->level() == el::Level::Warning ||
                     message->level() == el::Level::Error;
    std::string line = message->logger()->logBuilder()->build(message, true);
    std::lock_guard lock(OutputMutex());
    StandardOutput().Push(line, isWarning);
  }
};

class EasyLog : public LogI
{
public:
  explicit EasyLog(LogLevel aLevel)
    : m_level(aLevel)
  {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                              "level=%level %msg");
    el::Loggers::reconfigureLogger("default", configuration);
    el::Helpers::installLogDispatchCallback<QueueDispatch>("queue");
  }

  void Write(const LogEvent& aEvent) override
  {
    if (aEvent.Level() < m_level) {
      return;
    }
    switch (aEvent.Level()) {
      case LogLevel::Debug:
        LOG(DEBUG) << aEvent.Line();
        return;
      case LogLevel::Info:
        LOG(INFO) << aEvent.Line();
        return;
      case LogLevel::Warning:
        LOG(WARNING) << aEvent.Line();
        return;
      case LogLevel::Error:
        LOG(ERROR) << aEvent.Line();
        return;
    }
  }

private:
  LogLevel m_level;
};

/// Counts the events of each name and level in periods of one second and
/// suppresses those above the limit.
class LimitedLog : public LogI
{
public:
  LimitedLog(LogI& aSink, const ClockI& aClock, std::uint32_t aPerSecond)
    : m_sink(aSink)
    , m_clock(aClock)
    , m_perSecond(aPerSecond)
  {
  }

  void Write(const LogEvent& aEvent) override
  {
    std::lock_guard lock(m_mutex);
    TimePoint now = m_clock.Now();
    Window& window = m_windows[{ aEvent.Name(), aEvent.Level() }];
    if (now - window.m_start >= std::chrono::seconds(1)) {
      ReportSuppressed(aEvent, window);
      window = { .m_start = now, .m_written = 0, .m_suppressed = 0 };
    }
    if (window.m_written >= m_perSecond) {
      ++window.m_suppressed;
      return;
    }
    ++window.m_written;
    m_sink.Write(aEvent);
  }

private:
  /// The current period of one name and level.
  struct Window
  {
    TimePoint m_start{};
    std::uint32_t m_written{ 0 };
    std::uint64_t m_suppressed{ 0 };
  };

  void ReportSuppressed(const LogEvent& aEvent, const Window& aWindow)
  {
    if (aWindow.m_suppressed > 0) {
      m_sink.Write(
        LogEvent("suppressed", aEvent.Level())
          .Add("kind", aEvent.Name())
          .Add("count", static_cast<std::int64_t>(aWindow.m_suppressed)));
    }
  }

  LogI& m_sink;
  const ClockI& m_clock;
  std::uint32_t m_perSecond;
  std::mutex m_mutex;
  std::map<std::pair<std::string, LogLevel>, Window> m_windows;
};

} // namespace

void
LineQueue::Push(std::string_view aLine, bool aIsWarning)
{
  std::size_t limit = aIsWarning ? m_capacity : m_capacity / 2;
  if (m_queued.size() + aLine.size() > limit) {
    ++m_dropped;
  } else {
    m_queued.append(aLine);
  }
  Flush();
}

void
LineQueue::Flush()
{
  // A descriptor that polls writable takes PIPE_BUF bytes without blocking.
  while (!m_queued.empty()) {
    pollfd item{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0) {
      return;
    }
    std::size_t size = std::min<std::size_t>(m_queued.size(), PIPE_BUF);
    ssize_t written = ::write(m_descriptor, m_queued.data(), size);
    if (written <= 0) {
      return;
    }
    m_queued.erase(0, static_cast<std::size_t>(written));
  }
  if (m_reported < m_dropped) {
    m_queued =
      LogEvent("lines_dropped")
        .Add("count", static_cast<std::int64_t>(m_dropped - m_reported))
        .Line() +
      "\n";
    m_reported = m_dropped;
    Flush();
  }
}

LogEvent::LogEvent(std::string_view aName, LogLevel aLevel)
  : m_level(aLevel)
  , m_name(aName)
  , m_line("event=" + std::string(aName))
{
}

LogEvent&
LogEvent::Add(std::string_view aKey, std::string_view aValue)
{
  m_line += ' ';
  m_line += aKey;
  m_line += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(m_line, aValue);
  } else {
    m_line += aValue;
  }
  return *this;
}

LogEvent&
LogEvent::Add(std::string_view aKey, std::int64_t aValue)
{
  return Add(aKey, std::to_string(aValue));
}

LogEvent&
LogEvent::Add(std::string_view aKey, Duration aValue)
{
  auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aValue);
  return Add(std::string(aKey) + "_us", microseconds.count());
}

std::unique_ptr<LogI>
MakeLog(LogLevel aLevel)
{
  return std::make_unique<EasyLog>(aLevel);
}

std::unique_ptr<LogI>
MakeLimitedLog(LogI& aSink, const ClockI& aClock, std::uint32_t aPerSecond)
{
  return std::make_unique<LimitedLog>(aSink, aClock, aPerSecond);
}

void
MemoryLog::Write(const LogEvent& aEvent)
{
  m_lines.push_back(aEvent.Line());
}

} // namespace shallotford
