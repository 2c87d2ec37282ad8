/// Shared parts of the stand-ins' servers.

#include "standin_http.h"

#include "daemon_listen.h"

#include "shallotford/fleet.h"

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace shallotford::standin {

std::vector<std::string>
PathSegments(std::string_view aPath)
{
  std::vector<std::string> segments;
  std::size_t begin = 0;
  while (begin < aPath.size()) {
    std::size_t end = std::min(aPath.find('/', begin), aPath.size());
    if (end > begin) {
      segments.emplace_back(aPath.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return segments;
}

std::uint64_t
QueryNumber(const HttpRequest& aRequest,
            std::string_view aName,
            std::uint64_t aDefault)
{
  std::string text = QueryParameter(aRequest, aName).value_or("");
  std::uint64_t number = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void
RespondJson(const Exchange& aExchange, int aStatus, const Json::Value& aBody)
{
  aExchange->Respond(
    aStatus, { { "content-type", "application/json" } }, WriteJson(aBody));
}

void
RespondReason(const Exchange& aExchange, int aStatus, std::string_view aReason)
{
  Json::Value body(Json::objectValue);
  body["reason"] = std::string(aReason);
  RespondJson(aExchange, aStatus, body);
}

void
NamedSettings::Add(const std::string& aName, Setter aSetter)
{
  m_setters[aName] = std::move(aSetter);
}

void
NamedSettings::Apply(const Json::Value& aObject) const
{
  if (!aObject.isObject()) {
    throw Error(ErrorKind::InvalidConfig,
                "settings are not a JSON object",
                "Give an object of named settings.");
  }
  for (const std::string& name : aObject.getMemberNames()) {
    auto setter = m_setters.find(name);
    if (setter == m_setters.end()) {
      throw Error(ErrorKind::InvalidConfig,
                  "unknown setting \"" + name + "\"",
                  "Remove it or correct its name.");
    }
    try {
      setter->second(aObject[name]);
    } catch (const Json::Exception& exception) {
      throw Error(ErrorKind::InvalidConfig,
                  "setting \"" + name + "\": " + exception.what(),
                  "Give a value of the right type.");
    }
  }
}

CallSet::CallSet(LoopI& aLoop)
  : m_loop(aLoop)
{
}

void
CallSet::Send(HttpCall aCall, std::function<void(const HttpResult&)> aDone)
{
  std::uint64_t number = m_next++;
  m_calls[number] = m_loop.Client().FetchWhole(
    std::move(aCall),
    [this, number, done = std::move(aDone)](const HttpResult& aResult) {
      done(aResult);
      m_loop.Post([this, number] { m_calls.erase(number); });
    });
}

ServerOptions
ServerOptionsOf(const std::string& aListen)
{
  ServerOptions options = ListenOptions(aListen);
  options.m_idleTimeout = std::chrono::minutes(10);
  return options;
}

void
ServeUntilSignal(LoopI& aLoop,
                 const std::string& aListen,
                 HttpHandlerI& aHandler)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::unique_ptr<HttpServerI> server =
    aLoop.Listen(ServerOptionsOf(aListen), aHandler);
  std::cout << "listening address=" << ParseAddress(aListen).m_ip << ':'
            << server->Port() << std::endl;
  std::thread waiter([&aLoop, signals] {
    int received = 0;
    sigwait(&signals, &received);
    aLoop.Stop();
  });
  aLoop.Run();
  waiter.join();
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw Error(ErrorKind::InvalidConfig,
                "cannot read " + aPath,
                "Name a file that exists.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace shallotford::standin
