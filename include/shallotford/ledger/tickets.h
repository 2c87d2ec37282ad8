#ifndef SHALLOTFORD_LEDGER_TICKETS_H
#define SHALLOTFORD_LEDGER_TICKETS_H

/// Tickets: idempotency keys that name the one VM that may run the call.
///
/// Only the incarnation that issued a ticket may run a call under it. Every
/// other VM forwards the call there. Tickets that were never used take no
/// memory; used ones are kept until they expire.

#include "shallotford/base.h"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// Length of a ticket's MAC (HMAC-SHA256) in bytes.
constexpr std::size_t kTicketMacBytes = 32;
/// Leading bytes of the MAC kept for each used ticket.
constexpr std::size_t kTicketTagBytes = 16;
using TicketKey = std::array<std::uint8_t, 32>;

/// Returns a new key from the operating system's generator, at boot.
TicketKey
MakeTicketKey();

/// The parts of a ticket's text. Text form: "t1." then base64url of
/// "IP:PORT~INCARNATION_HEX~SEQUENCE~EXPIRY_MS", ".", base64url of the MAC.
struct Ticket
{
  VmIncarnation m_issuer{};
  std::uint64_t m_sequence{};
  /// Time of expiry, counted from the start of the issuing incarnation. It is
  /// compared only with the issuer's own monotonic clock.
  std::chrono::milliseconds m_expiry{ 0 };
  std::array<std::uint8_t, kTicketMacBytes> m_mac{};

  bool operator==(const Ticket&) const = default;
};
std::string
ToString(const Ticket& aTicket);
/// @throws Error (TicketRequired) if aText is not a ticket's canonical text
Ticket
ParseTicket(std::string_view aText);

/// The answer of a call, kept for replays.
struct KeptAnswer
{
  int m_status{};
  std::string m_contentType{};
  std::string m_body{};
};

/// A call that carries an idempotency key.
struct TicketCall
{
  std::string_view m_ticket{};      ///< the Idempotency-Key header
  std::string_view m_caller{};      ///< name of the caller, "" if anonymous
  std::string_view m_fingerprint{}; ///< of service, method, path and body
  /// A VM forwarded the call; it is not forwarded again.
  bool m_forwarded{ false };
};

/// An incarnation's used tickets were handed to another VM at a planned stop.
struct TicketSuccession
{
  VmIncarnation m_from{};
  std::string m_successor{}; ///< peer address
};

/// What is known of the other VMs. It may be out of date.
struct TicketPeers
{
  std::set<std::string> m_listed{}; ///< peer addresses on the VM list
  std::vector<TicketSuccession> m_successions{};
};

enum class TicketStep
{
  Run,     ///< the ticket is consumed: run the call once, then call an On...()
  Forward, ///< send it to m_forwardTo, marked as forwarded
  Wait,    ///< the call is running: answer both calls when it ends
  Replay,  ///< answer with m_answer, marked as a replay
  Refuse,  ///< answer with m_error
};
std::string_view
ToString(TicketStep aStep);

/// Names a ticket that this VM decides for: its own, or one handed over.
struct TicketRef
{
  VmIncarnation m_issuer{};
  std::uint64_t m_sequence{};

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const TicketRef&) const = default;
};

struct TicketDecision
{
  TicketStep m_step{ TicketStep::Refuse };
  TicketRef m_ticket{};                         ///< for Run and Wait
  std::string m_forwardTo{};                    ///< for Forward: peer address
  std::shared_ptr<const KeptAnswer> m_answer{}; ///< for Replay
  std::optional<Error> m_error{};               ///< for Refuse
};

struct TicketOptions
{
  VmIncarnation m_vm{};
  std::chrono::milliseconds m_lifetime{ 600'000 };
  /// Used tickets kept at once; above it new uses are refused as overloaded.
  std::size_t m_maxUsed{ 100'000 };
  std::size_t m_maxKeptBytes{ 16u << 20 };   ///< of all kept answers together
  std::size_t m_maxKeptAnswer{ 256u << 10 }; ///< bytes of one kept answer
  /// Time for which an answer is kept for replays.
  std::chrono::milliseconds m_keepAnswers{ 300'000 };
  std::size_t m_handOverChunk{ 256u << 10 }; ///< bytes per exported text
};

/// Issues tickets and decides what happens to calls that carry one.
class TicketRegistry
{
public:
  /// @param aNow  start of the incarnation
  TicketRegistry(const TicketOptions& aOptions,
                 const TicketKey& aKey,
                 TimePoint aNow);
  ~TicketRegistry();

  /// Returns the text of a new ticket, valid for aCaller only.
  /// @throws Error (ShuttingDown) after Close()
  std::string Issue(std::string_view aCaller, TimePoint aNow);
  std::chrono::milliseconds Lifetime() const;

  /// Decides what happens to a call whose idempotency key should be a ticket,
  /// because the service's calls must not be repeated. Run consumes the ticket.
  TicketDecision Decide(const TicketCall& aCall,
                        const TicketPeers& aPeers,
                        TimePoint aNow);

  /// The call ran and this is its answer.
  void OnAnswered(const TicketRef& aTicket, KeptAnswer aAnswer, TimePoint aNow);
  /// The call certainly did not run: the ticket is unused again.
  void OnNotRun(const TicketRef& aTicket);
  /// The call may have run and there is no answer. Later uses are refused with
  /// run state Unknown.
  void OnUnknown(const TicketRef& aTicket);

  /// Removes expired tickets, and answers older than m_keepAnswers.
  void Expire(TimePoint aNow);

  /// Closes this registry: from now on it issues no tickets and refuses its own
  /// unused ones. Running calls continue.
  void Close();
  /// Returns the used tickets, own and taken over, as JSON texts for one
  /// named successor. Call after Close(), when no call runs any more; tickets
  /// whose call still runs are exported as unknown.
  std::vector<std::string> ExportUsed(TimePoint aNow) const;
  /// Takes over used tickets from a stopping VM. Those that this VM already has
  /// are not changed.
  /// @returns the incarnations in aText, whose tickets this VM now decides
  /// about
  /// @throws Error (InvalidRequest) if aText is malformed; nothing is changed
  /// @throws Error (Overloaded) if there would be more than m_maxUsed; nothing
  ///         is changed
  std::vector<VmIncarnation> ImportUsed(std::string_view aText, TimePoint aNow);

  std::size_t Used() const;
  std::size_t Running() const;
  std::size_t KeptBytes() const;

private:
  class State;
  std::unique_ptr<State> m_state;
};

/// Returns the error of a call whose forwarding to its ticket's issuer failed.
/// @param aMayHaveArrived  at least one byte was sent to the issuer
Error
ForwardFailed(bool aMayHaveArrived);

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_TICKETS_H
