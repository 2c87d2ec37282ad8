/// Reads the fleet text and the VM list from the platform over HTTP.

#include "daemon_platform.h"

#include "config.h"

namespace shallotford {

namespace {

PlatformVmKind
ParseVmKind(const std::string& aName)
{
  if (aName == "engine") {
    return PlatformVmKind::Engine;
  }
  return aName == "service" ? PlatformVmKind::Service : PlatformVmKind::Entry;
}

PlatformVms
DecodeVms(const HttpReply& aReply, const std::string& aAfter)
{
  if (aReply.m_status == 204) {
    return { .m_version = aAfter, .m_vms = std::nullopt };
  }
  Json::Value body = ParseJson(aReply.m_body);
  PlatformVms vms{ .m_version = body["version"].asString(),
                   .m_vms = std::vector<PlatformVm>{} };
  for (const Json::Value& entry : body["vms"]) {
    vms.m_vms->push_back(
      { .m_address = entry["address"].asString(),
        .m_kind = ParseVmKind(entry["kind"].asString()),
        .m_leaving = entry["state"].asString() == "leaving" });
  }
  return vms;
}

PlatformFleet
DecodeFleet(const HttpReply& aReply, const std::string& aAfter)
{
  if (aReply.m_status == 204) {
    return { .m_version = aAfter, .m_text = std::nullopt };
  }
  const std::string* version = FindHeader(aReply.m_headers, "x-version");
  return { .m_version = version ? *version : "", .m_text = aReply.m_body };
}

/// Returns a callback that decodes an HTTP result and calls aDone with it.
/// @param aAfter  version that the watch began with
template<class Value>
std::function<void(HttpResult)>
Decoded(PlatformDone<Value> aDone,
        std::string aAfter,
        Value (*aDecode)(const HttpReply&, const std::string&))
{
  return [done = std::move(aDone), after = std::move(aAfter), aDecode](
           const HttpResult& aResult) {
    if (aResult.m_failure) {
      done(PlatformFailure{ aResult.m_failure->m_reason });
      return;
    }
    const HttpReply& reply = *aResult.m_reply;
    if (reply.m_status != 200 && reply.m_status != 204) {
      done(PlatformFailure{ "status " + std::to_string(reply.m_status) });
      return;
    }
    std::variant<Value, PlatformFailure> result;
    try {
      result = aDecode(reply, after);
    } catch (const std::exception& exception) {
      result = PlatformFailure{ exception.what() };
    }
    done(std::move(result));
  };
}

class HttpPlatform : public PlatformI
{
public:
  HttpPlatform(HttpClientI& aClient, std::string aAddress)
    : m_client(aClient)
    , m_address(std::move(aAddress))
  {
  }

  std::unique_ptr<HttpClientCallI> WatchFleet(
    const std::string& aAfter,
    std::chrono::milliseconds aWait,
    PlatformDone<PlatformFleet> aDone) override
  {
    return m_client.FetchWhole(
      MakeWatchCall("/config/fleet", aAfter, aWait),
      Decoded<PlatformFleet>(std::move(aDone), aAfter, DecodeFleet));
  }

  std::unique_ptr<HttpClientCallI> WatchVms(
    const std::string& aAfter,
    std::chrono::milliseconds aWait,
    PlatformDone<PlatformVms> aDone) override
  {
    return m_client.FetchWhole(
      MakeWatchCall("/vms", aAfter, aWait),
      Decoded<PlatformVms>(std::move(aDone), aAfter, DecodeVms));
  }

private:
  HttpCall MakeWatchCall(const std::string& aPath,
                         const std::string& aAfter,
                         std::chrono::milliseconds aWait) const
  {
    HttpCall call;
    call.m_address = m_address;
    call.m_path = aPath + "?after=" + PercentEncode(aAfter, "") +
                  "&wait_ms=" + std::to_string(aWait.count());
    call.m_headersTimeout = aWait + kPlatformAnswerTimeout;
    return call;
  }

  HttpClientI& m_client;
  std::string m_address;
};

} // namespace

std::unique_ptr<PlatformI>
MakeHttpPlatform(HttpClientI& aClient, const std::string& aAddress)
{
  return std::make_unique<HttpPlatform>(aClient, aAddress);
}

} // namespace shallotford
