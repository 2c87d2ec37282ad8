/// Fuzzes the parser of tickets, and the registry with forged tickets.

#include "fuzz.h"
#include "shallotford/ledger/tickets.h"

using namespace shallotford;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string_view text = fuzz::AsText(aData, aSize);
  Ticket ticket;
  if (fuzz::ReadsOrRefuses([&] { ticket = ParseTicket(text); })) {
    // A ticket has one text form, so that no two texts name the same one.
    fuzz::Require(ToString(ticket) == text);
  }
  TimePoint now{ std::chrono::seconds{ 100 } };
  TicketRegistry registry(
    { .m_vm = { "10.0.0.1:18001", 1 } }, TicketKey{ 7 }, now);
  TicketDecision decision = registry.Decide(
    { .m_ticket = text, .m_caller = "planners", .m_fingerprint = "call" },
    TicketPeers{},
    now);
  // The registry issued no ticket, so no call may run.
  fuzz::Require(decision.m_step != TicketStep::Run);
  fuzz::Require(registry.Used() == 0);
  return 0;
}
