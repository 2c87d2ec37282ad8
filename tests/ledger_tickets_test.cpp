/// Tests of tickets: a comparison with a naive version that never forgets a
/// ticket or a run, and single cases of malformed and forged tickets, full
/// tables, paused issuers and hand-overs.

#define BOOST_TEST_MODULE ledger_tickets
#include <boost/test/unit_test.hpp>

#include "ledger_check.h"
#include "shallotford/ledger.h"

#include <algorithm>

using namespace shallotford;
using namespace std::chrono_literals;

BOOST_GLOBAL_FIXTURE(ManyCases);

namespace {

const TimePoint kStart{ 1000s };
const std::array<std::string, 2> kAddresses{ "10.0.0.1:7", "10.0.0.2:7" };

TicketOptions
SmallOptions(std::size_t aVm, std::uint64_t aIncarnation)
{
  return { .m_vm = { kAddresses[aVm], aIncarnation },
           .m_lifetime = 20s,
           .m_maxKeptBytes = 30,
           .m_keepAnswers = 8s,
           .m_handOverChunk = 300 };
}

enum class NaiveUse
{
  None,
  Running,
  Answered,
  Unknown,
};

/// A ticket that was issued, and what happened to it.
struct NaiveTicket
{
  std::string m_text;
  std::string m_forged;
  std::string m_caller;
  std::size_t m_vm{};
  std::uint64_t m_incarnation{};
  TimePoint m_expiry;
  NaiveUse m_use{ NaiveUse::None };
  std::string m_request;
  std::string m_body;
  TicketRef m_ref;
  int m_ran{ 0 };                         ///< runs that OnNotRun() did not undo
  std::optional<std::size_t> m_successor; ///< VM that took it over
  std::uint64_t m_successorIncarnation{};
  TimePoint m_successorUntil; ///< then the successor forgets the issuer
  bool m_handedOverAsUsed{ false };
};

/// An answer that a VM keeps.
struct NaiveKept
{
  std::size_t m_ticket{};
  std::size_t m_vm{};
  TimePoint m_since;
};

struct NaiveVm
{
  std::uint64_t m_incarnation{};
  bool m_closed{ false };
};

/// A fleet of two VMs: the registries under test and their naive versions.
struct Fleet
{
  Fleet()
  {
    for (std::size_t vm : { 0, 1 }) {
      Boot(vm);
    }
  }
  void Boot(std::size_t aVm)
  {
    m_naive[aVm] = { .m_incarnation = m_nextIncarnation++ };
    TicketKey key{};
    key.fill(static_cast<std::uint8_t>(m_nextIncarnation));
    m_registries[aVm] = std::make_unique<TicketRegistry>(
      SmallOptions(aVm, m_naive[aVm].m_incarnation), key, m_now);
    std::erase_if(m_kept,
                  [aVm](const auto& aKept) { return aKept.m_vm == aVm; });
  }
  void Issue(std::size_t aVm, const std::string& aCaller)
  {
    if (m_naive[aVm].m_closed) {
      RC_ASSERT_THROWS_AS(m_registries[aVm]->Issue(aCaller, m_now), Error);
      return;
    }
    NaiveTicket ticket;
    ticket.m_text = m_registries[aVm]->Issue(aCaller, m_now);
    ticket.m_forged = ticket.m_text;
    char& first = ticket.m_forged[ticket.m_forged.rfind('.') + 1];
    first = first == 'A' ? 'B' : 'A';
    ticket.m_caller = aCaller;
    ticket.m_vm = aVm;
    ticket.m_incarnation = m_naive[aVm].m_incarnation;
    ticket.m_expiry = m_now + 20s;
    m_tickets.push_back(ticket);
  }
  bool IsKept(const NaiveTicket& aTicket, std::size_t aVm) const
  {
    return std::any_of(
      m_kept.begin(), m_kept.end(), [&](const NaiveKept& aKept) {
        return &m_tickets[aKept.m_ticket] == &aTicket && aKept.m_vm == aVm;
      });
  }
  void Keep(std::size_t aTicket, std::size_t aVm)
  {
    auto used = [&] {
      std::size_t bytes = 0;
      for (const NaiveKept& kept : m_kept) {
        bytes += kept.m_vm == aVm ? m_tickets[kept.m_ticket].m_body.size() : 0;
      }
      return bytes;
    };
    const std::string& body = m_tickets[aTicket].m_body;
    if (body.size() > 30) {
      return;
    }
    while (used() + body.size() > 30) {
      m_kept.erase(
        std::find_if(m_kept.begin(), m_kept.end(), [&](const auto& aKept) {
          return aKept.m_vm == aVm;
        }));
    }
    m_kept.push_back({ aTicket, aVm, m_now });
  }
  void Advance(Duration aBy)
  {
    m_now += aBy;
    std::erase_if(m_kept, [this](const NaiveKept& aKept) {
      return m_now - aKept.m_since >= 8s;
    });
    for (auto& registry : m_registries) {
      registry->Expire(m_now);
    }
  }
  void Finish(NaiveTicket& aTicket, std::uint32_t aChoice)
  {
    bool alive = m_naive[aTicket.m_vm].m_incarnation == aTicket.m_incarnation;
    if (aTicket.m_use != NaiveUse::Running || !alive) {
      return;
    }
    TicketRegistry& registry = *m_registries[aTicket.m_vm];
    switch (Take(aChoice, 4)) {
      case 0:
        registry.OnNotRun(aTicket.m_ref);
        aTicket.m_use = NaiveUse::None;
        --aTicket.m_ran;
        return;
      case 1:
        registry.OnUnknown(aTicket.m_ref);
        aTicket.m_use = NaiveUse::Unknown;
        return;
      default:
        aTicket.m_body = std::string(1 + Take(aChoice, 40), 'x');
        aTicket.m_use = NaiveUse::Answered;
        registry.OnAnswered(aTicket.m_ref, { 200, "", aTicket.m_body }, m_now);
        Keep(static_cast<std::size_t>(&aTicket - m_tickets.data()),
             aTicket.m_vm);
    }
  }
  void HandOver(std::size_t aVm)
  {
    std::size_t successor = 1 - aVm;
    m_registries[aVm]->Close();
    std::vector<std::string> texts = m_registries[aVm]->ExportUsed(m_now);
    std::vector<NaiveKept> kept;
    std::copy_if(m_kept.begin(),
                 m_kept.end(),
                 std::back_inserter(kept),
                 [&](const auto& aKept) { return aKept.m_vm == aVm; });
    for (const std::string& text : texts) {
      for (VmIncarnation& from :
           m_registries[successor]->ImportUsed(text, m_now)) {
        m_successions.push_back({ std::move(from), kAddresses[successor] });
      }
      // A repeated text changes nothing.
      m_registries[successor]->ImportUsed(text, m_now);
    }
    for (NaiveTicket& ticket : m_tickets) {
      std::uint64_t incarnation = m_naive[aVm].m_incarnation;
      bool own = ticket.m_vm == aVm && ticket.m_incarnation == incarnation;
      bool takenOver = ticket.m_successor == aVm &&
                       ticket.m_successorIncarnation == incarnation &&
                       m_now < ticket.m_successorUntil;
      if (own || takenOver) {
        ticket.m_successor = successor;
        ticket.m_successorUntil = m_now + 20s;
        ticket.m_successorIncarnation = m_naive[successor].m_incarnation;
        ticket.m_handedOverAsUsed =
          ticket.m_use != NaiveUse::None && (own || ticket.m_handedOverAsUsed);
        ticket.m_use =
          ticket.m_use == NaiveUse::Running ? NaiveUse::Unknown : ticket.m_use;
      }
    }
    // Which answers still fit at the successor depends on their order.
    std::erase_if(m_kept, [](const auto&) { return true; });
    m_keptUncertain = true;
    Boot(aVm);
  }

  std::string Expect(const NaiveTicket& aTicket,
                     std::size_t aVm,
                     const TicketCall& aCall,
                     bool aForged,
                     const TicketPeers& aPeers) const
  {
    bool right = aCall.m_fingerprint == aTicket.m_request &&
                 aCall.m_caller == aTicket.m_caller;
    bool expired = m_now >= aTicket.m_expiry;
    if (aTicket.m_vm == aVm &&
        aTicket.m_incarnation == m_naive[aVm].m_incarnation) {
      if (aForged || aCall.m_caller != aTicket.m_caller) {
        return "refuse ticket_invalid no";
      }
      if (aTicket.m_use == NaiveUse::Running) {
        return right ? "wait" : "refuse ticket_invalid no";
      }
      if (expired) {
        return "refuse ticket_invalid no";
      }
      if (aTicket.m_use == NaiveUse::None) {
        return m_naive[aVm].m_closed ? "refuse ticket_issuer_gone no" : "run";
      }
      return ExpectUsed(aTicket, aVm, right);
    }
    if (aTicket.m_successor == aVm &&
        aTicket.m_successorIncarnation == m_naive[aVm].m_incarnation) {
      if (!aTicket.m_handedOverAsUsed || expired) {
        return "refuse ticket_issuer_gone no";
      }
      return aForged ? "refuse ticket_invalid no"
                     : ExpectUsed(aTicket, aVm, right);
    }
    std::size_t target = aTicket.m_successor.value_or(aTicket.m_vm);
    bool forward = !aCall.m_forwarded && target != aVm &&
                   aPeers.m_listed.contains(kAddresses[target]);
    return forward ? "forward " + kAddresses[target]
                   : "refuse ticket_issuer_gone no";
  }
  std::string ExpectUsed(const NaiveTicket& aTicket,
                         std::size_t aVm,
                         bool aRight) const
  {
    if (!aRight) {
      return "refuse ticket_invalid no";
    }
    if (aTicket.m_use == NaiveUse::Unknown) {
      return "refuse upstream_failed unknown";
    }
    return IsKept(aTicket, aVm) ? "replay " + aTicket.m_body
                                : "refuse ticket_invalid yes";
  }

  void Call(NaiveTicket& aTicket, std::uint32_t aChoice)
  {
    std::size_t vm = Take(aChoice, 2);
    bool forged = Take(aChoice, 8) == 0;
    TicketPeers peers{ .m_successions = m_successions };
    if (Take(aChoice, 4) != 0) {
      peers.m_listed = { kAddresses[0], kAddresses[1] };
    }
    TicketCall call{ .m_ticket = forged ? aTicket.m_forged : aTicket.m_text,
                     .m_caller =
                       Take(aChoice, 8) == 0 ? "stranger" : aTicket.m_caller,
                     .m_fingerprint = Take(aChoice, 6) == 0 ? "other" : "body",
                     .m_forwarded = Take(aChoice, 2) == 0 };
    std::string expected = Expect(aTicket, vm, call, forged, peers);
    TicketDecision decision = m_registries[vm]->Decide(call, peers, m_now);
    std::string actual(ToString(decision.m_step));
    if (decision.m_error) {
      actual += " " + std::string(ToString(decision.m_error->Kind())) + " " +
                std::string(ToString(decision.m_error->Run()));
    }
    if (decision.m_step == TicketStep::Forward) {
      actual += " " + decision.m_forwardTo;
    }
    if (decision.m_answer != nullptr) {
      actual += " " + decision.m_answer->m_body;
    }
    std::string replay = "replay " + aTicket.m_body;
    std::string dropped = "refuse ticket_invalid yes";
    bool either =
      m_keptUncertain && (expected == replay || expected == dropped);
    RC_ASSERT(actual == expected ||
              (either && (actual == replay || actual == dropped)));
    if (decision.m_step == TicketStep::Run) {
      aTicket.m_use = NaiveUse::Running;
      aTicket.m_request = std::string(call.m_fingerprint);
      aTicket.m_ref = decision.m_ticket;
      RC_ASSERT(++aTicket.m_ran == 1);
    }
  }

  TimePoint m_now{ kStart };
  std::uint64_t m_nextIncarnation{ 1 };
  std::array<std::unique_ptr<TicketRegistry>, 2> m_registries;
  std::array<NaiveVm, 2> m_naive;
  std::vector<NaiveTicket> m_tickets;
  std::vector<NaiveKept> m_kept;
  std::vector<TicketSuccession> m_successions;
  bool m_keptUncertain{ false };
};

TicketDecision
Use(TicketRegistry& aRegistry, const std::string& aTicket, TimePoint aNow)
{
  return aRegistry.Decide(
    { .m_ticket = aTicket, .m_caller = "c", .m_fingerprint = "f" }, {}, aNow);
}

} // namespace

BOOST_AUTO_TEST_CASE(ticket_decisions_equal_naive_version)
{
  BOOST_TEST(rc::check("tickets", [] {
    Script script = AnyScript();
    Fleet fleet;
    for (std::uint32_t choice : script) {
      std::uint32_t kind = Take(choice, 60);
      if (kind < 8 || fleet.m_tickets.empty()) {
        fleet.Issue(Take(choice, 2), Take(choice, 2) == 0 ? "c1" : "c2");
        continue;
      }
      // Chooses among the latest tickets, so that each gets many events.
      std::size_t recent = std::min<std::size_t>(fleet.m_tickets.size(), 4);
      NaiveTicket& ticket =
        fleet.m_tickets[fleet.m_tickets.size() - 1 - Take(choice, recent)];
      if (kind < 40) {
        fleet.Call(ticket, choice);
      } else if (kind < 52) {
        fleet.Finish(ticket, choice);
      } else if (kind < 56) {
        fleet.Advance(500ms * Take(choice, 24));
      } else if (kind == 57) {
        fleet.m_naive[ticket.m_vm].m_closed = true;
        fleet.m_registries[ticket.m_vm]->Close();
      } else if (kind == 58) {
        fleet.Boot(Take(choice, 2));
      } else if (kind == 59) {
        fleet.HandOver(Take(choice, 2));
      }
    }
    for (const auto& registry : fleet.m_registries) {
      RC_ASSERT(registry->KeptBytes() <= 30u);
      RC_ASSERT(registry->Used() <= fleet.m_tickets.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(keys_that_are_not_tickets_are_refused_as_ticket_required)
{
  TicketRegistry registry(SmallOptions(0, 1), MakeTicketKey(), kStart);
  std::string good = registry.Issue("c", kStart);
  std::vector<std::string> bad{
    "",         "t1.",       "t1..",     good + "=",           "x",
    good + ".", "t2" + good, " " + good, "a-stock-client-key", good.substr(1)
  };
  bad.reserve(bad.size() + good.size());
  for (std::size_t i = 0; i + 1 < good.size(); ++i) {
    bad.push_back(good.substr(0, i));
  }
  for (const std::string& text : bad) {
    TicketDecision decision = Use(registry, text, kStart);
    BOOST_TEST((decision.m_step == TicketStep::Refuse));
    BOOST_TEST((decision.m_error->Kind() == ErrorKind::TicketRequired));
    BOOST_TEST((decision.m_error->Run() == RunState::No));
  }
  BOOST_TEST(ToString(ParseTicket(good)) == good);
}

BOOST_AUTO_TEST_CASE(any_changed_character_makes_a_ticket_invalid)
{
  TicketRegistry registry(SmallOptions(0, 1), MakeTicketKey(), kStart);
  std::string good = registry.Issue("c", kStart);
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string forged = good;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    BOOST_TEST((Use(registry, forged, kStart).m_step == TicketStep::Refuse));
  }
  BOOST_TEST((Use(registry, good, kStart).m_step == TicketStep::Run));
}

BOOST_AUTO_TEST_CASE(unused_tickets_take_no_memory_and_used_ones_are_bounded)
{
  TicketOptions options = SmallOptions(0, 1);
  options.m_maxUsed = 2;
  TicketRegistry registry(options, MakeTicketKey(), kStart);
  std::vector<std::string> tickets;
  tickets.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    tickets.push_back(registry.Issue("c", kStart));
  }
  BOOST_TEST(registry.Used() == 0u);
  TicketDecision first = Use(registry, tickets[0], kStart);
  BOOST_TEST((Use(registry, tickets[1], kStart).m_step == TicketStep::Run));
  TicketDecision third = Use(registry, tickets[2], kStart);
  BOOST_TEST((third.m_error->Kind() == ErrorKind::Overloaded));
  BOOST_TEST(third.m_error->RetryAfter().count() == 20'000);
  // A used ticket is never removed to make room for another.
  registry.OnAnswered(first.m_ticket, { 200, "", "b" }, kStart);
  BOOST_TEST((Use(registry, tickets[2], kStart).m_step == TicketStep::Refuse));
  BOOST_TEST((Use(registry, tickets[0], kStart).m_step == TicketStep::Replay));
  std::string late = registry.Issue("c", kStart + 19s);
  BOOST_TEST((Use(registry, late, kStart + 21s).m_step == TicketStep::Run));
}

BOOST_AUTO_TEST_CASE(ticket_of_a_paused_issuer_runs_nowhere_else)
{
  TicketRegistry paused(SmallOptions(0, 1), MakeTicketKey(), kStart);
  std::string ticket = paused.Issue("c", kStart);
  std::string late = paused.Issue("c", kStart);
  // Another process has taken its address, and a third VM forwards there.
  TicketRegistry successor(SmallOptions(0, 2), MakeTicketKey(), kStart + 1s);
  TicketCall call{ .m_ticket = ticket,
                   .m_caller = "c",
                   .m_fingerprint = "f",
                   .m_forwarded = true };
  TicketDecision decision = successor.Decide(call, {}, kStart + 2s);
  BOOST_TEST((decision.m_error->Kind() == ErrorKind::TicketIssuerGone));
  BOOST_TEST((decision.m_error->Run() == RunState::No));
  // The paused issuer continues with a call that had reached it before.
  BOOST_TEST((Use(paused, ticket, kStart + 3s).m_step == TicketStep::Run));
  decision = Use(paused, late, kStart + 1h);
  BOOST_TEST((decision.m_error->Kind() == ErrorKind::TicketInvalid));
}

BOOST_AUTO_TEST_CASE(malformed_hand_over_changes_nothing)
{
  TicketRegistry from(SmallOptions(0, 1), MakeTicketKey(), kStart);
  TicketRegistry to(SmallOptions(1, 2), MakeTicketKey(), kStart);
  std::string ticket = from.Issue("c", kStart);
  Use(from, ticket, kStart);
  std::string text = from.ExportUsed(kStart).front();
  BOOST_CHECK_THROW(from.ImportUsed(text, kStart), Error);
  for (std::size_t i = 0; i + 1 < text.size(); i += 3) {
    BOOST_CHECK_THROW(to.ImportUsed(text.substr(0, i), kStart), Error);
  }
  for (const char* bad : { "[]", "{}", "{\"issuers\":[3],\"used\":[]}" }) {
    BOOST_CHECK_THROW(to.ImportUsed(bad, kStart), Error);
  }
  BOOST_TEST(to.Used() == 0u);
  BOOST_TEST(to.ImportUsed(text, kStart).size() == 1u);
  BOOST_TEST(to.Used() == 1u);
  to.Expire(kStart + 60s);
  BOOST_TEST(to.Used() == 0u);
}

BOOST_AUTO_TEST_CASE(failed_forwarding_reports_whether_the_call_may_have_run)
{
  BOOST_TEST((ForwardFailed(false).Run() == RunState::No));
  BOOST_TEST((ForwardFailed(true).Run() == RunState::Unknown));
}
