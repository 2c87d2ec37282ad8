#ifndef SHALLOTFORD_SRC_DAEMON_MESSAGES_H
#define SHALLOTFORD_SRC_DAEMON_MESSAGES_H

/// Messages between the worker task and the control task. Each is plain data
/// that the receiver owns.

#include "shallotford/control.h"
#include "shallotford/fleet.h"
#include "shallotford/ledger.h"
#include "shallotford/net.h"
#include "shallotford/placement.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotford {

// ------------------------------------------------- control task to worker

/// A fleet text was accepted.
struct FleetInForce
{
  FleetPtr m_fleet;
};

/// The VM list and what gossip says of its members changed.
struct MembershipView
{
  std::vector<std::string> m_listed; ///< peer addresses, this VM included
  std::vector<std::string> m_live;   ///< of these, heard of recently
};

/// What a peer's gossip brought for the worker.
struct PeerUpdate
{
  std::vector<CallerDemand> m_othersDemand; ///< of all other VMs together
  std::string m_poisonDigest;               ///< empty if none
};

/// A call whose ticket this VM issued, brought by another VM.
struct ForwardedCall
{
  std::shared_ptr<HttpExchangeI> m_exchange;
  LoopI* m_owner{ nullptr }; ///< loop that m_exchange must be called on
  HttpRequest m_request;
};

/// An upstream is leaving, as the VM list or gossip says.
struct UpstreamLeaving
{
  std::string m_address;
  bool m_leaving{ true };
};

/// Whether the VM may serve: it has an accepted text and is not cut off.
struct PlatformReady
{
  bool m_ready{ false };
};

/// Facts about the worker, for operators.
struct EngineSnapshot
{
  std::string m_address;
  EngineRole m_role{ EngineRole::Decode };
  bool m_up{ true };
  bool m_leaving{ false };
  double m_running{};    ///< requests in its batch, predicted
  double m_freePieces{}; ///< predicted
  bool m_hasReport{ false };
  std::chrono::milliseconds m_reportAge{ 0 };
};

struct WorkerSnapshot
{
  bool m_ready{ false };
  bool m_draining{ false };
  std::size_t m_live{ 0 };
  LedgerSums m_sums;
  GoodputFigures m_goodput;
  std::vector<RequestView> m_requests;
  std::vector<EngineSnapshot> m_engines;
  std::vector<CallerDemand> m_demand;
  std::size_t m_usedTickets{ 0 };
  std::size_t m_pendingCancels{ 0 };
  /// Of the request that was asked for, while it is live.
  std::vector<Alternative> m_alternatives;
};

struct SnapshotQuery
{
  /// Set to look one request up; the snapshot then holds it alone.
  std::optional<RequestId> m_request;
  std::function<void(WorkerSnapshot)> m_reply; ///< called on the worker's loop
};

/// Which of these streams does a live request here still need?
struct OwnershipQuery
{
  std::vector<AttemptId> m_streams;
  std::function<void(const std::vector<AttemptId>&)> m_reply;
};

/// Another VM's call to this VM as the coordinator of suspects.
struct SuspectQuery
{
  Json::Value m_call;
  /// Called on the worker's loop, with nothing if the call is malformed.
  std::function<void(std::optional<Json::Value>)> m_reply;
};

/// Begin a planned stop.
struct DrainCommand
{};

/// Used tickets of a stopping VM, for this VM to answer for.
struct TicketHandOver
{
  std::vector<std::string> m_texts;
  /// Called on the worker's loop with the incarnations that this VM now
  /// answers for, or with nothing if it refused.
  std::function<void(std::optional<std::vector<VmIncarnation>>)> m_reply;
};

/// Which VM answers for the tickets of which stopped one.
struct TicketSuccessions
{
  std::vector<TicketSuccession> m_successions;
};

using ControlMessage = std::variant<FleetInForce,
                                    MembershipView,
                                    PeerUpdate,
                                    ForwardedCall,
                                    UpstreamLeaving,
                                    PlatformReady,
                                    SnapshotQuery,
                                    OwnershipQuery,
                                    SuspectQuery,
                                    DrainCommand,
                                    TicketHandOver,
                                    TicketSuccessions>;

// ------------------------------------------------- worker to control task

/// An upstream said by itself that it is leaving, or stopped doing so.
struct UpstreamLeavingReport
{
  std::string m_address;
  bool m_leaving{ true };
};

/// The worker's figures, sent periodically for gossip.
struct WorkerReport
{
  std::vector<CallerDemand> m_demand;
  std::string m_poisonDigest;
  std::map<std::string, ServiceLoad> m_loads;     ///< by service
  std::map<std::string, std::uint32_t> m_running; ///< by engine
};

/// Every request in flight has ended after a DrainCommand.
struct Drained
{
  std::vector<std::string> m_usedTickets; ///< texts for the successor
};

/// Something for the audit trail.
struct AuditNote
{
  std::string m_kind; ///< "quarantine", "upstream", ...
  std::string m_subject;
  std::string m_cause;
};

using WorkerMessage =
  std::variant<UpstreamLeavingReport, WorkerReport, Drained, AuditNote>;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_MESSAGES_H
