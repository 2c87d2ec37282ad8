/// The state of plain services' servers, and the calls to them.

#include "daemon_plain.h"

#include "config.h"

#include <algorithm>
#include <array>

namespace shallotford {

namespace {

/// Headers that are not passed on: they belong to one connection (RFC 9110,
/// 7.6.1), the client library writes them itself, or only this program may set
/// them.
constexpr std::array<std::string_view, 14> kDroppedHeaders = {
  "connection",    "content-length",    "expect",  "host",
  "keep-alive",    "proxy-connection",  "te",      "trailer",
  "authorization", "transfer-encoding", "upgrade", "accept-encoding",
  "x-caller",      "x-request-id",
};

bool
IsDroppedHeader(const std::string& aName)
{
  return std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), aName) !=
         kDroppedHeaders.end();
}

} // namespace

bool
PlainServerTable::Usable(const std::string& aServer, TimePoint aNow) const
{
  auto found = m_servers.find(aServer);
  if (found == m_servers.end()) {
    return true;
  }
  const Facts& facts = found->second;
  return !facts.m_leaving && aNow >= facts.m_backOffUntil &&
         aNow >= facts.m_leavingUntil;
}

std::size_t
PlainServerTable::Running(const std::string& aServer) const
{
  auto found = m_servers.find(aServer);
  return found == m_servers.end() ? 0 : found->second.m_running;
}

void
PlainServerTable::OnStarted(const std::string& aServer)
{
  ++m_servers[aServer].m_running;
}

void
PlainServerTable::OnEnded(const std::string& aServer)
{
  Facts& facts = m_servers[aServer];
  if (facts.m_running > 0) {
    --facts.m_running;
  }
}

void
PlainServerTable::OnAnswered(const std::string& aServer)
{
  m_servers[aServer].m_failures = 0;
}

void
PlainServerTable::OnFailed(const std::string& aServer, TimePoint aNow)
{
  Facts& facts = m_servers[aServer];
  std::uint32_t doublings =
    std::min(facts.m_failures, kMaxPlainBackOffDoublings);
  ++facts.m_failures;
  facts.m_backOffUntil = aNow + kPlainBackOff * (1u << doublings);
}

void
PlainServerTable::OnLeaving(const std::string& aServer, TimePoint aNow)
{
  m_servers[aServer].m_leavingUntil = aNow + kLeavingHeaderLifetime;
}

void
PlainServerTable::SetLeaving(const std::string& aServer, bool aLeaving)
{
  m_servers[aServer].m_leaving = aLeaving;
}

HttpHeaders
PassedHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders passed;
  for (const HttpHeader& header : aHeaders) {
    if (!IsDroppedHeader(header.m_name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

HttpCall
PlainCall(const Flow& aFlow, const std::string& aServer, TimePoint aNow)
{
  HttpCall call;
  call.m_method = aFlow.m_http.m_method;
  call.m_address = aServer;
  call.m_path = aFlow.m_plainPath;
  if (!aFlow.m_http.m_query.empty()) {
    call.m_path += '?' + aFlow.m_http.m_query;
  }
  call.m_headers = PassedHeaders(aFlow.m_http.m_headers);
  call.m_headers.push_back({ "x-request-id", ToString(aFlow.m_id) });
  if (!aFlow.m_caller.empty()) {
    call.m_headers.push_back({ "x-caller", aFlow.m_caller });
  }
  call.m_body = aFlow.m_http.m_body;
  Duration left = aFlow.m_receivedAt + aFlow.m_service->m_deadline - aNow;
  auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(left);
  call.m_headersTimeout = std::max(milliseconds, kMinPlainTimeout);
  call.m_idleTimeout = call.m_headersTimeout;
  return call;
}

} // namespace shallotford
