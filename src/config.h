#ifndef SHALLOTFORD_SRC_CONFIG_H
#define SHALLOTFORD_SRC_CONFIG_H

/// Constants of the whole program, by family, with their units.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shallotford {

using namespace std::chrono_literals;

// base
constexpr std::size_t kMaxJsonDepth = 64;

// net
/// Headers outside libwebsockets' own table that are read from requests and
/// answers, in lower case.
constexpr std::string_view kCustomHeaders[] = {
  "idempotency-key",     "last-event-id",  "x-request-id",  "x-version",
  "openai-organization", "openai-project", "traceparent",   "tracestate",
  "x-api-key",           "x-region",       "x-deadline-ms", "x-forwarded-by",
  "x-replayed",          "x-run",          "x-remedy",
};
/// Header storage of one request, above any ServerOptions::m_maxHeaders, so
/// that requests with too large headers can be answered.
constexpr std::size_t kHeaderStorageBytes = 64u << 10;
/// Most bytes read from a socket at once.
constexpr std::size_t kServiceBufferBytes = 64u << 10;
/// Most bytes given to a socket at once.
constexpr std::size_t kMaxWriteBytes = 64u << 10;
/// Sockets of a loop beside its connections: listeners, timer and wake-up.
constexpr std::size_t kInternalSockets = 64;
/// libwebsockets' own timeouts, above all of ours.
constexpr std::chrono::seconds kLibraryTimeout = 3'600s;
/// Connections above ServerOptions::m_maxConnections that are answered with
/// the refusal before they are closed; further ones are closed at once.
constexpr std::size_t kRefusedConnections = 64;
/// Most bytes of early further requests that are dropped during an answer.
constexpr std::size_t kMaxEarlyBytes = 256u << 10;
/// Time that a refused request's remaining body is read and dropped, so that
/// the refusal reaches its sender.
constexpr std::chrono::milliseconds kLingerTime = 1'000ms;
constexpr std::size_t kMaxEventBytes = 1u << 20;

// engines
constexpr std::uint32_t kKvPieceTokens = 2'000;

// ledger
constexpr std::chrono::milliseconds kExportLifetime = 900ms;
constexpr std::chrono::milliseconds kGoneStreamBound = 5'000ms;

// fleet
/// The revision fills the upper half of a fencing number.
constexpr std::uint64_t kMaxRevision = 0xffff'ffffu;
constexpr std::size_t kKeyHashHex = 64;

// placement
constexpr std::chrono::milliseconds kRefusalBackOff = 50ms;
constexpr std::chrono::milliseconds kSlowStartTime = 4'000ms;
constexpr double kSlowStartLeast = 0.05; // of an engine's share
constexpr std::chrono::milliseconds kEndedWorkMemory = 5'000ms;
constexpr std::chrono::seconds kPrefixHintLifetime = 120s;
constexpr std::size_t kMaxPrefixHints = 131'072;
constexpr std::size_t kMaxEnginesPerPrefix = 8;
constexpr std::size_t kWholeListLimit = 128; // engines in a pool
constexpr std::size_t kSampledEngines = 32;  // of a larger pool
constexpr std::size_t kRankedPerRegion = 3;  // engines paired in each role
constexpr std::size_t kMaxAlternatives = 8;
constexpr double kDecodeStepGrowth = 0.05;   // per further request
constexpr double kTypicalOutputTokens = 200; // left of a running request
constexpr double kSafeSpareRequests = 3;     // spare places without risk
constexpr double kSlowdownPenalty = 0.1;     // seconds
constexpr double kWastePenalty = 1.0;        // per second of prefill
constexpr double kWasteFloor = 0.02;         // seconds
constexpr double kCrossRegionPenalty = 1.0;  // seconds per price unit
constexpr double kNearEqualCost = 0.01;      // seconds
constexpr double kRendezvousBonus = 0.05;    // seconds
constexpr std::chrono::microseconds kClaimLead = 20ms;
constexpr std::chrono::milliseconds kNoEngineRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kLeastRetryAfter = 200ms;
constexpr std::chrono::milliseconds kMostRetryAfter = 10'000ms;
constexpr std::chrono::milliseconds kQueueFullRetryAfter = 1'000ms;
constexpr double kLeastCallerShare = 0.01;
constexpr double kOutputTokenCost = 4.0;  // tokens of prefill work
constexpr double kLowPriorityShare = 0.1; // of the tokens served above
constexpr std::chrono::milliseconds kMostLimitRetryAfter = 60'000ms;
constexpr std::chrono::milliseconds kDemandTime = 4'000ms;
constexpr std::chrono::milliseconds kPeerDemandLifetime = 3'000ms;
constexpr double kDemandFloor = 0.01; // of a limit, divided among the VMs

// control
constexpr std::chrono::milliseconds kLeavingBound = 3'000ms;
constexpr std::size_t kMaxFleetTextBytes = 1u << 20;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONFIG_H
