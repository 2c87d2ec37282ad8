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
constexpr std::size_t kMaxJsonDepth = 64; // nested levels

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
constexpr std::chrono::milliseconds kLoadReportTimeout = 1'000ms;
constexpr std::chrono::milliseconds kPrefillTimeout = 30'000ms;
constexpr std::chrono::milliseconds kPullTimeout = 2'000ms;
/// A check whether an engine crashed is repeated if its connection breaks.
constexpr std::chrono::milliseconds kEngineCheckInterval = 20ms;
constexpr std::uint32_t kMaxEngineChecks = 5;
constexpr std::chrono::milliseconds kWorkerTick = 20ms;
constexpr std::chrono::milliseconds kWorkerReportPeriod = 500ms;
/// Time after the begin of a planned stop for which requests are still
/// accepted.
constexpr std::chrono::milliseconds kDrainGrace = 1'000ms;
constexpr std::chrono::milliseconds kSuspectRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kOverloadRetryAfter = 1'000ms;
constexpr std::chrono::milliseconds kPlainRetryAfter = 500ms;
/// Time without new calls to a plain server after a failed call.
constexpr std::chrono::milliseconds kPlainBackOff = 100ms;
/// Time for which an answer's x-leaving header marks its server as leaving.
constexpr std::chrono::milliseconds kLeavingHeaderLifetime = 10'000ms;
constexpr std::chrono::milliseconds kMinPlainTimeout = 1ms;
constexpr std::chrono::milliseconds kForwardTimeout = 30'000ms;
constexpr std::chrono::milliseconds kShutdownRetryAfter = 200ms;
constexpr std::uint32_t kMaxPlainBackOffDoublings = 6; // of kPlainBackOff
/// Further decode engines that an attempt tries after a refused claim.
constexpr std::uint32_t kMaxDecodeMoves = 3;
/// Consecutive failed load reports after which an engine counts as down.
constexpr std::uint32_t kFailedPollsForDown = 2;
constexpr std::size_t kMaxVerifiedKeys = 4'096;
constexpr std::size_t kMaxCancelsAtOnce = 64;
constexpr std::size_t kMaxListedRequests = 200;
/// Bound for a digest that VMs send in calls about suspects. Digests in gossip
/// have the smaller bound kMaxDigestBytes.
constexpr std::size_t kMaxSuspectDigestBytes = 65'536;
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
/// Load reports requested per second, over all engines.
constexpr std::size_t kLoadPollsPerSecond = 16;
/// Number of calls that is added to a plain server's running calls if the
/// server is in another region, when servers are compared.
constexpr double kOtherRegionPenaltyCalls = 2.0;
/// Share of the first-token target that a request may wait for placement.
constexpr double kMaxQueueTimeShare = 0.5;

// ledger
/// Time within which a stream that no VM needs any more is cancelled.
constexpr std::chrono::milliseconds kMaxOrphanedStreamAge = 5'000ms;
constexpr std::size_t kMaxResumeTokenBytes = 1'024;
constexpr std::uint64_t kMaxStreamPosition = 1u << 30;
constexpr std::size_t kMaxTicketBytes = 512;
/// Interval of checks of a ticket whose call still runs after its expiry.
constexpr std::chrono::milliseconds kTicketRecheckInterval = 1'000ms;
/// Maximum remaining lifetime of a ticket that is taken over.
constexpr std::chrono::hours kMaxTicketLifetime{ 24 };

// route
/// Consecutive broken attempts after which an upstream is ejected for a while.
constexpr std::uint32_t kConsecutiveBreaksForEjection = 2;
constexpr std::chrono::milliseconds kFirstEjection = 500ms;
constexpr std::uint32_t kMaxEjectionDoublings = 3; // of kFirstEjection
/// Time for which the trial request of an ejected upstream is the only one.
constexpr std::chrono::milliseconds kTrialTime = 1'000ms;
/// Age from which a reported load is ignored.
constexpr std::chrono::milliseconds kMaxLoadAge = 500ms;
constexpr std::chrono::milliseconds kFailureHalfLife = 2'000ms;
constexpr double kFailureSampleWeight = 0.2; // of the newest request
/// Failure share up to which upstreams count as equally healthy.
constexpr double kToleratedFailureShare = 0.25;
constexpr double kFailureCost = 4.0; // per share above the tolerated one
/// Added for upstreams that are used only if no other is left.
constexpr double kRemovedEntryCost = 1'000;
constexpr double kEjectedCost = 1'000'000;
/// Time after a refusal for which kRefusalCost is added.
constexpr std::chrono::milliseconds kRecentRefusalTime = 300ms;
constexpr double kRefusalCost = 1.0;
/// Costs of distance, in units of an upstream's utilisation.
constexpr double kSameRegionCost = 0.1;
constexpr double kOtherRegionCost = 0.3;
/// Additional weight of utilisation above 1, at which requests wait.
constexpr double kWaitingCost = 3.0;
/// Prompts that a prefill engine processes at once without delaying each other
/// beyond a usual latency target.
constexpr double kPrefillConcurrency = 2.0;
/// Requests of usual size that a decode engine's memory holds.
constexpr double kDecodeConcurrency = 10.0;
/// Upper bound of the random part of the cost, which keeps all VMs from
/// choosing the same upstream at once.
constexpr double kMaxRandomCost = 0.02;
/// Attempts that did not run, after which a request is refused.
constexpr std::uint32_t kMaxRefusals = 4;
/// Remaining time below which no further attempt is made.
constexpr std::chrono::milliseconds kMinAttemptTime = 60ms;
/// Share of the retry budget's slack that is used, because a VM may misjudge
/// the number of VMs that share it.
constexpr double kRetrySlackShare = 0.7;
/// Time for which removals of directory items are kept.
constexpr std::chrono::milliseconds kRemovalRetention = 60'000ms;
/// Time since the last contact for which a peer counts as live.
constexpr std::chrono::milliseconds kPeerLiveTime = 6'000ms;
/// Time since the last contact for which a peer that is no seed is kept.
constexpr std::chrono::milliseconds kPeerRetention = 60'000ms;
/// Time for which a peer isn't called after a failed call.
constexpr std::chrono::milliseconds kFailedPeerPause = 2'000ms;

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
/// Timeout of a prefill: the base plus the factor times the expected duration.
/// A prompt at an engine that doesn't respond is then processed elsewhere
/// within a usual latency target, and one that only waits longer isn't
/// processed twice.
constexpr std::chrono::milliseconds kPrefillTimeoutBase = 350ms;
constexpr int kPrefillTimeoutFactor = 2;
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
/// Speeds of the engines that the users describe, to compare the work of the
/// two roles: prompt tokens that a prefill engine processes in a millisecond,
/// and the time of a decode step, which generates one token for each running
/// request: a fixed part and a part for each request.
constexpr double kTypicalPromptTokensPerMs = 55.0;
constexpr std::chrono::duration<double, std::milli> kTypicalDecodeStep{ 3.4 };
constexpr std::chrono::duration<double, std::milli>
  kTypicalDecodeStepPerRequest{ 0.1 };
/// Prefill engines relative to the number that would always be busy: prompts
/// arrive at random, and each one that waits makes a first token late.
constexpr double kPrefillHeadroom = 1.15;
/// With two, one may be lost.
constexpr std::size_t kMinPrefillEngines = 2;
/// Expected waits of prompts at prefill engines above which some requests skip
/// them, and from which all do. A decode engine takes about 200 ms longer to
/// process a prompt, and the target for a first token is 900 ms.
constexpr std::chrono::milliseconds kSkipSomePrefillsDelay = 150ms;
constexpr std::chrono::milliseconds kSkipAllPrefillsDelay = 500ms;
constexpr std::chrono::milliseconds kPrefillDelayHalfLife = 1'000ms;
constexpr double kPrefillDelaySampleWeight = 0.4; // of the newest prefill
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
/// Time for which an upstream is kept after its entry was removed.
constexpr std::chrono::milliseconds kRemovedEntryGrace = 1'000ms;
/// The same where many entries of a service were removed together.
constexpr std::chrono::milliseconds kMassRemovalGrace = 4'000ms;
/// Share of a service's entries from which their removal at one time counts as
/// a mass removal.
constexpr double kMinMassRemovalShare = 0.5;
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
/// The revision of a fleet text is the upper 32 bits of a fencing number.
constexpr std::uint64_t kMaxRevision = 0xffff'ffffu;
/// Hexadecimal digits of a SHA-256 hash.
constexpr std::size_t kKeyHashHexDigits = 64;

// placement
/// Time without new work for an engine that refused some.
constexpr std::chrono::milliseconds kRefusalBackOff = 50ms;
/// Time until an engine that came up again takes its whole share of requests.
constexpr std::chrono::milliseconds kSlowStartTime = 4'000ms;
constexpr double kMinSlowStartShare = 0.05; // of an engine's full share
/// Time for which ended work is kept to correct reports measured before its
/// end. It bounds the list of an engine that no longer reports.
constexpr std::chrono::milliseconds kEndedWorkLifetime = 5'000ms;
constexpr std::chrono::seconds kPrefixHintLifetime = 120s;
constexpr std::size_t kMaxPrefixHints = 131'072;
constexpr std::size_t kMaxEnginesPerPrefix = 8;
/// Largest pool, in engines, of which every engine is weighed.
constexpr std::size_t kMaxFullyWeighedPool = 128;
/// Engines of a larger pool that are weighed, chosen at random.
constexpr std::size_t kSampledEngines = 32;
/// Candidates of each role and region that are combined into pairs.
constexpr std::size_t kMaxCandidatesPerRegion = 3;
constexpr std::size_t kMaxAlternatives = 8;
/// Growth of a decode step for each further request in the batch, as a share
/// of the step of one request.
constexpr double kDecodeStepGrowth = 0.05;
/// Output tokens that a running request is expected to have left.
constexpr double kTypicalOutputTokens = 200;
/// Decode margin, in requests, from which a claim is taken to be safe.
constexpr double kRiskFreeMargin = 3;
/// Smallest goodput weight that costs are scaled by, as a share of the sum of
/// the weights.
constexpr double kMinGoodputWeightShare = 0.01;
/// Cost in seconds of a decode step that is twice as long as in a batch of one.
constexpr double kSlowdownPenalty = 0.02;
/// Decode steps until the first token is sent.
constexpr double kFirstTokenSteps = 1.5;
/// Bound on the age of load reports in estimates of other VMs' work.
constexpr std::chrono::milliseconds kMaxReportAge = 500ms;
/// Factor on the estimate of what other VMs sent during a report's age.
constexpr double kStaleReportFactor = 4;
/// Smallest weight of a decode engine in a random choice, in requests.
constexpr double kMinDecodeMargin = 0.05;
/// Time constant of the decay of this VM's demand for a model.
constexpr std::chrono::milliseconds kOwnDemandDecayTime = 5'000ms;
/// Cost in seconds of each second of prefill that is expected to be wasted.
constexpr double kWastePenalty = 1.0;
/// Seconds added to the prefill time in the cost of waste.
constexpr double kWasteBase = 0.02;
/// Cost in seconds of each price unit that cross-region bytes are billed.
constexpr double kCrossRegionPenalty = 1.0;
/// Seconds of cost by which pairs may differ and still count as equal.
constexpr double kNearEqualCost = 0.01;
/// Seconds taken off the cost of the engine that a prefix hashes to.
constexpr double kRendezvousBonus = 0.05;
/// Risk of a refused claim from which memory is claimed before the prefill.
constexpr double kClaimFirstRisk = 0.3;
/// Time before the predicted end of a prefill at which memory is claimed.
constexpr std::chrono::microseconds kClaimLead = 20ms;
constexpr std::chrono::milliseconds kNoEngineRetryAfter = 1'000ms;
/// Shortest time that a placement or a caller limit refuses for.
constexpr std::chrono::milliseconds kMinRetryAfter = 200ms;
/// Longest time that a placement refuses for.
constexpr std::chrono::milliseconds kMaxRetryAfter = 10'000ms;
/// Time after its break at which a resumed stream is placed even if it misses
/// its targets. Each stream adds a part of kResumeForceSpread, so that streams
/// that broke together are not all placed at once.
constexpr std::chrono::milliseconds kResumeForceAfter = 10'000ms;
constexpr std::chrono::milliseconds kResumeForceSpread = 20'000ms;
constexpr std::uint64_t kResumeForceSpreadParts = 64;
constexpr std::chrono::milliseconds kQueueFullRetryAfter = 1'000ms;
constexpr double kMinCallerShare = 0.01; // weight in the fair queue
/// Cost of one output token, in tokens of prefill work.
constexpr double kOutputTokenCost = 4.0;
/// Tokens that a lower priority earns for each token served at a higher one.
constexpr double kLowPriorityShare = 0.1;
/// Longest time that a caller limit refuses for.
constexpr std::chrono::milliseconds kMaxLimitRetryAfter = 60'000ms;
/// Time constant of the decay of a caller's demand.
constexpr std::chrono::milliseconds kCallerDemandDecayTime = 4'000ms;
/// Age up to which demand figures of other VMs are used.
constexpr std::chrono::milliseconds kPeerDemandLifetime = 3'000ms;
/// Part of a caller's limit that is divided equally among the VMs, as if each
/// had that demand.
constexpr double kBaseDemandShare = 0.01;

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
