/// Structured log events: one line of key=value pairs each.

#include "shallotford/base.h"

#include <easylogging++.h>

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

class EasyLog : public LogI
{
public:
  explicit EasyLog(LogLevel aLevel)
    : m_level(aLevel)
  {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                              "level=%level %msg");
    el::Loggers::reconfigureLogger("default", configuration);
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

} // namespace

LogEvent::LogEvent(std::string_view aName, LogLevel aLevel)
  : m_level(aLevel)
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

void
MemoryLog::Write(const LogEvent& aEvent)
{
  m_lines.push_back(aEvent.Line());
}

} // namespace shallotford
