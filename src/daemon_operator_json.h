#ifndef SHALLOTFORD_SRC_DAEMON_OPERATOR_JSON_H
#define SHALLOTFORD_SRC_DAEMON_OPERATOR_JSON_H

/// Builds the JSON results of the operators' calls. docs/API.md lists the
/// members.

#include "daemon_messages.h"
#include "shallotford/control.h"

namespace shallotford {

Json::Value
StatusToJson(const WorkerSnapshot& aSnapshot);
Json::Value
UpstreamsToJson(const WorkerSnapshot& aSnapshot, const Readbacks& aReadbacks);
Json::Value
RequestsToJson(const WorkerSnapshot& aSnapshot);
/// @param aSnapshot  holds exactly one request, the one to explain
Json::Value
ExplainToJson(const WorkerSnapshot& aSnapshot);
Json::Value
AuditToJson(const std::vector<AuditEntry>& aEntries, std::uint64_t aDropped);
Json::Value
MembersToJson(const std::vector<MemberView>& aMembers);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_OPERATOR_JSON_H
