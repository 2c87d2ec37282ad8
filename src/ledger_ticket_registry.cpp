/// The ticket registry: issues tickets and decides about calls under them.

#include "ledger_ticket.h"

#include "config.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace shallotford {

namespace {

constexpr const char* kNewTicketRemedy =
  "Look whether the call has had its effect; if not, send it with a new "
  "ticket from POST /v1/tickets.";

TicketDecision
Refuse(ErrorKind aKind,
       const std::string& aWhat,
       const std::string& aRemedy,
       RunState aRun = RunState::No)
{
  TicketDecision decision;
  decision.m_error = Error(aKind, aWhat, aRemedy, aRun);
  return decision;
}

TicketDecision
RefuseIssuerGone()
{
  return Refuse(ErrorKind::TicketIssuerGone,
                "the VM that issued this ticket is gone; this submission was "
                "not run, but an earlier one with the same ticket may have "
                "been",
                kNewTicketRemedy);
}

TicketDecision
RefuseExpired()
{
  return Refuse(ErrorKind::TicketInvalid,
                "the ticket has expired; this submission was not run, but an "
                "earlier one with the same ticket may have been",
                kNewTicketRemedy);
}

TicketDecision
RefuseForged()
{
  return Refuse(ErrorKind::TicketInvalid,
                "the ticket was not issued to this caller",
                "Get a ticket from POST /v1/tickets with the same key as the "
                "call's.");
}

std::array<std::uint64_t, 2>
RequestHash(const TicketCall& aCall)
{
  std::string text(aCall.m_caller);
  text += '\0';
  text += aCall.m_fingerprint;
  return { StableHash(text, 1), StableHash(text, 2) };
}

TicketTag
TagOf(const Ticket& aTicket)
{
  TicketTag tag{};
  std::copy_n(aTicket.m_mac.begin(), tag.size(), tag.begin());
  return tag;
}

} // namespace

std::string_view
ToString(TicketStep aStep)
{
  switch (aStep) {
    case TicketStep::Run:
      return "run";
    case TicketStep::Forward:
      return "forward";
    case TicketStep::Wait:
      return "wait";
    case TicketStep::Replay:
      return "replay";
    case TicketStep::Refuse:
      break;
  }
  return "refuse";
}

Error
ForwardFailed(bool aMayHaveArrived)
{
  if (!aMayHaveArrived) {
    return *RefuseIssuerGone().m_error;
  }
  return { ErrorKind::UpstreamFailed,
           "the connection to the ticket's issuer broke",
           "Send the call again with the same ticket: it runs at most once.",
           RunState::Unknown };
}

TicketRegistry::State::State(const TicketOptions& aOptions,
                             const TicketKey& aKey,
                             TimePoint aNow)
  : m_options(aOptions)
  , m_key(aKey)
  , m_start(aNow)
{
  AddIssuer(aOptions.m_vm);
}

std::string
TicketRegistry::State::Issue(std::string_view aCaller, TimePoint aNow)
{
  if (m_closed) {
    throw Error(ErrorKind::ShuttingDown,
                "this VM is leaving and issues no tickets",
                "Ask again; the balancer will choose another VM.");
  }
  Ticket ticket;
  ticket.m_issuer = m_options.m_vm;
  ticket.m_sequence = m_nextSequence++;
  ticket.m_expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - m_start + m_options.m_lifetime);
  ticket.m_mac = TicketMac(ticket, aCaller, m_key);
  return ToString(ticket);
}

TicketDecision
TicketRegistry::State::Decide(const TicketCall& aCall,
                              const TicketPeers& aPeers,
                              TimePoint aNow)
{
  Ticket ticket;
  try {
    ticket = ParseTicket(aCall.m_ticket);
  } catch (const Error& error) {
    TicketDecision decision;
    decision.m_error = error;
    return decision;
  }
  std::optional<std::uint32_t> issuer = IssuerNumber(ticket.m_issuer);
  if (!issuer) {
    return DecideForeign(ticket, aCall, aPeers);
  }
  if (*issuer == 0) {
    return DecideOwn(ticket, aCall, aNow);
  }
  return DecideTakenOver(*issuer, ticket, aCall, aNow);
}

TicketDecision
TicketRegistry::State::DecideOwn(const Ticket& aTicket,
                                 const TicketCall& aCall,
                                 TimePoint aNow)
{
  auto mac = TicketMac(aTicket, aCall.m_caller, m_key);
  if (CRYPTO_memcmp(mac.data(), aTicket.m_mac.data(), mac.size()) != 0) {
    return RefuseForged();
  }
  TicketSlot slot{ 0, aTicket.m_sequence };
  auto found = m_used.find(slot);
  bool used = found != m_used.end();
  if (used && found->second.m_use == TicketUse::Running) {
    return DecideUsed(aTicket, found->second, aCall);
  }
  if (aNow - m_start >= aTicket.m_expiry) {
    return RefuseExpired();
  }
  if (used && found->second.m_use != TicketUse::Unused) {
    return DecideUsed(aTicket, found->second, aCall);
  }
  return Consume(slot, aTicket, aCall, aNow);
}

TicketDecision
TicketRegistry::State::Consume(const TicketSlot& aSlot,
                               const Ticket& aTicket,
                               const TicketCall& aCall,
                               TimePoint aNow)
{
  if (m_closed) {
    return RefuseIssuerGone();
  }
  if (m_used.size() >= m_options.m_maxUsed) {
    Expire(aNow);
  }
  auto found = m_used.find(aSlot);
  if (found == m_used.end() && m_used.size() >= m_options.m_maxUsed) {
    TicketDecision decision =
      Refuse(ErrorKind::Overloaded,
             "this VM holds its maximum number of used tickets",
             "Send the call again with the same ticket, later.");
    Duration wait = m_expiries.top().m_at - aNow;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(wait);
    decision.m_error->WithRetryAfter(std::max(delay, kTicketRecheckInterval));
    return decision;
  }
  if (found == m_used.end()) {
    TicketEntry entry;
    entry.m_tag = TagOf(aTicket);
    entry.m_expiry = m_start + aTicket.m_expiry;
    AddEntry(aSlot, std::move(entry));
    found = m_used.find(aSlot);
  }
  found->second.m_use = TicketUse::Running;
  found->second.m_request = RequestHash(aCall);
  ++m_running;
  TicketDecision decision;
  decision.m_step = TicketStep::Run;
  decision.m_ticket = { aTicket.m_issuer, aTicket.m_sequence };
  return decision;
}

TicketDecision
TicketRegistry::State::DecideTakenOver(std::uint32_t aIssuer,
                                       const Ticket& aTicket,
                                       const TicketCall& aCall,
                                       TimePoint aNow)
{
  auto found = m_used.find({ aIssuer, aTicket.m_sequence });
  if (found == m_used.end()) {
    return RefuseIssuerGone();
  }
  const TicketEntry& entry = found->second;
  TicketTag tag = TagOf(aTicket);
  if (CRYPTO_memcmp(tag.data(), entry.m_tag.data(), tag.size()) != 0) {
    return RefuseForged();
  }
  if (aNow >= entry.m_expiry) {
    return RefuseExpired();
  }
  return DecideUsed(aTicket, entry, aCall);
}

TicketDecision
TicketRegistry::State::DecideUsed(const Ticket& aTicket,
                                  const TicketEntry& aEntry,
                                  const TicketCall& aCall) const
{
  if (aEntry.m_request != RequestHash(aCall)) {
    return Refuse(ErrorKind::TicketInvalid,
                  "the ticket was used for another request",
                  "Use one ticket for one request: get a new one from POST "
                  "/v1/tickets.");
  }
  TicketDecision decision;
  decision.m_ticket = { aTicket.m_issuer, aTicket.m_sequence };
  if (aEntry.m_use == TicketUse::Running) {
    decision.m_step = TicketStep::Wait;
    return decision;
  }
  if (aEntry.m_use == TicketUse::Unknown) {
    return Refuse(ErrorKind::UpstreamFailed,
                  "the call under this ticket may have run; its answer was "
                  "lost",
                  kNewTicketRemedy,
                  RunState::Unknown);
  }
  if (aEntry.m_answer == nullptr) {
    return Refuse(ErrorKind::TicketInvalid,
                  "the call under this ticket ran; its answer is no longer "
                  "kept",
                  "Look up the call's effect; do not send it again.",
                  RunState::Yes);
  }
  decision.m_step = TicketStep::Replay;
  decision.m_answer = aEntry.m_answer;
  return decision;
}

TicketDecision
TicketRegistry::State::DecideForeign(const Ticket& aTicket,
                                     const TicketCall& aCall,
                                     const TicketPeers& aPeers) const
{
  if (aCall.m_forwarded) {
    return RefuseIssuerGone();
  }
  std::string target = aTicket.m_issuer.m_address;
  for (const TicketSuccession& succession : aPeers.m_successions) {
    if (succession.m_from == aTicket.m_issuer) {
      target = succession.m_successor;
    }
  }
  bool reachable =
    target != m_options.m_vm.m_address && aPeers.m_listed.contains(target);
  if (!reachable) {
    return RefuseIssuerGone();
  }
  TicketDecision decision;
  decision.m_step = TicketStep::Forward;
  decision.m_forwardTo = std::move(target);
  return decision;
}

TicketRegistry::TicketRegistry(const TicketOptions& aOptions,
                               const TicketKey& aKey,
                               TimePoint aNow)
  : m_state(std::make_unique<State>(aOptions, aKey, aNow))
{
}

TicketRegistry::~TicketRegistry() = default;

std::string
TicketRegistry::Issue(std::string_view aCaller, TimePoint aNow)
{
  return m_state->Issue(aCaller, aNow);
}

std::chrono::milliseconds
TicketRegistry::Lifetime() const
{
  return m_state->m_options.m_lifetime;
}

TicketDecision
TicketRegistry::Decide(const TicketCall& aCall,
                       const TicketPeers& aPeers,
                       TimePoint aNow)
{
  return m_state->Decide(aCall, aPeers, aNow);
}

void
TicketRegistry::OnAnswered(const TicketRef& aTicket,
                           KeptAnswer aAnswer,
                           TimePoint aNow)
{
  m_state->OnAnswered(aTicket, std::move(aAnswer), aNow);
}

void
TicketRegistry::OnNotRun(const TicketRef& aTicket)
{
  m_state->OnNotRun(aTicket);
}

void
TicketRegistry::OnUnknown(const TicketRef& aTicket)
{
  m_state->OnUnknown(aTicket);
}

void
TicketRegistry::Expire(TimePoint aNow)
{
  m_state->Expire(aNow);
}

void
TicketRegistry::Close()
{
  m_state->m_closed = true;
}

std::size_t
TicketRegistry::Used() const
{
  return m_state->m_used.size();
}

std::size_t
TicketRegistry::Running() const
{
  return m_state->m_running;
}

std::size_t
TicketRegistry::KeptBytes() const
{
  return m_state->m_keptBytes;
}

} // namespace shallotford
