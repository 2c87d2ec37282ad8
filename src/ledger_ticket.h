#ifndef SHALLOTFORD_SRC_LEDGER_TICKET_H
#define SHALLOTFORD_SRC_LEDGER_TICKET_H

/// Internal types of the ticket registry: text encoding, entries and state.

#include "shallotford/ledger/tickets.h"

#include <deque>
#include <map>
#include <queue>
#include <unordered_map>

namespace shallotford {

/// Returns aBytes as unpadded base64url.
std::string
Base64Url(std::string_view aBytes);
/// Decodes unpadded base64url. Returns nothing if aText is not canonical.
std::optional<std::string>
FromBase64Url(std::string_view aText);

/// Returns the MAC of aTicket's parts for aCaller. @throws Error (Internal)
std::array<std::uint8_t, kTicketMacBytes>
TicketMac(const Ticket& aTicket,
          std::string_view aCaller,
          const TicketKey& aKey);

using TicketTag = std::array<std::uint8_t, kTicketTagBytes>;

/// State of a ticket that was used at least once.
enum class TicketUse : std::uint8_t
{
  Unused, ///< its call certainly did not run
  Running,
  Answered, ///< with or without a kept answer
  Unknown,  ///< its call may have run; there is no answer
};

/// Key of a used ticket: its issuer's number in this registry and its sequence.
struct TicketSlot
{
  std::uint32_t m_issuer{};
  std::uint64_t m_sequence{};

  bool operator==(const TicketSlot&) const = default;
};
struct TicketSlotHash
{
  std::size_t operator()(const TicketSlot& aSlot) const
  {
    constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15u;
    return (aSlot.m_sequence + aSlot.m_issuer * kMix) * kMix;
  }
};

struct TicketEntry
{
  TicketUse m_use{ TicketUse::Running };
  TicketTag m_tag{};
  std::array<std::uint64_t, 2> m_request{}; ///< caller and fingerprint, hashed
  TimePoint m_expiry{};
  std::shared_ptr<const KeptAnswer> m_answer{};
};

/// An incarnation whose tickets this registry decides about.
struct TicketIssuer
{
  VmIncarnation m_vm;
  std::size_t m_used{ 0 }; ///< entries
  TimePoint m_until{};     ///< removed after this, if it has no entry
};

class TicketRegistry::State
{
public:
  State(const TicketOptions& aOptions, const TicketKey& aKey, TimePoint aNow);

  std::string Issue(std::string_view aCaller, TimePoint aNow);
  TicketDecision Decide(const TicketCall& aCall,
                        const TicketPeers& aPeers,
                        TimePoint aNow);
  void OnAnswered(const TicketRef& aTicket, KeptAnswer aAnswer, TimePoint aNow);
  void OnNotRun(const TicketRef& aTicket);
  void OnUnknown(const TicketRef& aTicket);
  void Expire(TimePoint aNow);
  std::vector<std::string> Export(TimePoint aNow) const;
  std::vector<VmIncarnation> Import(std::string_view aText, TimePoint aNow);

  TicketOptions m_options;
  bool m_closed{ false };
  std::size_t m_running{ 0 };
  std::size_t m_keptBytes{ 0 };
  std::unordered_map<TicketSlot, TicketEntry, TicketSlotHash> m_used;

private:
  TicketDecision DecideOwn(const Ticket& aTicket,
                           const TicketCall& aCall,
                           TimePoint aNow);
  TicketDecision DecideTakenOver(std::uint32_t aIssuer,
                                 const Ticket& aTicket,
                                 const TicketCall& aCall,
                                 TimePoint aNow);
  TicketDecision DecideForeign(const Ticket& aTicket,
                               const TicketCall& aCall,
                               const TicketPeers& aPeers) const;
  /// Decides by the entry of a ticket that was used before.
  TicketDecision DecideUsed(const Ticket& aTicket,
                            const TicketEntry& aEntry,
                            const TicketCall& aCall) const;
  TicketDecision Consume(const TicketSlot& aSlot,
                         const Ticket& aTicket,
                         const TicketCall& aCall,
                         TimePoint aNow);

  std::optional<std::uint32_t> IssuerNumber(const VmIncarnation& aVm) const;
  std::uint32_t AddIssuer(const VmIncarnation& aVm);
  /// Returns the entry of a ticket whose call runs, or nullptr.
  TicketEntry* FindRunning(const TicketRef& aTicket);
  void AddEntry(const TicketSlot& aSlot, TicketEntry aEntry);
  void KeepAnswer(const TicketSlot& aSlot,
                  TicketEntry& aEntry,
                  KeptAnswer aAnswer,
                  TimePoint aNow);
  void DropAnswer(TicketEntry& aEntry);
  void DropAnswersAbove(std::size_t aBytes, TimePoint aNow);

  Json::Value ExportEntry(const TicketSlot& aSlot,
                          const TicketEntry& aEntry,
                          TimePoint aNow) const;
  TicketEntry ImportEntry(const Json::Value& aJson, TimePoint aNow) const;

  struct Due
  {
    TimePoint m_at;
    TicketSlot m_slot;
    bool operator<(const Due& aOther) const { return m_at > aOther.m_at; }
  };
  struct Kept
  {
    TimePoint m_since;
    TicketSlot m_slot;
  };

  TicketKey m_key;
  TimePoint m_start;
  std::uint64_t m_nextSequence{ 1 };
  std::map<std::uint32_t, TicketIssuer> m_issuers; ///< 0 is this incarnation
  std::uint32_t m_nextIssuer{ 0 };
  std::priority_queue<Due> m_expiries; ///< one for each entry, soonest first
  std::deque<Kept> m_kept;             ///< oldest first
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_LEDGER_TICKET_H
