/// HTTP server for callers: its listener, and the answers that are sent.

#include "router_caller.h"

#include "config.h"
#include "router_caller_connection.h"

#include <algorithm>
#include <cstdio>

namespace shallotford {

namespace {

/// Returns the delay in seconds with three decimals for a Retry-After field.
std::string
RetryAfterText(std::chrono::milliseconds aDelay)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                std::chrono::duration<double>(aDelay).count());
  return text.data();
}

} // namespace

const char*
ToString(CloseCause aCause)
{
  switch (aCause) {
    case CloseCause::Idle:
      return "idle";
    case CloseCause::Stop:
      return "stop";
    case CloseCause::Answered:
      return "answered";
    case CloseCause::Cut:
      return "cut";
  }
  return "unknown";
}

const char*
ToString(IntakeAct aAct)
{
  switch (aAct) {
    case IntakeAct::Pause:
      return "pause";
    case IntakeAct::Brief:
      return "brief";
    case IntakeAct::Displace:
      return "displace";
    case IntakeAct::Refuse:
      return "refuse";
    case IntakeAct::Request:
      return "request";
    case IntakeAct::Close:
      return "close";
    case IntakeAct::Connections:
      return "connections";
    case IntakeAct::Descriptors:
      return "descriptors";
  }
  return "unknown";
}

void
CallerExchange::Respond(int aStatus,
                        const std::string& aReason,
                        HttpHeaders aFields,
                        std::string_view aBody)
{
  if (m_connection != nullptr) {
    m_connection->Respond(aStatus, aReason, std::move(aFields), aBody);
  }
}

void
CallerExchange::Begin(int aStatus,
                      const std::string& aReason,
                      HttpHeaders aFields)
{
  if (m_connection != nullptr) {
    m_connection->Begin(aStatus, aReason, std::move(aFields));
  }
}

void
CallerExchange::Write(std::string_view aBytes)
{
  if (m_connection != nullptr) {
    m_connection->Write(aBytes);
  }
}

void
CallerExchange::End()
{
  if (m_connection != nullptr) {
    m_connection->End();
  }
}

void
CallerExchange::Abort()
{
  if (m_connection != nullptr) {
    m_connection->Abort();
  }
}

bool
CallerExchange::HasCallerLeft() const
{
  return m_connection == nullptr || m_connection->HasCallerLeft();
}

std::size_t
CallerExchangeI::MaxBuffered() const
{
  return kMaxCallerQueueBytes;
}

bool
CallerExchange::ClaimRoom()
{
  return m_connection == nullptr || m_connection->ClaimRoom();
}

bool
CallerExchange::MayHold(std::size_t aBytes) const
{
  return m_connection == nullptr || m_connection->MayHold(aBytes);
}

std::size_t
CallerExchange::MaxBuffered() const
{
  return m_connection == nullptr ? kMaxCallerQueueBytes
                                 : m_connection->MaxBuffered();
}

void
CallerExchange::SetHeld(std::size_t aBytes)
{
  if (m_connection != nullptr) {
    m_connection->SetHeld(aBytes);
  }
}

std::size_t
CallerExchange::Buffered() const
{
  return m_connection == nullptr ? 0 : m_connection->Buffered();
}

CallerListener::CallerListener(LoopI& aLoop,
                               const StreamListenerOptions& aOptions,
                               CallerHandlerI& aHandler,
                               std::shared_ptr<Intake> aIntake)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handler(aHandler)
  , m_intake(aIntake != nullptr ? std::move(aIntake)
                                : std::make_shared<Intake>(kDefaultIntakeBytes))
  , m_listener(aLoop.Streams().Listen(aOptions,
                                      [this](std::unique_ptr<StreamI> aStream) {
                                        OnAccept(std::move(aStream));
                                      }))
{
}

CallerListener::~CallerListener() = default;

void
CallerListener::OnAccept(std::unique_ptr<StreamI> aStream)
{
  bool isTaken = m_intake->Connections() >= m_options.m_maxConnections;
  bool isBrief = isTaken || m_intake->Step() == IntakeStep::Refuse;
  if (isBrief && !MakeBriefPlace()) {
    // Destroying the stream closes it.
    m_handler.OnIntake(isTaken ? IntakeAct::Connections : IntakeAct::Refuse);
    return;
  }
  auto connection =
    std::make_unique<CallerConnection>(*this, std::move(aStream), isBrief);
  if (isBrief) {
    m_handler.OnIntake(IntakeAct::Brief);
    m_brief.push_back(connection.get());
  }
  m_connections.emplace(connection.get(), std::move(connection));
}

void
CallerListener::ReadOnLater()
{
  if (m_heldBack == 0 || std::exchange(m_readsOn, true)) {
    return;
  }
  m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive)] {
    if (alive.expired()) {
      return;
    }
    m_readsOn = false;
    ReadOn();
  });
}

void
CallerListener::UpdateIfPressed()
{
  bool isCalm = m_intake->Step() == IntakeStep::Calm;
  if (!std::exchange(m_isCalm, isCalm) || isCalm) {
    return;
  }
  for (auto& [key, connection] : m_connections) {
    connection->Account();
  }
}

void
CallerListener::ReadOn()
{
  std::size_t coming = 0; // what those that go on may read at once
  for (auto& [key, connection] : m_connections) {
    if (!connection->IsHeldBack()) {
      continue;
    }
    coming += 2 * kStreamReadBytes; // bodies count twice
    connection->ReadOn(m_intake->Step(coming) == IntakeStep::Calm);
  }
}

bool
CallerListener::MakeBriefPlace()
{
  if (m_brief.size() < kBriefConnections) {
    return true;
  }
  auto oldest = [this](bool (CallerConnection::*aIs)() const) {
    auto found = std::find_if(
      m_brief.begin(), m_brief.end(), [aIs](const CallerConnection* aOne) {
        return (aOne->*aIs)();
      });
    return found == m_brief.end() ? nullptr : *found;
  };
  CallerConnection* displaced = oldest(&CallerConnection::WaitsForRequest);
  if (displaced == nullptr) {
    displaced = oldest(&CallerConnection::IsLingering);
  }
  if (displaced == nullptr) {
    return false;
  }
  m_handler.OnIntake(IntakeAct::Displace);
  displaced->GiveWay();
  return true;
}

void
CallerListener::Remove(CallerConnection* aConnection)
{
  auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  found->second->Leave();
  m_brief.remove(aConnection);
  m_loop.DestroyLater(std::move(found->second));
  m_connections.erase(found);
}

void
CallerListener::Sweep()
{
  std::vector<CallerConnection*> connections;
  std::vector<CallerConnection*> left;
  std::vector<IntakeHolder> holders;
  for (auto& [key, connection] : m_connections) {
    connection->Sweep();
    if (connection->HasLeftUnseen()) {
      left.push_back(key);
      continue;
    }
    connections.push_back(key);
    holders.push_back(connection->Holder());
  }
  for (CallerConnection* connection : left) {
    connection->OnCallerLeft();
  }
  for (std::size_t index : m_intake->ToClose(holders)) {
    if (connections[index]->IsInsideRequest()) {
      connections[index]->RefuseForRoom();
      continue;
    }
    m_handler.OnIntake(IntakeAct::Close);
    connections[index]->CloseForRoom();
  }
  ReadOn();
}

void
CallerListener::CloseIdle()
{
  std::vector<CallerConnection*> idle;
  for (auto& [key, connection] : m_connections) {
    if (connection->IsIdle()) {
      idle.push_back(key);
    }
  }
  for (CallerConnection* connection : idle) {
    connection->CloseUnread(CloseCause::Stop);
  }
}

void
RespondError(CallerExchangeI& aExchange, const Error& aError)
{
  int status = HttpStatus(aError.Kind());
  HttpHeaders fields{ { "Content-Type", "application/json" } };
  if (aError.RetryAfter().count() > 0) {
    fields.push_back({ "Retry-After", RetryAfterText(aError.RetryAfter()) });
  }
  aExchange.Respond(status, ReasonPhrase(status), fields, ErrorBody(aError));
}

} // namespace shallotford
