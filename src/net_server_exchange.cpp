/// HTTP server: the handler's side of one answer.

#include "net_server.h"

namespace shallotford {

ServerExchange::ServerExchange(ServerConnection& aConnection)
  : m_connection(&aConnection)
  , m_loop(aConnection.Server().GetLoop())
{
}

void
ServerExchange::Begin(int aStatus, const HttpHeaders& aHeaders)
{
  if (m_connection == nullptr || m_begun) {
    return;
  }
  m_begun = true;
  if (!m_connection->QueueHead(aStatus, aHeaders, std::nullopt, m_chunked)) {
    m_connection->Abort();
  }
}

void
ServerExchange::Write(std::string_view aBytes)
{
  if (m_connection == nullptr || !m_begun || m_ended) {
    return;
  }
  m_connection->QueueBody(aBytes, m_chunked);
  std::size_t lowWater = m_connection->Server().Options().m_sendBuffer / 4;
  m_aboveLowWater = m_aboveLowWater || Buffered() > lowWater;
}

void
ServerExchange::End()
{
  if (m_connection == nullptr || !m_begun || m_ended) {
    return;
  }
  m_ended = true;
  m_connection->QueueEnd(m_chunked);
}

void
ServerExchange::Respond(int aStatus,
                        const HttpHeaders& aHeaders,
                        std::string_view aBody)
{
  if (m_connection == nullptr || m_begun) {
    return;
  }
  m_begun = true;
  m_ended = true;
  if (!m_connection->QueueHead(aStatus, aHeaders, aBody.size(), m_chunked)) {
    m_connection->Abort();
    return;
  }
  m_connection->QueueBody(aBody, false);
  m_connection->QueueEnd(false);
}

void
ServerExchange::Abort()
{
  if (m_connection == nullptr) {
    return;
  }
  m_onClosed = nullptr;
  m_connection->Abort();
}

std::size_t
ServerExchange::Buffered() const
{
  return m_connection == nullptr ? 0 : m_connection->Buffered();
}

bool
ServerExchange::MayQueue() const
{
  return m_connection == nullptr || m_connection->MayQueue();
}

void
ServerExchange::OnDrained(std::function<void()> aCallback)
{
  if (m_connection != nullptr) {
    m_onDrained = std::move(aCallback);
  }
}

void
ServerExchange::OnClosed(std::function<void()> aCallback)
{
  if (m_connection != nullptr) {
    m_onClosed = std::move(aCallback);
  } else if (m_lost) {
    m_loop.Post(std::move(aCallback));
  }
}

void
ServerExchange::Detach(bool aWhole)
{
  m_connection = nullptr;
  m_lost = !aWhole;
  m_onDrained = nullptr;
  std::function<void()> onClosed = std::move(m_onClosed);
  m_onClosed = nullptr;
  if (!aWhole && onClosed) {
    // Posted, since a handler must not be called from inside a call to it.
    m_loop.Post(std::move(onClosed));
  }
}

void
ServerExchange::NotifyDrained(std::size_t aLowWater)
{
  if (!m_aboveLowWater || Buffered() > aLowWater) {
    return;
  }
  m_aboveLowWater = false;
  // A copy, since the callback may replace itself.
  std::function<void()> callback = m_onDrained;
  if (callback) {
    callback();
  }
}

} // namespace shallotford
