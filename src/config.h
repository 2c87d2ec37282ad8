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
constexpr std::uint32_t kConsecutiveBreaksForEjection = 2;
constexpr std::chrono::milliseconds kFirstEjection = 500ms;
constexpr std::uint32_t kMaxEjectionDoublings = 3; // of kFirstEjection
/// Time in which a trial request of an ejected upstream is the only one.
constexpr std::chrono::milliseconds kTrialTime = 1'000ms;
/// Age above which a reported load says nothing.
constexpr std::chrono::milliseconds kMaxLoadAge = 500ms;
constexpr std::chrono::milliseconds kFailureHalfLife = 2'000ms;
constexpr double kFailureSampleWeight = 0.2; // weight of the newest request
/// Failure share below which upstreams count as equally sound.
constexpr double kToleratedFailureShare = 0.25;
constexpr double kFailureCost = 4.0; // per share above the usual
/// Added for upstreams that are only used if no other is left.
constexpr double kRemovedEntryCost = 1'000;
constexpr double kEjectedCost = 1'000'000;
constexpr std::chrono::milliseconds kRecentRefusalTime = 300ms;
constexpr double kRefusalCost = 1.0;
/// Costs of distance, in places of an upstream that are in use.
constexpr double kSameRegionCost = 0.1;
constexpr double kOtherRegionCost = 0.3;
/// Requests above the number of places wait; each counts so many times.
constexpr double kWaitingCost = 3.0;
/// Prompts that a prefill engine reads at once without delaying each other
/// beyond a usual latency target.
constexpr double kPrefillConcurrency = 2.0;
/// Requests of usual size that a decode engine's memory holds.
constexpr double kDecodeConcurrency = 10.0;
/// Largest part of the cost that is drawn at random, against herds.
constexpr double kMaxRandomCost = 0.02;
/// Attempts that did not run, after which a request is refused.
constexpr std::uint32_t kMaxRefusals = 4;
/// Time left below which nothing more is tried.
constexpr std::chrono::milliseconds kMinAttemptTime = 60ms;
/// Share of the budget's slack that is used, against wrong views of the VMs.
constexpr double kRetrySlackShare = 0.7;
constexpr std::chrono::milliseconds kRemovalRetention = 60'000ms;
constexpr std::chrono::milliseconds kPeerLiveTime = 6'000ms;
constexpr std::chrono::milliseconds kPeerRetention = 60'000ms;
constexpr std::chrono::milliseconds kFailedPeerPause = 2'000ms;

// router
/// A connection to an upstream is broken off if bytes sent on it stay
/// unacknowledged for this time.
constexpr std::chrono::milliseconds kUpstreamAckTimeout = 3'000ms;
constexpr std::chrono::milliseconds kConnectTimeout = 250ms;
constexpr std::size_t kMaxAnswerHeadBytes = 64u << 10;
/// Lifetime of an idle connection whose upstream doesn't state its own timeout.
constexpr std::chrono::milliseconds kDefaultIdleTime = 4'000ms;
/// Upper bound of the timeout that an upstream states itself.
constexpr std::chrono::seconds kMaxIdleTime = 60s;
/// Idle connections are closed this long before the upstream's own timeout.
constexpr std::chrono::milliseconds kIdleMargin = 700ms;
/// Bytes of pipelined requests that are buffered while one is answered.
constexpr std::size_t kMaxPipelinedBytes = 64u << 10;
/// Bytes of incomplete request bodies, over all connections.
constexpr std::size_t kMaxBufferedBodyBytes = 16u << 20;
constexpr std::chrono::milliseconds kBodyBufferFullRetryAfter = 500ms;
/// A caller's connection is broken off if bytes sent on it stay unacknowledged
/// for this time.
constexpr std::chrono::milliseconds kCallerAckTimeout = 15'000ms;
/// Answers up to this size are held until they are complete.
constexpr std::size_t kMaxHeldAnswerBytes = 256u << 10;
/// Bytes queued for a caller above which its upstream isn't read.
constexpr std::size_t kMaxCallerQueueBytes = 128u << 10;
/// An upstream that has answered no request for this time after one was sent
/// gets no other requests.
constexpr std::chrono::milliseconds kNoResponseTimeout = 300ms;
/// Shortest time that a repeatable request waits for an answer's head before
/// it is sent to another upstream.
constexpr std::chrono::milliseconds kMinAnswerHeadTimeout = 250ms;
/// A prefill times out after this time plus kPrefillTimeoutFactor times the
/// usual duration of a prefill. A prompt sent to an engine that has stopped
/// responding is then processed elsewhere within a usual latency target, and a
/// prompt that only waits longer isn't processed twice.
constexpr std::chrono::milliseconds kPrefillTimeoutBase = 350ms;
constexpr int kPrefillTimeoutFactor = 2;
/// A stream without a first event in this time is sent to another engine. Until
/// then an engine that has preempted it still serves it sooner than one that
/// processes the prompt anew.
constexpr std::chrono::milliseconds kFirstEventTimeout = 1'500ms;
/// The same as kNoResponseTimeout, for engines.
constexpr std::chrono::milliseconds kEngineNoResponseTimeout = 700ms;
/// Longest pause in a stream that can be resumed at another engine.
constexpr std::chrono::milliseconds kMaxStreamPause = 1'500ms;
/// Added to an attempt's timers where the request's own deadline timer has to
/// fire first.
constexpr std::chrono::milliseconds kAttemptTimerMargin = 1'000ms;
/// Prefill engines that one request tries to reach.
constexpr std::uint32_t kMaxPrefillTries = 2;
/// Longest idle time after which a connection is used again, for requests that
/// must run at most once and for repeatable ones.
constexpr std::chrono::milliseconds kMaxReuseIdleNonRepeatable = 1'000ms;
constexpr std::chrono::milliseconds kMaxReuseIdleRepeatable = 60'000ms;
/// Share of an upstream's connection limit that all VMs together use.
constexpr double kMaxConnectionShare = 0.8;
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter = 400ms;
/// Retry-After of a stream that got no memory in time; a burst lasts some
/// seconds.
constexpr std::chrono::milliseconds kBacklogRetryAfter = 2'500ms;
constexpr std::chrono::milliseconds kLeavingRetryAfter = 100ms;
/// Retry-After is at most this share of the time that the request has left.
constexpr double kMaxRetryAfterShare = 0.3;
/// A request waits in the queue once this many full engines have refused to
/// reserve memory for it, or this many engines have not answered.
constexpr std::uint32_t kMaxFullEngineTries = 3;
constexpr std::uint32_t kMaxUnansweredReserves = 8;
constexpr std::chrono::milliseconds kReserveTimeout = 200ms;
/// Timeout of calls at engines that no request waits for.
constexpr std::chrono::milliseconds kEngineCallTimeout = 500ms;
/// Time between two checks of the requests that wait for memory.
constexpr std::chrono::milliseconds kAdmissionPeriod = 40ms;
/// Time from a reservation to the first event: prefill, transfer of the KV
/// cache and first tokens.
constexpr std::chrono::milliseconds kReserveToFirstEventTime = 250ms;
/// Tokens for which an engine must have room beside the prompt, for each of its
/// requests: what they generate until one of them ends.
constexpr double kGrowthTokensPerRequest = 90;
/// Lower bound of that room over all requests of an engine, as its reports of
/// running requests lag behind.
constexpr double kMinGrowthTokens = 800;
/// Tokens reserved in addition for a request that can't meet its latency target
/// any more, so that room is left for requests that can.
constexpr std::uint32_t kLateRequestExtraTokens = 6'000;
/// Prompt tokens that a prefill engine processes in a millisecond, and the time
/// in which a decode engine generates one token for each of its requests. They
/// describe the engines that the users report, to compare the two roles' work.
constexpr double kTypicalPromptTokensPerMs = 55.0;
constexpr std::chrono::duration<double, std::milli> kTypicalDecodeStep{ 3.4 };
constexpr std::chrono::duration<double, std::milli>
  kTypicalDecodeStepPerRequest{ 0.1 };
/// Factor on the number of prefill engines that would always be busy: prompts
/// arrive at random, and each one that waits delays a first token.
constexpr double kPrefillHeadroom = 1.15;
/// With two prefill engines a service can lose one of them.
constexpr std::size_t kMinPrefillEngines = 2;
/// Waits of prompts at prefill engines: from the first value on, decode engines
/// process some of the prompts, from the second on all. A decode engine takes
/// about 200 ms longer for a prompt; the target for a first token is 900 ms.
constexpr std::chrono::milliseconds kSkipSomePrefillsDelay = 150ms;
constexpr std::chrono::milliseconds kSkipAllPrefillsDelay = 500ms;
constexpr std::chrono::milliseconds kPrefillDelayHalfLife = 1'000ms;
constexpr double kPrefillDelaySampleWeight = 0.4; // of the newest prefill
/// Time after the first start of all VMs from which, and until which, engines
/// are ordered to change roles: engines start within some seconds, and callers
/// come after ten.
constexpr std::chrono::milliseconds kRoleOrdersFrom = 4'000ms;
constexpr std::chrono::milliseconds kRoleOrdersUntil = 8'000ms;
/// VMs assumed in each failure domain until others are known.
constexpr std::size_t kAssumedVmsPerDomain = 3;
/// Period of the router's housekeeping: gossip, expired entries, readiness.
constexpr std::chrono::milliseconds kRouterTick = 500ms;
/// The same during a planned stop.
constexpr std::chrono::milliseconds kLeavingTick = 100ms;
constexpr std::chrono::milliseconds kGossipPeriod = 1'000ms;
/// Time without an answer of the directory's source after which this VM asks
/// its peers for changes.
constexpr std::chrono::milliseconds kSourceTimeout = 1'500ms;
/// Time for which an upstream whose entry was removed still gets requests that
/// no other upstream can take.
constexpr std::chrono::milliseconds kRemovedEntryGrace = 1'000ms;
/// The same where many entries of a service were removed together.
constexpr std::chrono::milliseconds kMassRemovalGrace = 4'000ms;
/// Smallest share of a service's entries whose removal at one time counts as
/// many.
constexpr double kMinMassRemovalShare = 0.5;
/// A planned stop goes on accepting requests for this time, until balancers
/// notice it.
constexpr std::chrono::milliseconds kDrainAcceptTime = 2'800ms;
/// The process ends this long before its time for a planned stop is over.
constexpr std::chrono::milliseconds kDrainMargin = 700ms;
/// Longest time to generate one token, used to estimate whether a stream ends
/// before a planned stop does.
constexpr std::chrono::microseconds kMaxTokenTime = 6'000us;
/// Shortest pause of this process after which the idle connections are taken
/// as out of date and closed.
constexpr std::chrono::milliseconds kMinDetectedPause = 1'000ms;

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
constexpr std::chrono::milliseconds kLeavingBound = 3'000ms;
constexpr std::size_t kMaxFleetTextBytes = 1u << 20;
constexpr std::size_t kKeptFleetTexts = 4;
constexpr std::size_t kMaxConflictsKept = 8;
/// Listed peers that a booting VM compares its revision with.
constexpr std::size_t kPeersForReadiness = 2;
constexpr std::chrono::milliseconds kPlatformFreshFor = 60'000ms;
constexpr std::size_t kPlatformWatchers = 9;
constexpr std::chrono::milliseconds kPlatformWait = 30'000ms;
/// Between a watch's answer and the next watch.
constexpr std::chrono::milliseconds kPlatformWatchPause = 200ms;
constexpr std::chrono::milliseconds kPlatformBackoff = 1'000ms;
constexpr std::uint32_t kPlatformBackoffDoublings = 5;
constexpr std::chrono::milliseconds kPlatformHintEvery = 5'000ms;
constexpr std::chrono::milliseconds kPauseLimit = 2'000ms;
/// After a start or a pause no orders are given for so long.
constexpr std::chrono::milliseconds kSettleTime = 10'000ms;
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
/// Neighbours on the ring that a VM exchanges with by turns.
constexpr std::size_t kGossipFanout = 5;
/// Each so many exchanges one goes to a random listed VM.
constexpr std::uint64_t kRandomExchangeEvery = 4;
/// A VM without a revision exchanges so many times as often.
constexpr int kBootSpeedUp = 8;
constexpr std::chrono::milliseconds kHeardFor = 30'000ms;
constexpr std::chrono::milliseconds kAgeUnit = 600ms;
/// Ages in one message, where both sides have the same list of VMs, and where
/// they have not.
constexpr std::size_t kAgesPerMessage = 384;
constexpr std::size_t kKeyedAgesPerMessage = 72;
/// Without a platform watch that answers anywhere, every VM keeps one.
constexpr std::chrono::milliseconds kWatchSilence = 45'000ms;
constexpr std::chrono::milliseconds kActingWatchTime = 600'000ms;
constexpr std::size_t kRecordsPerMessage = 3;
constexpr std::size_t kRumorsPerMessage = 4;
constexpr std::size_t kAveragesPerMessage = 10;
constexpr std::uint32_t kRecordSends = 6;
constexpr std::size_t kMaxRumors = 512;
constexpr std::size_t kMaxRumorIdBytes = 64;
constexpr std::size_t kMaxRumorBodyBytes = 128;
constexpr std::chrono::milliseconds kMaxRumorLifetime = 600'000ms;
constexpr std::size_t kMaxDigestBytes = 256;
/// A digest goes with so many messages after it changed, then with every
/// kDigestEvery-th.
constexpr std::uint32_t kDigestSends = 8;
constexpr std::uint64_t kDigestEvery = 8;
/// A changed digest is urgent news at most so often.
constexpr std::chrono::milliseconds kDigestUrgentEvery = 30'000ms;
/// Entries of one kind that are read from one message.
constexpr std::size_t kMaxEntriesRead = 64;
constexpr std::size_t kKeptLists = 4;
constexpr std::size_t kMaxListBytes = 1u << 20;
constexpr std::size_t kMaxPendingOffers = 64;
constexpr std::size_t kMaxPendingDigests = 64;
constexpr std::chrono::milliseconds kSkipFailedPeer = 10'000ms;
/// Rounds of urgent news that a VM may begin per second, and at once.
constexpr double kUrgentRoundsPerSecond = 0.1;
constexpr double kUrgentBurst = 8;
/// Share of the distance to the own figure that an average gives up a second.
constexpr double kAverageLeakPerSecond = 0.01;

// ctl
constexpr std::chrono::milliseconds kOperatorCallTimeout = 5'000ms;
constexpr std::size_t kMaxOperatorAnswerBytes = 64u << 20;
constexpr std::uint64_t kMaxWatchSeconds = 86'400;
constexpr std::uint64_t kMaxAuditLimit = 1'000'000;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONFIG_H
