/// Used tickets and their kept answers: states, bounds and expiry.

#include "ledger_ticket.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

std::size_t
SizeOf(const KeptAnswer& aAnswer)
{
  return aAnswer.m_body.size() + aAnswer.m_contentType.size();
}

} // namespace

TicketEntry*
TicketRegistry::State::FindRunning(const TicketRef& aTicket)
{
  if (aTicket.m_issuer != m_options.m_vm) {
    return nullptr;
  }
  auto found = m_used.find({ 0, aTicket.m_sequence });
  bool runs =
    found != m_used.end() && found->second.m_use == TicketUse::Running;
  return runs ? &found->second : nullptr;
}

void
TicketRegistry::State::OnAnswered(const TicketRef& aTicket,
                                  KeptAnswer aAnswer,
                                  TimePoint aNow)
{
  TicketEntry* entry = FindRunning(aTicket);
  if (entry == nullptr) {
    return;
  }
  --m_running;
  entry->m_use = TicketUse::Answered;
  KeepAnswer({ 0, aTicket.m_sequence }, *entry, std::move(aAnswer), aNow);
}

void
TicketRegistry::State::OnNotRun(const TicketRef& aTicket)
{
  if (TicketEntry* entry = FindRunning(aTicket)) {
    --m_running;
    entry->m_use = TicketUse::Unused;
  }
}

void
TicketRegistry::State::OnUnknown(const TicketRef& aTicket)
{
  if (TicketEntry* entry = FindRunning(aTicket)) {
    --m_running;
    entry->m_use = TicketUse::Unknown;
  }
}

void
TicketRegistry::State::KeepAnswer(const TicketSlot& aSlot,
                                  TicketEntry& aEntry,
                                  KeptAnswer aAnswer,
                                  TimePoint aNow)
{
  std::size_t size = SizeOf(aAnswer);
  if (size > std::min(m_options.m_maxKeptAnswer, m_options.m_maxKeptBytes)) {
    return;
  }
  DropAnswersAbove(m_options.m_maxKeptBytes - size, aNow);
  m_keptBytes += size;
  aEntry.m_answer = std::make_shared<const KeptAnswer>(std::move(aAnswer));
  m_kept.push_back({ aNow, aSlot });
}

void
TicketRegistry::State::DropAnswer(TicketEntry& aEntry)
{
  if (aEntry.m_answer != nullptr) {
    m_keptBytes -= SizeOf(*aEntry.m_answer);
    aEntry.m_answer.reset();
  }
}

void
TicketRegistry::State::DropAnswersAbove(std::size_t aBytes, TimePoint aNow)
{
  while (!m_kept.empty()) {
    bool old = aNow - m_kept.front().m_since >= m_options.m_keepAnswers;
    if (!old && m_keptBytes <= aBytes) {
      return;
    }
    auto found = m_used.find(m_kept.front().m_slot);
    if (found != m_used.end()) {
      DropAnswer(found->second);
    }
    m_kept.pop_front();
  }
}

void
TicketRegistry::State::AddEntry(const TicketSlot& aSlot, TicketEntry aEntry)
{
  m_expiries.push({ aEntry.m_expiry, aSlot });
  ++m_issuers.at(aSlot.m_issuer).m_used;
  m_used.emplace(aSlot, std::move(aEntry));
}

void
TicketRegistry::State::Expire(TimePoint aNow)
{
  DropAnswersAbove(m_options.m_maxKeptBytes, aNow);
  while (!m_expiries.empty() && m_expiries.top().m_at <= aNow) {
    TicketSlot slot = m_expiries.top().m_slot;
    m_expiries.pop();
    auto found = m_used.find(slot);
    if (found->second.m_use == TicketUse::Running) {
      m_expiries.push({ aNow + kTicketRecheckInterval, slot });
      continue;
    }
    DropAnswer(found->second);
    --m_issuers.at(slot.m_issuer).m_used;
    m_used.erase(found);
  }
  std::erase_if(m_issuers, [aNow](const auto& aIssuer) {
    return aIssuer.first != 0 && aIssuer.second.m_used == 0 &&
           aIssuer.second.m_until <= aNow;
  });
}

std::optional<std::uint32_t>
TicketRegistry::State::IssuerNumber(const VmIncarnation& aVm) const
{
  for (const auto& [number, issuer] : m_issuers) {
    if (issuer.m_vm == aVm) {
      return number;
    }
  }
  return std::nullopt;
}

std::uint32_t
TicketRegistry::State::AddIssuer(const VmIncarnation& aVm)
{
  if (std::optional<std::uint32_t> known = IssuerNumber(aVm)) {
    return *known;
  }
  m_issuers[m_nextIssuer].m_vm = aVm;
  return m_nextIssuer++;
}

} // namespace shallotford
