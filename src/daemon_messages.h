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

/// A fleet text was accepted and is now in force.
struct FleetInForce
{
  FleetPtr m_fleet;
};

/// The VM list, or the set of its VMs that are live, changed.
struct MembershipView
{
  std::vector<std::string> m_listed; ///< peer addresses, this VM included
  std::vector<std::string> m_live;   ///< of these, the ones with recent gossip
};

/// Figures from gossip that the worker uses.
struct PeerUpdate
{
  std::vector<CallerDemand> m_othersDemand; ///< of all other VMs together
  std::string m_poisonDigest;               ///< empty if none
};

/// A call that another VM forwarded because this VM decides on its ticket.
struct ForwardedCall
{
  std::shared_ptr<HttpExchangeI> m_exchange;
  LoopI* m_owner{ nullptr }; ///< loop that m_exchange must be called on
  HttpRequest m_request;
};

/// The VM list or gossip reports whether an upstream is leaving.
struct UpstreamLeaving
{
  std::string m_address;
  bool m_leaving{ true };
};

/// Whether the VM may serve: it has an accepted fleet text, and peers or the
/// platform have shown that the text is current.
struct PlatformReady
{
  bool m_ready{ false };
};

/// The state of one engine as the worker predicts it, for operators.
struct EngineSnapshot
{
  std::string m_address;
  EngineRole m_role{ EngineRole::Decode };
  bool m_up{ true };
  bool m_leaving{ false };
  double m_running{};    ///< requests in its batch
  double m_freePieces{}; ///< of KV memory
  bool m_hasReport{ false };
  std::chrono::milliseconds m_reportAge{ 0 };
};

/// The state of the worker, for operators.
struct WorkerSnapshot
{
  bool m_ready{ false };
  bool m_draining{ false };
  std::size_t m_live{ 0 }; ///< requests
  LedgerSums m_sums;
  GoodputFigures m_goodput;
  std::vector<RequestView> m_requests;
  std::vector<EngineSnapshot> m_engines;
  std::vector<CallerDemand> m_demand;
  std::size_t m_usedTickets{ 0 };
  std::size_t m_pendingCancels{ 0 };
  /// Of the request that was looked up, while it is live.
  std::vector<Alternative> m_alternatives;
};

/// Asks for the worker's state.
struct SnapshotQuery
{
  /// Set to look one request up; the snapshot then holds it alone.
  std::optional<RequestId> m_request;
  std::function<void(WorkerSnapshot)> m_reply; ///< called on the worker's loop
};

/// Asks which of these streams a live request of this VM still needs.
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

/// Begins a planned stop.
struct DrainCommand
{};

/// Used tickets of a stopping VM, which this VM is to take over.
struct TicketHandOver
{
  std::vector<std::string> m_texts;
  /// Called on the worker's loop with the VM incarnations whose tickets this VM
  /// now decides on, or with nothing if it refused the tickets.
  std::function<void(std::optional<std::vector<VmIncarnation>>)> m_reply;
};

/// Which VM decides on the tickets of each stopped VM.
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

/// An upstream itself reported that it is leaving, or no longer is.
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
  std::vector<std::string> m_usedTickets; ///< ticket texts for the successor
};

/// An entry for the audit trail.
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
