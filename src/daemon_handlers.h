#ifndef SHALLOTFORD_SRC_DAEMON_HANDLERS_H
#define SHALLOTFORD_SRC_DAEMON_HANDLERS_H

/// HTTP handlers of the control task for the peers' port and for the operators'
/// port.

#include "daemon_control.h"

namespace shallotford {

/// Serves other VMs: JSON-RPC at /rpc (gossip, vm_list, fleet_text, owns,
/// take_tickets, suspect) and ticketed calls at /forward/services/. All
/// references must outlive the result.
std::unique_ptr<HttpHandlerI>
MakePeerHandler(ControlState& aState,
                ConfigSync& aConfig,
                GossipTask& aGossip,
                SweepTask& aSweep);

/// Serves operators: JSON-RPC at /rpc (status, upstreams, requests, explain,
/// audit, fleet, drain).
/// @param aDrain  begins a planned stop, given its cause
std::unique_ptr<HttpHandlerI>
MakeOperatorHandler(ControlState& aState,
                    const OrderTask& aOrders,
                    std::function<void(const std::string&)> aDrain);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_HANDLERS_H
