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
  "idempotency-key",
  "last-event-id",
  "x-request-id",
  "x-version",
  "openai-organization",
  "openai-project",
  "traceparent",
  "tracestate",
  "x-api-key",
  "x-region",
  "x-deadline-ms",
  "x-forwarded-by",
  "x-replayed",
  "x-run",
  "x-remedy",
  "x-leaving",
  "x-caller",
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
/// Bytes read from a raw stream at once, on the stack.
constexpr std::size_t kStreamReadBytes = 16u << 10;
/// Connections that wait to be accepted.
constexpr int kListenBacklog = 512;
/// Connections accepted in one turn of the loop.
constexpr std::size_t kAcceptsPerTurn = 64;

// engines
constexpr std::uint32_t kKvPieceTokens = 2'000;

// daemon
constexpr std::chrono::milliseconds kCancelTimeout = 1'000ms;
constexpr std::chrono::milliseconds kReportTimeout = 1'000ms;
constexpr std::chrono::milliseconds kPrefillTimeout = 30'000ms;
constexpr std::chrono::milliseconds kPullTimeout = 2'000ms;
constexpr std::chrono::milliseconds kEngineCheckPause = 20ms;
constexpr std::uint32_t kEngineCheckTries = 5;
constexpr std::chrono::milliseconds kWorkerTick = 20ms;
constexpr std::chrono::milliseconds kReportPeriod = 500ms;
constexpr std::chrono::milliseconds kDrainGrace = 1'000ms;
constexpr std::chrono::milliseconds kSuspectRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kOverloadRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kPlainRetryAfter = 500ms;
constexpr std::chrono::milliseconds kPlainBackOff = 100ms;
constexpr std::chrono::milliseconds kLeavingWordLifetime = 10'000ms;
constexpr std::chrono::milliseconds kLeastPlainTimeout = 1ms;
constexpr std::chrono::milliseconds kForwardTimeout = 30'000ms;
constexpr std::chrono::milliseconds kShutdownRetryAfter = 200ms;
constexpr std::uint32_t kMaxPlainDoublings = 6;
constexpr std::uint32_t kMaxDecodeMoves = 3;
constexpr std::uint32_t kFailedPollsForDown = 2;
constexpr std::size_t kMaxVerifiedKeys = 4'096;
constexpr std::size_t kCancelsAtOnce = 64;
constexpr std::size_t kMaxListedRequests = 200;
/// Of a coordinator's reply, which is no gossip.
constexpr std::size_t kSuspectDigestBytes = 65'536;
constexpr std::chrono::milliseconds kSuspectTimeout = 500ms;
constexpr std::chrono::milliseconds kPeerTimeout = 2'000ms;
constexpr std::chrono::milliseconds kPlatformAnswerTime = 5'000ms;
constexpr std::chrono::milliseconds kPlatformTick = 100ms;
constexpr std::chrono::milliseconds kGossipTick = 100ms;
constexpr std::chrono::milliseconds kSweepTick = 500ms;
constexpr std::chrono::milliseconds kSweepPing = 1'000ms;
constexpr std::chrono::milliseconds kOrderTick = 500ms;
constexpr std::chrono::milliseconds kBeat = 200ms;
constexpr std::chrono::milliseconds kLeavingRumorLifetime = 60'000ms;
constexpr std::chrono::milliseconds kSettledLifetime = 60'000ms;
constexpr std::chrono::milliseconds kSettledRepeat = 20'000ms;
constexpr std::chrono::milliseconds kSuccessionLifetime = 600'000ms;
constexpr std::size_t kSweepsPerTick = 4;
/// Engine states read per second while nothing changes.
constexpr double kStateReadsPerSecond = 2.0;
/// Load reports asked for per second, over all engines.
constexpr std::size_t kLoadPollsPerSecond = 16;
/// Own calls that a server in another region counts as.
constexpr double kOtherRegionCalls = 2.0;
/// Share of the first-token target that a request may wait for placement.
constexpr double kQueueShare = 0.5;

// ledger
constexpr std::chrono::milliseconds kGoneStreamBound = 5'000ms;
constexpr std::size_t kMaxResumeTokenBytes = 1'024;
constexpr std::uint64_t kMaxStreamPosition = 1u << 30;
constexpr std::size_t kMaxTicketBytes = 512;
/// Time from one look at a ticket that runs past its expiry to the next.
constexpr std::chrono::milliseconds kTicketRecheck = 1'000ms;
/// Longest remaining life of a ticket that is taken over.
constexpr std::chrono::hours kMaxTicketLife{ 24 };

// route
/// Breaks in a row after which an upstream gets no requests for a while.
constexpr std::uint32_t kBreaksForEjection = 2;
constexpr std::chrono::milliseconds kFirstEjection = 500ms;
constexpr std::uint32_t kMaxDoublings = 3; // of kFirstEjection
/// Time in which a trial request of an ejected upstream is the only one.
constexpr std::chrono::milliseconds kTrialTime = 1'000ms;
/// Age above which a reported load says nothing.
constexpr std::chrono::milliseconds kLoadLifetime = 500ms;
constexpr std::chrono::milliseconds kFailureHalfLife = 2'000ms;
constexpr double kFailureBlend = 0.2; // weight of the newest request
/// Failure share below which upstreams count as equally sound.
constexpr double kUsualFailureShare = 0.25;
constexpr double kFailureCost = 4.0; // per share above the usual
/// Added for upstreams that are only used if no other is left.
constexpr double kRemovedCost = 1'000;
constexpr double kEjectedCost = 1'000'000;
constexpr std::chrono::milliseconds kRefusalMemory = 300ms;
constexpr double kRefusalCost = 1.0;
/// Costs of distance, in places of an upstream that are in use.
constexpr double kSameRegionCost = 0.1;
constexpr double kOtherRegionCost = 0.3;
/// Requests above the number of places wait; each counts so many times.
constexpr double kWaitingCost = 3.0;
/// Prompts that a prefill engine reads at once without delaying each other
/// beyond a usual latency target.
constexpr double kPrefillPlaces = 2.0;
/// Requests of usual size that a decode engine's memory holds.
constexpr double kDecodePlaces = 10.0;
/// Largest part of the cost that is drawn at random, against herds.
constexpr double kRandomCost = 0.02;
/// Attempts that did not run, after which a request is refused.
constexpr std::uint32_t kMaxRefusals = 4;
/// Time left below which nothing more is tried.
constexpr std::chrono::milliseconds kLeastTryTime = 60ms;
/// Share of the budget's slack that is used, against wrong views of the VMs.
constexpr double kSlackShare = 0.7;
constexpr std::chrono::milliseconds kRemovalMemory = 60'000ms;
constexpr std::chrono::milliseconds kPeerLive = 6'000ms;
constexpr std::chrono::milliseconds kPeerForgotten = 60'000ms;
constexpr std::chrono::milliseconds kQuietPeerPause = 2'000ms;

// router
/// Unacknowledged bytes to an upstream break the connection after so long.
constexpr std::chrono::milliseconds kUpstreamSilence = 3'000ms;
constexpr std::chrono::milliseconds kConnectTimeout = 250ms;
constexpr std::size_t kMaxAnswerHead = 64u << 10;
/// Life of an idle connection whose upstream doesn't state its own timeout.
constexpr std::chrono::milliseconds kUnstatedIdleTime = 4'000ms;
constexpr std::chrono::seconds kMostIdleTime = 60s;
/// Idle connections are closed so long before the upstream's own timeout.
constexpr std::chrono::milliseconds kIdleMargin = 700ms;
/// Bytes of pipelined requests that are kept during an answer.
constexpr std::size_t kMaxEarlyRequestBytes = 64u << 10;
/// Unfinished request bodies, over all connections.
constexpr std::size_t kMaxBufferedBodies = 16u << 20;
constexpr std::chrono::milliseconds kBodiesRetryAfter = 500ms;
/// Unacknowledged bytes to a caller break the connection after so long.
constexpr std::chrono::milliseconds kCallerSilence = 15'000ms;
/// Answers up to this size are held until they are whole.
constexpr std::size_t kMaxHeldAnswer = 256u << 10;
/// Bytes queued for a caller above which its upstream isn't read.
constexpr std::size_t kMaxQueuedForCaller = 128u << 10;
/// An upstream without a sign of life for so long gets no other requests.
constexpr std::chrono::milliseconds kSuspicionTime = 300ms;
/// Shortest time that a repeatable request waits before it goes elsewhere.
constexpr std::chrono::milliseconds kLeastPatience = 250ms;
/// Patience with a prefill, beside so many times what prefills usually take: a
/// prompt that a dark engine swallowed is then read elsewhere within a usual
/// latency target, and one that only waits longer isn't read twice.
constexpr std::chrono::milliseconds kPrefillPatience = 350ms;
constexpr int kPrefillPatienceFactor = 2;
/// A stream without a first event goes elsewhere after so long; an engine that
/// has preempted it still serves it sooner than one that reads it anew.
constexpr std::chrono::milliseconds kFirstEventPatience = 1'500ms;
/// An engine without a sign of life for so long gets no other requests.
constexpr std::chrono::milliseconds kEngineSuspicionTime = 700ms;
/// Longest pause inside a stream that may go on elsewhere.
constexpr std::chrono::milliseconds kStreamPatience = 1'500ms;
/// An attempt's own timers end after the request's, if that is to decide.
constexpr std::chrono::milliseconds kBeyondDeadline = 1'000ms;
/// Prefill engines that one request tries to reach.
constexpr std::uint32_t kMaxPrefills = 2;
/// Longest idle time of a connection that a request uses again: one that may
/// run once only, and others.
constexpr std::chrono::milliseconds kFreshForRunOnce = 1'000ms;
constexpr std::chrono::milliseconds kFreshForRepeatable = 60'000ms;
/// Share of an upstream's connections that this system opens.
constexpr double kConnectionShare = 0.8;
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter = 400ms;
/// For a stream that waited for memory in vain: a burst lasts some seconds.
constexpr std::chrono::milliseconds kBacklogRetryAfter = 2'500ms;
constexpr std::chrono::milliseconds kLeavingRetryAfter = 100ms;
/// Share of the time left that a caller waits at most before it asks again.
constexpr double kRetryAfterShare = 0.3;
/// Full engines that one request asks for memory before it waits, and engines
/// that don't answer at all.
constexpr std::uint32_t kReserveTries = 3;
constexpr std::uint32_t kMaxLostReserves = 8;
constexpr std::chrono::milliseconds kReserveTimeout = 200ms;
constexpr std::chrono::milliseconds kErrandTimeout = 500ms;
/// Time between two looks at the requests that wait for memory.
constexpr std::chrono::milliseconds kAdmissionPeriod = 40ms;
/// From a reservation to the first event: prefill, transfer and first tokens.
constexpr std::chrono::milliseconds kFirstEventTime = 250ms;
/// Tokens for which an engine must have room beside the prompt, for each of its
/// requests: what they generate until one of them ends.
constexpr double kGrowthTokens = 90;
/// The same in all, at least: reports of an engine's requests lag.
constexpr double kLeastGrowthTokens = 800;
/// Further tokens for a request that is late already: room that is left for one
/// that can still be on time.
constexpr std::uint32_t kLateTokens = 6'000;
/// Prompt tokens that a prefill engine reads in a millisecond, and the time in
/// which a decode engine makes one token for each of its requests: of the
/// engines that the users describe, to compare the two roles' work.
constexpr double kTypicalPromptTokensPerMs = 55.0;
constexpr std::chrono::duration<double, std::milli> kTypicalStep{ 3.4 };
constexpr std::chrono::duration<double, std::milli> kTypicalStepPerRequest{
  0.1
};
/// Prefill engines beyond those that would always be busy: prompts come at
/// random, and each one that waits makes a first token late.
constexpr double kPrefillHeadroom = 1.15;
/// One may be lost.
constexpr std::size_t kLeastPrefillEngines = 2;
/// Waits of prompts at prefill engines: from the first on, some are left to
/// decode engines, from the second on all. A decode engine takes about 200 ms
/// longer to read one, and the target for a first token is 900 ms.
constexpr std::chrono::milliseconds kGoodPrefillDelay = 150ms;
constexpr std::chrono::milliseconds kBadPrefillDelay = 500ms;
constexpr std::chrono::milliseconds kPrefillDelayHalfLife = 1'000ms;
constexpr double kPrefillDelayBlend = 0.4; // of the newest prefill
/// Roles are set in this time after the first start of all VMs: engines start
/// within some seconds, and callers come after ten.
constexpr std::chrono::milliseconds kRolesAfter = 4'000ms;
constexpr std::chrono::milliseconds kRolesUntil = 8'000ms;
/// VMs assumed in each failure domain before others are heard of.
constexpr std::size_t kVmsPerDomain = 3;
constexpr std::chrono::milliseconds kRouterTick = 500ms;
constexpr std::chrono::milliseconds kLeavingTick = 100ms;
constexpr std::chrono::milliseconds kGossipPeriod = 1'000ms;
/// Silence of the directory's source after which peers are asked.
constexpr std::chrono::milliseconds kSourceSilence = 1'500ms;
/// Time that an upstream whose entry was removed is still a last resort.
constexpr std::chrono::milliseconds kRemovedLastResort = 1'000ms;
/// The same where many entries of a service were removed together.
constexpr std::chrono::milliseconds kManyRemovedLastResort = 4'000ms;
/// Share of a service's entries whose removal at one time counts as many.
constexpr double kManyRemovedShare = 0.5;
/// A planned stop goes on accepting for so long, until balancers notice.
constexpr std::chrono::milliseconds kDrainAccepting = 2'800ms;
/// The process ends so long before its time is up.
constexpr std::chrono::milliseconds kDrainMargin = 700ms;
/// Time of one generated token, at most, to tell whether a stream will end
/// before a planned stop does.
constexpr std::chrono::microseconds kTokenTime = 6'000us;
/// A pause of this process after which what it knew is out of date.
constexpr std::chrono::milliseconds kFreezeLimit = 1'000ms;

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
constexpr double kLeastGoodputShare = 0.01;  // of the weights' sum
constexpr double kSlowdownPenalty = 0.02;    // seconds
constexpr double kFirstStepShare = 1.5;      // steps before the first token
constexpr std::chrono::milliseconds kMostReportAge = 500ms;
constexpr double kStaleReportFactor = 4; // times a report's age
constexpr double kLeastMargin = 0.05;    // requests
constexpr std::chrono::milliseconds kOwnDemandTime = 5'000ms;
constexpr double kWastePenalty = 1.0;       // per second of prefill
constexpr double kWasteFloor = 0.02;        // seconds
constexpr double kCrossRegionPenalty = 1.0; // seconds per price unit
constexpr double kNearEqualCost = 0.01;     // seconds
constexpr double kRendezvousBonus = 0.05;   // seconds
constexpr double kClaimFirstRisk = 0.3;
constexpr std::chrono::microseconds kClaimLead = 20ms;
constexpr std::chrono::milliseconds kNoEngineRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kLeastRetryAfter = 200ms;
constexpr std::chrono::milliseconds kMostRetryAfter = 10'000ms;
constexpr std::chrono::milliseconds kResumePatience = 10'000ms;
constexpr std::chrono::milliseconds kResumeSpread = 20'000ms;
constexpr std::uint64_t kResumeSpreadParts = 64;
constexpr std::chrono::milliseconds kQueueFullRetryAfter = 1'000ms;
constexpr double kLeastCallerShare = 0.01;
constexpr double kOutputTokenCost = 4.0;  // tokens of prefill work
constexpr double kLowPriorityShare = 0.1; // of the tokens served above
constexpr std::chrono::milliseconds kMostLimitRetryAfter = 60'000ms;
constexpr std::chrono::milliseconds kDemandTime = 4'000ms;
constexpr std::chrono::milliseconds kPeerDemandLifetime = 3'000ms;
constexpr double kDemandFloor = 0.01; // of a limit, divided among the VMs

// control
/// Longest time until every VM knows that a VM or upstream is leaving.
constexpr std::chrono::milliseconds kMaxLeavingDelay = 3'000ms;
constexpr std::size_t kMaxFleetTextBytes = 1u << 20;
constexpr std::size_t kKeptFleetTexts = 4;
constexpr std::size_t kMaxConflictsKept = 8;
/// Listed peers that a booting VM compares its revision with.
constexpr std::size_t kPeersForReadiness = 2;
constexpr std::chrono::milliseconds kPlatformFreshFor = 60'000ms;
/// VMs that keep a watch (long poll) open at the platform.
constexpr std::size_t kPlatformWatchers = 9;
/// Longest time that the platform holds a watch before it answers.
constexpr std::chrono::milliseconds kPlatformWait = 30'000ms;
/// Pause between a watch's answer and the next watch.
constexpr std::chrono::milliseconds kPlatformWatchPause = 200ms;
/// Pause after the first failed call; it doubles with each further failure.
constexpr std::chrono::milliseconds kPlatformBackoff = 1'000ms;
constexpr std::uint32_t kMaxPlatformBackoffDoublings = 5;
/// Hints at a change bring a call forward at most once in this time.
constexpr std::chrono::milliseconds kMinPlatformHintInterval = 5'000ms;
/// A longer time between two turns of the loop counts as a pause of the
/// process.
constexpr std::chrono::milliseconds kMaxLoopPause = 2'000ms;
/// Time after a start or a pause of the process in which no orders are sent.
constexpr std::chrono::milliseconds kOrderHoldOff = 10'000ms;
/// Position of the revision in a fencing number, in bits.
constexpr std::uint32_t kFenceRevisionShift = 32;

// reconciler
/// Utilisation of a role above which it wants an engine of the other.
constexpr double kHighUse = 0.85;
/// Utilisation below which a role can spare an engine, once it is gone.
constexpr double kSpareUse = 0.7;
/// Below this on both sides the text's split is restored.
constexpr double kLowUse = 0.5;
constexpr std::chrono::milliseconds kPressureTime = 30'000ms;
constexpr std::chrono::milliseconds kSplitCooldown = 120'000ms;
/// Engines left in a role are at least the work in use divided by this.
constexpr double kMostUse = 0.9;
constexpr std::chrono::milliseconds kReadbackFresh = 10'000ms;
/// Engines that a new owner reads for the first time, in one turn.
constexpr std::size_t kFirstReadsAtOnce = 16;
/// States of engines under change are read so often.
constexpr std::chrono::milliseconds kUrgentReadback = 1'000ms;

// gossip
/// Number of VMs on the ring with which a VM exchanges in turn.
constexpr std::size_t kGossipFanout = 5;
/// One in this number of exchanges goes to a random listed VM.
constexpr std::uint64_t kRandomExchangeEvery = 4;
/// Factor by which a VM without a revision exchanges more often.
constexpr int kBootExchangeFactor = 8;
/// A VM that no VM has seen for longer counts as unreachable.
constexpr std::chrono::milliseconds kMemberTimeout = 30'000ms;
/// Resolution of the ages in messages.
constexpr std::chrono::milliseconds kAgeUnit = 600ms;
/// Ages in one message if both VMs have the same list of VMs, and if they have
/// different ones.
constexpr std::size_t kMaxAgesPerMessage = 384;
constexpr std::size_t kMaxKeyedAgesPerMessage = 72;
/// If no VM's watch has been answered for this time, every VM keeps watches
/// open for kFallbackWatchTime.
constexpr std::chrono::milliseconds kFleetWatchTimeout = 45'000ms;
constexpr std::chrono::milliseconds kFallbackWatchTime = 600'000ms;
constexpr std::size_t kMaxRecordsPerMessage = 3;
constexpr std::size_t kMaxRumorsPerMessage = 4;
constexpr std::size_t kMaxAveragesPerMessage = 10;
/// Number of messages that carry a member's record after it changed.
constexpr std::uint32_t kSendsPerChangedRecord = 6;
constexpr std::size_t kMaxRumors = 512;
constexpr std::size_t kMaxRumorIdBytes = 64;
constexpr std::size_t kMaxRumorBodyBytes = 128;
constexpr std::chrono::milliseconds kMaxRumorLifetime = 600'000ms;
constexpr std::size_t kMaxDigestBytes = 256;
/// Number of messages that carry a digest after it changed; from then on every
/// kDigestMessageInterval-th message carries it.
constexpr std::uint32_t kSendsPerChangedDigest = 8;
constexpr std::uint64_t kDigestMessageInterval = 8;
/// A changed digest starts an urgent round at most once in this time.
constexpr std::chrono::milliseconds kMinUrgentDigestInterval = 30'000ms;
/// Entries of one kind that are read from one message; further ones are
/// ignored.
constexpr std::size_t kMaxEntriesReadPerMessage = 64;
/// Versions of the list of VMs that are stored as bases of differences.
constexpr std::size_t kMaxStoredLists = 4;
constexpr std::size_t kMaxListBytes = 1u << 20;
constexpr std::size_t kMaxPendingOffers = 64;
constexpr std::size_t kMaxPendingDigests = 64;
/// Time for which a peer that didn't answer is not chosen on the ring.
constexpr std::chrono::milliseconds kFailedPeerPause = 10'000ms;
/// Rounds of urgent messages that a VM may start per second, and in a burst.
constexpr double kMaxUrgentRoundsPerSecond = 0.1;
constexpr double kMaxUrgentBurst = 8;
/// Share of the difference between an average and the VM's own value by which
/// the average moves towards that value per second.
constexpr double kAverageLeakPerSecond = 0.01;

// ctl
constexpr std::chrono::milliseconds kOperatorCallTimeout = 5'000ms;
constexpr std::size_t kMaxOperatorAnswerBytes = 64u << 20;
constexpr std::uint64_t kMaxWatchSeconds = 86'400;
constexpr std::uint64_t kMaxAuditLimit = 1'000'000;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONFIG_H
