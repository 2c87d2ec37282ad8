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
/// Connections of callers that are taken for one request each while there is no
/// room for lasting ones, and the time that each has for it.
constexpr std::size_t kBriefConnections = 64;
constexpr std::chrono::milliseconds kBriefConnectionTime = 1'000ms;
/// Most bytes of early further requests that are dropped during an answer.
constexpr std::size_t kMaxEarlyBytes = 256u << 10;
/// Time that a refused request's remaining body is read and dropped, so that
/// the refusal reaches its sender.
constexpr std::chrono::milliseconds kLingerTime = 1'000ms;
constexpr std::size_t kMaxEventBytes = 1u << 20;
/// Bytes read from a raw stream at once, on the stack.
constexpr std::size_t kStreamReadBytes = 16u << 10;
/// The same while there is little room: heads of usual size fit.
constexpr std::size_t kShortReadBytes = 2u << 10;
/// Memory that a raw stream keeps for its next writes once all is sent.
constexpr std::size_t kKeptQueueBytes = 4u << 10;
/// Connections that wait to be accepted.
constexpr int kListenBacklog = 512;
/// Connections accepted in one turn of the loop.
constexpr std::size_t kAcceptsPerTurn = 64;

// engines
constexpr std::uint32_t kKvPieceTokens = 2'000;

// organisations
/// From the end of a proof to the latest time at which a withdrawn key may
/// work: for requests that were judged but not yet sent to an upstream.
constexpr std::chrono::milliseconds kRevokeMargin = 500ms;
/// A key that isn't in a configuration whose proof is older may be a new one.
/// Share of the time in which changes must be in force; the rest is for
/// requests that are under way.
constexpr double kKeyListAgeShare = 0.75;
/// Peers are asked for a newer proof after this share of the revocation time.
constexpr int kPeerProofShare = 3;
/// After a VM learns of a new era it asks peers for a configuration that the
/// source has lost: some ten calls, which one of two VMs would answer.
constexpr std::chrono::milliseconds kEraSettleTime = 2'000ms;
/// After a failed refresh the source's regular read gets its turn: up to 0.8 s
/// until its next watch, which waits up to 2.5 s for the answer's head.
constexpr std::chrono::milliseconds kFailedRefreshPause = 3'500ms;
/// Peers asked for a proof at once, and calls to them under way.
constexpr std::size_t kProofCallsPerTick = 2;
constexpr std::size_t kMaxProofCalls = 6;
/// Callers come back when a proof has probably arrived.
constexpr std::chrono::milliseconds kNoProofRetryAfter = 1'000ms;

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
/// Time in which a coordinator must answer a call about suspects.
constexpr std::chrono::milliseconds kSuspectTimeout = 500ms;
constexpr std::chrono::milliseconds kPeerTimeout = 2'000ms;
/// Time that the platform has for its answer in addition to the wait of a
/// watch.
constexpr std::chrono::milliseconds kPlatformAnswerTimeout = 5'000ms;
constexpr std::chrono::milliseconds kPlatformTick = 100ms;
constexpr std::chrono::milliseconds kGossipTick = 100ms;
constexpr std::chrono::milliseconds kSweepTick = 500ms;
/// Time between two calls that check whether a VM with streams answers.
constexpr std::chrono::milliseconds kSweepPingPeriod = 1'000ms;
constexpr std::chrono::milliseconds kOrderTick = 500ms;
/// Time between two calls of OrderGuard::Heartbeat().
constexpr std::chrono::milliseconds kOrderGuardBeatPeriod = 200ms;
constexpr std::chrono::milliseconds kLeavingRumorLifetime = 60'000ms;
/// Lifetime and repetition of the rumor that a service is settled.
constexpr std::chrono::milliseconds kSettledRumorLifetime = 60'000ms;
constexpr std::chrono::milliseconds kSettledSpreadPeriod = 20'000ms;
/// Lifetime of the rumor that a VM has taken over used tickets.
constexpr std::chrono::milliseconds kSuccessionRumorLifetime = 600'000ms;
/// Engines that are swept in one turn.
constexpr std::size_t kMaxSweepsPerTick = 4;
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

// capacity
/// Halving of what was learnt of an upstream; neighbours on its machine change
/// within a second, the machine doesn't.
constexpr std::chrono::milliseconds kPaceHalfLife = 60'000ms;
constexpr std::chrono::milliseconds kRecentPaceHalfLife = 400ms;
/// Answers that the lasting slowness averages, and those that a slowness of 1
/// counts for at first.
constexpr double kMaxPaceWeight = 10;
constexpr double kPriorPaceWeight = 2;
/// Answers from which the lasting slowness is steady enough to learn a limit.
constexpr double kSteadyPaceWeight = 5;
constexpr double kMinPaceGain = 0.1;    // of what an upstream tells
constexpr double kRecentPaceGain = 0.4; // of the newest answer
/// Factor within which one answer counts: pauses of this VM and preemptions
/// make some take much longer.
constexpr double kMaxPaceStep = 3;
constexpr double kMaxSlowness = 5;
/// Factor by which what an upstream tells moves its slowness at most.
constexpr double kMaxToldFactor = 1.5;
constexpr std::uint32_t kMaxNormSamples = 50;
/// Share of the limit from which times tell of it, and the factor by which
/// they grow there.
constexpr double kMinLimitLoad = 0.75;
constexpr double kStretchedTime = 1.3;
constexpr double kLimitGain = 0.1;
constexpr double kMaxLimitFactor = 2;
/// Halving of a told load. Loads come late, so they are smoothed: VMs that
/// followed each one at once would move their requests to and fro.
constexpr std::chrono::milliseconds kLoadHalfLife = 1'500ms;
constexpr double kMinLoadGain = 0.2;
/// Scale of the cost by pace and of its random part, beside the cost of
/// distance: of equal upstreams, one in another region gets e^-3 as much.
constexpr double kPaceCostScale = 0.1;
/// Powers of e by which an upstream's share falls with its slowness and use;
/// with more for used ones, VMs that get loads 0.9 s late swing
/// (pace_model_test).
constexpr double kSlownessCost = 2;
constexpr double kUsedCost = 1;
constexpr double kOverusedCost = 1;
/// Added for this VM's own requests, which are known without delay.
constexpr double kOwnUsedCost = 3;
/// Factor by which lasting slowness changes until the next log line.
constexpr double kLoggedPaceChange = 1.5;
/// Upstreams whose pace the metrics show.
constexpr std::size_t kMaxPaceMetrics = 200;
/// Kinds of work whose usual time is kept.
constexpr std::size_t kMaxServicePaces = 256;
constexpr std::chrono::milliseconds kServicePaceRetention = 60'000ms;

// relays
/// Upstreams that must leave attempts without an answer for this VM's links to
/// count as cut: all that are known, within these bounds.
constexpr std::size_t kMinUnansweredUpstreams = 2;
constexpr std::size_t kSurelyUnansweredUpstreams = 3;
/// The time in which they do.
constexpr std::chrono::milliseconds kLinkEvidenceTime = 3'000ms;
/// Time for which links count as cut after the last unanswered attempt.
constexpr std::chrono::milliseconds kLinkCutTime = 10'000ms;
/// While the links are cut, one request in this time tries an upstream.
constexpr std::chrono::milliseconds kLinkTrialPeriod = 500ms;
/// Time since an answer for which a VM tells others that it reaches a service.
constexpr std::chrono::milliseconds kServiceReachTime = 5'000ms;
constexpr std::chrono::milliseconds kRelayOfferLifetime = 6'000ms;
/// VMs that one request may be passed to.
constexpr std::uint32_t kMaxRelays = 2;
/// Requests of this VM that another one serves beside its own without delay.
constexpr double kRelayConcurrency = 8;
/// Added for VMs that haven't said that they reach the service.
constexpr double kUnconfirmedRelayCost = 100;
/// Services that one message of gossip names as reached.
constexpr std::size_t kMaxReachedServices = 256;
/// Bytes by which the head of a request from another VM may exceed the limit
/// for callers.
constexpr std::size_t kRelayHeadMargin = 1'024;
/// Idle timeout of connections from other VMs. Above kDefaultIdleTime, for
/// which these keep them.
constexpr std::chrono::milliseconds kRelayIdleTimeout = 6'000ms;

// router
/// A connection to an upstream is broken off if bytes sent on it stay
/// unacknowledged for this time.
constexpr std::chrono::milliseconds kUpstreamAckTimeout = 3'000ms;
constexpr std::chrono::milliseconds kConnectTimeout = 250ms;
/// A head that waited for its connection for longer is written anew, with the
/// time left by then.
constexpr std::chrono::milliseconds kMaxDeadlineAge = 50ms;
constexpr std::size_t kMaxAnswerHeadBytes = 64u << 10;
/// Lifetime of an idle connection whose upstream doesn't state its own timeout.
constexpr std::chrono::milliseconds kDefaultIdleTime = 4'000ms;
/// Upper bound of the timeout that an upstream states itself.
constexpr std::chrono::seconds kMaxIdleTime = 60s;
/// Idle connections are closed this long before the upstream's own timeout.
constexpr std::chrono::milliseconds kIdleMargin = 700ms;
/// A connection isn't read on while so many bytes that were sent ahead wait;
/// one read of kStreamReadBytes more may be held.
constexpr std::size_t kMaxPipelinedBytes = 64u << 10;
/// A connection's next request isn't begun while more bytes of its earlier
/// answers are unread. A caller that reads one answer after the other meets it
/// never.
constexpr std::size_t kMaxUnreadAnswerBytes = 64u << 10;
constexpr std::chrono::milliseconds kBodyBufferFullRetryAfter = 500ms;
/// Retry-After of a request whose answer would find no room. What makes no
/// progress gives its room up after kMaxIntakeStall.
constexpr std::chrono::milliseconds kNoRoomRetryAfter = 500ms;
/// A caller's connection is broken off if bytes sent on it stay unacknowledged
/// for this time.
constexpr std::chrono::milliseconds kCallerAckTimeout = 15'000ms;
/// Answers up to this size are held until they are complete.
constexpr std::size_t kMaxHeldAnswerBytes = 256u << 10;
/// Longest time from the head to the end of an answer after which the request
/// is sent to another upstream: its body, which may have no end, isn't needed.
constexpr std::chrono::milliseconds kMaxUnusedBodyTime = 250ms;
/// Bytes queued for a caller above which its upstream isn't read.
constexpr std::size_t kMaxCallerQueueBytes = 128u << 10;
/// An upstream that has answered no request for this time after one was sent
/// gets no other requests.
constexpr std::chrono::milliseconds kNoResponseTimeout = 300ms;
/// Shortest time that a repeatable request waits for an answer's head before
/// it is sent to another upstream, too.
constexpr std::chrono::milliseconds kMinAnswerHeadTimeout = 250ms;
/// A prefill times out after this time plus kPrefillTimeoutFactor times its
/// expected duration, which includes the expected wait at prefill engines. A
/// prompt sent to an engine that has stopped responding is then processed
/// elsewhere within a usual latency target, and a prompt that only waits longer
/// isn't processed twice.
constexpr std::chrono::milliseconds kPrefillTimeoutBase = 350ms;
constexpr int kPrefillTimeoutFactor = 2;
/// A stream without a first event in this time goes to another engine, if one
/// has memory for it. Until then an engine that has preempted it still serves
/// it sooner than one that processes the prompt anew.
constexpr std::chrono::milliseconds kFirstEventTimeout = 1'500ms;
/// The same as kNoResponseTimeout, for engines.
constexpr std::chrono::milliseconds kEngineNoResponseTimeout = 700ms;
/// Pause in a stream after which it is resumed at another engine, if one has
/// memory for it.
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
/// Grants of engine memory to the most urgent requests, after which one is owed
/// to a less urgent one. A fifth of the memory keeps the least urgent kind of
/// requests above a quarter of the mean share served.
constexpr std::uint32_t kUrgentGrantsInTurn = 4;
/// Mean outputs for which an engine must have room beside a prompt. One is what
/// its requests generate on average until one of them ends; the rest is for
/// outputs that end unevenly.
constexpr double kGrowthOutputs = 1.25;
/// Mean outputs that are reserved in addition for a request that can't meet its
/// latency target any more, so that room is left for requests that can: the
/// prompt and some output of one more request, at 5,200 and 780 tokens.
constexpr double kLateRequestExtraOutputs = 7.7;
/// Requests for which the mean output in the settings stands.
constexpr double kTypicalOutputWeight = 20;
/// Requests from which a mean output is known.
constexpr double kMinOutputWeight = 5;
/// Time in which requests lose half of their weight in the mean output.
constexpr std::chrono::milliseconds kOutputHalfLife = 60'000ms;
/// Share of an engine's memory that one request reserves at most, unless its
/// prompt alone is larger: more isn't free while others run.
constexpr double kMaxReservedShare = 0.75;
/// While no mean output is known: tokens for which an engine must have room
/// beside the prompt, for each of its requests, and at least over all.
constexpr double kGrowthTokensPerRequest = 90;
constexpr double kMinGrowthTokens = 800;
/// The same for kLateRequestExtraOutputs.
constexpr std::uint32_t kLateRequestExtraTokens = 6'000;
/// Prompt tokens that a prefill engine processes in a millisecond, and the time
/// in which a decode engine generates one token for each of its requests. They
/// are values of the engines that the users describe, and serve to compare the
/// work of the two roles.
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
/// Smallest number of VMs assumed in each failure domain, whether or not other
/// VMs are known.
constexpr std::size_t kAssumedVmsPerDomain = 3;
/// Period of the router's housekeeping: gossip, expired entries, readiness.
constexpr std::chrono::milliseconds kRouterTick = 500ms;
/// The same during a planned stop.
constexpr std::chrono::milliseconds kLeavingTick = 100ms;
/// Delay of the router's periodic work from which it is logged.
constexpr std::chrono::milliseconds kLongLoopDelay = 100ms;
constexpr std::chrono::milliseconds kGossipPeriod = 1'000ms;
/// Other VMs that keep a stream's origin.
constexpr std::size_t kOriginReplicas = 4;
/// Other VMs that are asked for a stream's origin: more than kOriginReplicas,
/// since VMs may know different peers.
constexpr std::size_t kOriginLookups = 8;
/// Time after which a stream's origin is taken for unknown: several round trips
/// between regions.
constexpr std::chrono::milliseconds kOriginLookupTimeout = 300ms;
/// Time for which a stream may still be continued: longer than callers wait.
/// Its origin is kept that long, and so are the capacities of software
/// versions.
constexpr std::chrono::milliseconds kOriginLifetime = 120'000ms;
/// Longest time that a VM claims to remember all streams of.
constexpr std::chrono::hours kMaxCompleteTime{ 24 };
/// Waits of callers that begin within this time are not told apart.
constexpr std::chrono::milliseconds kWaitPrecision = 1'000ms;
/// Time for which a sound upstream may be silent and then go on.
constexpr std::chrono::milliseconds kMaxSoundSilence = 3'000ms;
/// Period in which another upstream is looked for in place of a silent one.
constexpr std::chrono::milliseconds kSilenceSearchPeriod = 500ms;
/// Time by which a VM's view of the published upstreams may be late when it
/// begins a stream: a few gossip periods, if the directory's source is cut off.
constexpr std::chrono::milliseconds kMaxUpstreamViewAge = 4'000ms;
/// Shortest time from one read of the source's history to the next: a read
/// takes several calls, and many callers continue their streams at once.
constexpr std::chrono::milliseconds kMinHistoryInterval = 1'000ms;
/// Most changes that may be missing in a history: each may be the removal of an
/// upstream of any version, so that more leave no version certain.
constexpr std::size_t kMaxMissingChanges = 32;
/// Longest time from one report of an upstream to the next, in heartbeats: they
/// are sent approximately at that period.
constexpr double kMaxHeartbeatStretch = 1.1;
/// Difference between the times of day of a VM and an upstream, at most: they
/// are close to the true time, and may be set while they run.
constexpr std::chrono::milliseconds kMaxClockError = 2'000ms;
/// A stream's version isn't found from the capacities of versions if the
/// directory's source has been silent for this time: more than one watch.
constexpr std::chrono::milliseconds kMaxSourceSilence = 3'000ms;
/// Crashed upstreams under which a trait of requests must have run to be
/// refused.
constexpr std::uint32_t kConvictingCrashes = 3;
/// The same where runs with the trait had brought events for a time.
constexpr std::uint32_t kConvictingLateCrashes = 5;
/// A stream that has brought events for less than this time is only starting.
constexpr std::chrono::milliseconds kRunStartTime = 250ms;
/// Time after which requests that share a part are tried again, if only streams
/// that had brought events speak against it. It doubles with each such trial.
constexpr std::chrono::milliseconds kLateConvictionLifetime = 60'000ms;
/// Time between two notes that a stream goes on.
constexpr std::chrono::milliseconds kSurvivalPeriod = 1'000ms;
/// Time for which a crash, or a whole answer, counts as evidence.
constexpr std::chrono::milliseconds kCrashEvidenceLifetime = 120'000ms;
/// Time for which requests that crash upstreams are refused. Then one is tried
/// again, as the upstreams may have been mended.
constexpr std::chrono::milliseconds kConvictionLifetime = 600'000ms;
/// Time for which the broken runs of one upstream are collected into one report
/// to the other VMs.
constexpr std::chrono::milliseconds kCrashReportDelay = 10ms;
/// How often a report is sent to a VM that doesn't answer, and the pause
/// between two tries.
constexpr std::uint32_t kCrashReportTries = 3;
constexpr std::chrono::milliseconds kCrashReportRetryDelay = 300ms;
/// With at most this many other VMs each gets a call of its own for each
/// report. With more, reports go on from VM to VM.
constexpr std::size_t kMaxDirectReportPeers = 16;
/// VMs that a report is passed on to in a round, the time from one round to the
/// next, and the rounds in which a VM passes a report on. report_spread_test
/// shows that 360 VMs have it in time.
constexpr std::size_t kReportFanout = 3;
constexpr std::chrono::milliseconds kReportRoundPeriod = 200ms;
constexpr std::uint32_t kRoundsPerReport = 4;
/// Reports in one call, and reports that wait for their rounds; then the oldest
/// is dropped.
constexpr std::size_t kMaxReportsPerRound = 128;
constexpr std::size_t kMaxWaitingReports = 1'024;
/// Time for which a report is known, so that it isn't passed on again.
constexpr std::chrono::milliseconds kReportMemory = 30'000ms;
constexpr std::size_t kMaxReportIdBytes = 256;
constexpr const char* kReportSpreadMethod = "reports";
constexpr std::size_t kMaxCrashDigestBytes = 4'096;
constexpr const char* kCrashReportMethod = "suspect";
/// Retry-After of a request that is refused since requests like it crash
/// upstreams.
constexpr std::chrono::milliseconds kQuarantineRetryAfter = 60'000ms;
/// Time for which the last word of an upstream on its limit is kept.
constexpr std::chrono::milliseconds kLimitLifetime = 120'000ms;
/// Smallest limit that is applied, in requests a second. A limit of 0 would
/// otherwise never be seen to end.
constexpr double kMinUpstreamLimit = 0.1;
constexpr double kMaxUpstreamLimit = 1e6; // requests a second
/// Limits of upstreams in one gossip message.
constexpr std::size_t kMaxGossipedLimits = 256;
/// Permits of an upstream that may be saved up: those of one request, and those
/// that become available in this time.
constexpr std::chrono::milliseconds kPermitBurstTime = 250ms;
/// Most sends for which one request takes its permits together: a reservation,
/// and then its run or its release.
constexpr std::uint32_t kMaxPermitSends = 2;
/// Time after a start, or a pause of the process, in which no permits are
/// issued: gossip tells all VMs of this one meanwhile.
constexpr std::chrono::milliseconds kPermitHoldOff = 3'000ms;
/// Bounds on the time for which a VM doesn't ask for permits again. At the
/// upper one, 360 VMs make 72 calls a second.
constexpr std::chrono::milliseconds kMinPermitPause = 50ms;
constexpr std::chrono::milliseconds kMaxPermitPause = 5'000ms;
/// Part of the time until a VM's turn after which it asks again. Less than the
/// whole, as a VM may have no request to send at its turn.
constexpr double kPermitPauseShare = 0.5;
/// Longest Retry-After for want of a permit.
constexpr std::chrono::milliseconds kMaxPermitRetryAfter = 60'000ms;
/// Time after which a VM that issues permits is taken not to answer: several
/// round trips between regions.
constexpr std::chrono::milliseconds kPermitTimeout = 150ms;
/// Time for which a VM that didn't answer isn't asked for permits, the first
/// time.
constexpr std::chrono::milliseconds kPermitFailurePause = 50ms;
constexpr std::uint32_t kMaxPermitFailureDoublings = 4; // of it
constexpr const char* kPermitMethod = "permits";

// limits of organisations

/// Time in which leased units may be used: more than a VM's time between asks,
/// and short, as leases add to what may run in a window.
constexpr std::chrono::milliseconds kGrantLease = 1'500ms;
/// Units that were granted longer ago than two of these have been used: a lease
/// is reported a tick or two after its end.
constexpr std::chrono::milliseconds kGrantReturnTime = 2 * kGrantLease;
/// A VM leases what it expects to need in this time.
constexpr std::chrono::milliseconds kGrantAheadTime = 800ms;
/// It leases ahead if at least so many requests are expected in that time.
constexpr double kMinGrantAheadRequests = 2;
/// It asks again once less than this part of that is left.
constexpr double kGrantRenewShare = 0.35;
/// A VM's lease ahead is at most this part of what the bucket holds beyond its
/// reserve, which is for requests that wait.
constexpr double kMaxGrantAheadShare = 0.25;
constexpr double kGrantReserveShare = 0.3; // of the burst
/// Time constant of a VM's recent demand.
constexpr std::chrono::milliseconds kGrantDemandTime = 2'000ms;
/// A VM without demand for this time gives a share back that is at least so
/// large.
constexpr std::chrono::milliseconds kGrantQuietTime = 1'500ms;
constexpr double kMinReturnedGrantShare = 0.02;
/// Time constant of the demand by which shares of a limit are told.
constexpr std::chrono::milliseconds kGrantShareDemandTime = 6'000ms;
/// Time for which a VM may use its last told share: until other VMs have a new
/// owner (kPeerLiveTime), and some gossip.
constexpr std::chrono::milliseconds kGrantShareTime = 8'000ms;
/// Sum of the shares that one owner tells.
constexpr double kMaxGrantShares = 1;
/// Part of the limit that VMs out of touch may use before the owner issues less
/// for them: within the overage that limits allow.
constexpr double kUnreservedGrantShare = 0.15;
/// Sum of the parts of a limit that owners in a partition use.
constexpr double kMaxGrantPartsSum = 1.12;
/// Most of the limit that an owner holds back for VMs out of touch.
constexpr double kMaxReservedGrantShare = 0.8;
/// An owner takes a VM to be out of touch after this time and so many times its
/// usual time between asks.
constexpr std::chrono::milliseconds kGrantSilence = 1'000ms;
constexpr double kGrantSilenceIntervals = 4;
/// Bounds on what a new owner begins with, as shares of a bucket's burst and of
/// a second of its rate: less than the overage in a window.
constexpr double kNewOwnerBurstShare = 0.5;
constexpr double kMaxNewOwnerBurstShare = 0.2;
/// Time after a start, or a pause of the process, in which nothing is issued:
/// gossip tells all VMs of this one meanwhile.
constexpr std::chrono::milliseconds kGrantHoldOff = 1'000ms;
/// Units of tokens that one request may cost beyond the whole burst: about what
/// an engine's memory holds. A larger request can't be served.
constexpr double kMaxGrantOverdraft = 40'000;
/// Bounds on the time for which a VM refuses without asking again.
constexpr std::chrono::milliseconds kMinGrantPause = 20ms;
constexpr std::chrono::milliseconds kMaxGrantPause = 500ms;
/// Longest Retry-After beyond a limit.
constexpr std::chrono::milliseconds kMaxGrantRetryAfter = 60'000ms;
/// Time in which refused requests count as coming back, at most.
constexpr std::chrono::milliseconds kMaxGrantBacklog = 20'000ms;
/// Retry-After is drawn from its time and up to this share more.
constexpr double kGrantRetrySpread = 0.3;
/// Time without asks after which an owner forgets a bucket.
constexpr std::chrono::milliseconds kGrantBucketLifetime = 120'000ms;
/// Time after which an owner is taken not to answer, and tries before that.
constexpr std::chrono::milliseconds kGrantTimeout = 150ms;
constexpr std::uint32_t kMaxGrantTries = 2;
/// Time for which a VM uses its own share before it asks again, the first time.
constexpr std::chrono::milliseconds kGrantAlonePause = 100ms;
constexpr std::uint32_t kMaxGrantAloneDoublings = 3; // of it
/// Units that a VM alone may save up, in time.
constexpr std::chrono::milliseconds kGrantAloneBurst = 2'000ms;
/// Requests in one ask for an organisation.
constexpr std::size_t kMaxGrantRequests = 64;
/// Time for which VMs that were known count towards equal shares.
constexpr std::chrono::minutes kGrantKnownTime{ 10 };
/// Least time between log lines that an organisation is refused, or no more.
constexpr std::chrono::milliseconds kGrantLogPeriod = 1'000ms;
/// Organisations with metrics of their own.
constexpr std::size_t kMaxGrantMetrics = 512;
constexpr const char* kGrantMethod = "grants";
/// Streams whose origins are kept at most.
constexpr std::size_t kMaxOrigins = 50'000;
/// Time for which an upstream whose entry was removed still gets requests that
/// no other upstream can take.
constexpr std::chrono::milliseconds kRemovedEntryGrace = 1'000ms;
/// Time after a disturbance of the directory's source in which upstreams stay
/// usable if many entries of their service are removed: the source has lost
/// the entries, and upstreams that run publish them again.
constexpr std::chrono::milliseconds kMassRemovalGrace = 4'000ms;
/// Stands for an era before the current one, whichever it was.
constexpr std::uint64_t kLostEra = 0;
/// Silence of the directory's source in which entries' leases may run out.
constexpr std::chrono::milliseconds kMinSourceOutage = 3'000ms;
/// Heartbeats of an upstream after whose absence its entry's lease ends.
constexpr int kHeartbeatsPerLease = 3;
/// Added to the lease for the time in which a source that went back in time
/// must go on listing a removed entry until its upstream is used.
constexpr std::chrono::milliseconds kRelistedEntryMargin = 2'000ms;
/// Removed upstreams that are remembered as leaving, at most.
constexpr std::size_t kMaxLeftUpstreams = 1'000;
/// Smallest share of a service's entries whose removal at one time counts as
/// many.
constexpr double kMinMassRemovalShare = 0.5;
/// A planned stop goes on accepting requests for this time, until balancers
/// notice it.
constexpr std::chrono::milliseconds kDrainAcceptTime = 2'800ms;
/// Requests end this long before the time for a planned stop is over.
constexpr std::chrono::milliseconds kDrainMargin = 700ms;
/// After that the process has this time to send the answers of the requests
/// that haven't ended.
constexpr std::chrono::milliseconds kStopAnswerTime = 300ms;
/// Time for which the longest stream of a route is remembered, at least.
constexpr std::chrono::milliseconds kStreamTimesSpan = 30'000ms;
/// Longest time to generate one token, used to estimate whether a stream ends
/// before a planned stop does.
constexpr std::chrono::microseconds kMaxTokenTime = 6'000us;
/// Shortest pause of this process after which the idle connections are taken
/// as out of date and closed.
constexpr std::chrono::milliseconds kMinDetectedPause = 1'000ms;

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
/// Longest time until every VM knows that a VM or upstream is leaving.
constexpr std::chrono::milliseconds kMaxLeavingDelay = 3'000ms;
constexpr std::size_t kMaxFleetTextBytes = 1u << 20;
/// Fleet texts that a VM keeps as bases of differences.
constexpr std::size_t kMaxKeptFleetTexts = 4;
constexpr std::size_t kMaxConflictsKept = 8;
/// Listed peers, or all if there are fewer, whose revision a booting VM must
/// know before it is ready, unless the platform has proved not to be stale.
constexpr std::size_t kMinPeersForReadiness = 2;
/// Time for which a platform answer that proved fresh counts for readiness.
constexpr std::chrono::milliseconds kMaxPlatformFreshAge = 60'000ms;
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
/// Utilisation of a role above which it should get an engine of the other role.
constexpr double kHighUtilisation = 0.85;
/// A role can give an engine to the other role if its remaining engines stay
/// below this utilisation.
constexpr double kSpareUtilisation = 0.7;
/// With both roles below this utilisation, the split of the fleet text is
/// restored.
constexpr double kLowUtilisation = 0.5;
/// Shortest time that the load must call for a change of the split before the
/// split changes.
constexpr std::chrono::milliseconds kMinPressureTime = 30'000ms;
/// Time after a change of the split in which the load doesn't change it again.
constexpr std::chrono::milliseconds kSplitCooldown = 120'000ms;
/// Highest utilisation that taking an engine out of a role may leave there.
constexpr double kMaxUtilisation = 0.9;
/// Oldest engine state on which an order may be based.
constexpr std::chrono::milliseconds kMaxReadbackAge = 10'000ms;
/// Most engines that a new owner reads for the first time in one turn.
constexpr std::size_t kMaxFirstReadsPerTurn = 16;
/// Time between two readings of an engine that is being changed.
constexpr std::chrono::milliseconds kUrgentReadPeriod = 1'000ms;

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
constexpr std::chrono::milliseconds kGossipFailedPeerPause = 10'000ms;
/// Rounds of urgent messages that a VM may start per second, and in a burst.
constexpr double kMaxUrgentRoundsPerSecond = 0.1;
constexpr double kMaxUrgentBurst = 8;
/// Share of the difference between an average and the VM's own value by which
/// the average moves towards that value per second.
constexpr double kAverageLeakPerSecond = 0.01;

// ctl
constexpr std::chrono::milliseconds kOperatorCallTimeout = 5'000ms;
constexpr std::size_t kMaxOperatorAnswerBytes = 64u << 20;
constexpr std::uint64_t kMaxWatchIntervalSeconds = 86'400;
constexpr std::uint64_t kMaxAuditLimit = 1'000'000;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONFIG_H
