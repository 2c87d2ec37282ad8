#ifndef SHALLOTFORD_TOOLS_STANDIN_ENGINE_MODEL_H
#define SHALLOTFORD_TOOLS_STANDIN_ENGINE_MODEL_H

/// A model engine in virtual time: no sockets, clocks or threads. The stand-in
/// engine serves it over HTTP; benches run many of them in one process.
///
/// Usage: call operations with times that never go back, and before each call
/// Advance() to that time. NextEventAt() tells when something happens next.

#include "shallotford/base.h"
#include "shallotford/fleet.h"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotford::standin {

struct EngineModelOptions
{
  EngineRole m_role{ EngineRole::Decode };
  std::string m_model{ "draft" };
  std::string m_version{ "1" };
  std::uint32_t m_batchLimit{ 20 }; ///< imports and running streams together
  std::uint32_t m_kvPieces{ 200 };
  std::uint32_t m_pieceTokens{ 2'000 };
  std::uint32_t m_prefillTokensPerSecond{ 20'000 };
  std::chrono::microseconds m_decodeStep{ 30'000 }; ///< with an empty batch
  /// Added to a step for each running stream.
  std::chrono::microseconds m_decodeStepPerStream{ 500 };
  std::chrono::milliseconds m_exportLifetime{ 900 };
  /// A pull that began keeps its export this long at the most.
  std::chrono::milliseconds m_pullLimit{ 10'000 };
  /// Time after which an import that was not filled is dropped; 0: never.
  std::chrono::milliseconds m_unfilledImportLifetime{ 0 };
  /// Time that a finished stream is held for resume.
  std::chrono::milliseconds m_doneGrace{ 10'000 };
  std::uint32_t m_prefixCachePieces{ 100 };
  std::chrono::milliseconds m_loadLag{ 200 };
  std::chrono::milliseconds m_cacheEventDelay{ 300 };
  double m_cacheEventGapRate{ 0.0 }; ///< share of events that are lost
  double m_refuseImportRate{ 0.0 };  ///< share of imports refused at random
  bool m_checksFencing{ false };
  std::uint64_t m_weightBytes{ 1'000'000'000 };
  std::uint64_t m_weightBytesPerSecond{ 1'000'000'000 };
  /// The owner of this model ends model loads by FinishLoad().
  bool m_externalLoad{ false };
  std::uint64_t m_seed{ 1 };
};

/// Why a claim or a prefill was refused; it was not run.
enum class RefuseReason
{
  Memory,
  Batch,
  Leaving,
  Model,
  Role,
};
/// Returns the wire name, such as "memory".
std::string_view
ToString(RefuseReason aReason);

struct ImportRequest
{
  std::string m_stream;
  std::string m_model;
  std::uint32_t m_promptTokens{};
  std::uint32_t m_maxTokens{};
  std::int32_t m_priority{};
};

struct PrefillRequest
{
  std::string m_stream;
  std::string m_model;
  std::string m_adapter;
  std::string m_promptFingerprint;
  std::vector<std::string> m_prefixes; ///< see PrefixFingerprints()
  std::uint32_t m_promptTokens{};
  std::int32_t m_priority{};    ///< higher goes first
  bool m_crashPrefill{ false }; ///< running it crashes the engine
  bool m_crashDecode{ false };  ///< decoding it crashes the engine
};

/// What a KV transfer carries.
struct KvContent
{
  std::string m_promptFingerprint;
  std::uint32_t m_promptTokens{};
  bool m_crashDecode{ false };
};

struct StreamRequest
{
  std::string m_stream;
  std::string m_import;
  std::uint32_t m_maxTokens{}; ///< tokens to generate from m_start on
  std::uint32_t m_start{};     ///< position of the first token
  std::string m_seedPrompt;    ///< fingerprint of the original prompt, or empty
  std::vector<std::string> m_stop;
};

/// Outcome of a claim or a prefill: a name, or why not.
struct Admission
{
  std::string m_id; ///< import id; empty for prefills
  std::optional<RefuseReason> m_refused;
};

enum class HoldingState
{
  Import,  ///< memory claimed; filled or not
  Prefill, ///< waiting or running
  Export,
  Decode,
  Done, ///< finished and held for resume
};
std::string_view
ToString(HoldingState aState);

/// One stream's claim on this engine.
struct Holding
{
  std::string m_stream;
  HoldingState m_state{ HoldingState::Import };
  std::uint32_t m_pieces{};
  TimePoint m_since;    ///< when it was first held
  TimePoint m_deadline; ///< when it lapses by itself; max if it does not
  std::string m_id;     ///< import or export id
  std::int32_t m_priority{};
  std::uint64_t m_order{}; ///< arrival order
  KvContent m_content;
  // Prefill and export.
  PrefillRequest m_prefill;
  std::uint32_t m_cachedTokens{};
  std::uint32_t m_workTokens{};
  bool m_pulled{ false }; ///< a pull is under way
  // Import and stream.
  bool m_filled{ false };
  bool m_inStep{ false }; ///< takes part in the current decode step
  std::string m_seed;
  std::uint32_t m_start{};
  std::uint32_t m_next{}; ///< position of the next token
  std::uint32_t m_end{};  ///< position after the last token
  std::vector<std::string> m_stop;
  std::string m_finishReason;   ///< set in state Done
  std::uint64_t m_attachment{}; ///< 0: nobody reads it
};

enum class EngineEventKind
{
  PrefillDone,   ///< m_id is the export
  ExportExpired, ///< never pulled
  ImportDropped, ///< unfilled too long
  Token,         ///< m_position was generated
  StreamDone,
  StreamLapsed, ///< a finished stream's grace time ran out
  ModelLoaded,
  Crashed, ///< everything is lost
};

struct EngineEvent
{
  TimePoint m_at{};
  EngineEventKind m_kind{};
  std::string m_stream{};
  std::string m_id{};
  std::uint32_t m_position{};
  std::uint32_t m_cachedTokens{};
  std::uint32_t m_promptTokens{};
};

struct LoadReport
{
  EngineRole m_role{};
  std::string m_model;
  bool m_leaving{};
  std::uint32_t m_running{}; ///< imports and running streams
  std::uint32_t m_batchLimit{};
  std::uint32_t m_piecesTotal{};
  std::uint32_t m_piecesFree{};
  std::uint64_t m_prefillQueueTokens{}; ///< waiting and running
  Duration m_age{};

  bool operator==(const LoadReport&) const = default;
};

struct CacheEvent
{
  std::uint64_t m_seq{};
  bool m_stored{};
  std::string m_prefix;
  std::uint32_t m_tokens{};
  TimePoint m_visibleAt;
};
struct CacheEvents
{
  std::vector<CacheEvent> m_events;
  std::uint64_t m_next{}; ///< value for the next call's "after"
};

enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
  Drain,
  Resume,
};
struct OrderRequest
{
  std::uint64_t m_fence{};
  OrderKind m_kind{};
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  EngineRole m_role{};
};
enum class OrderResult
{
  Accepted,
  OldFence,
  Busy,
};

struct EngineState
{
  EngineRole m_role{};
  std::string m_model;
  std::string m_version;
  std::set<std::string> m_adapters;
  std::uint64_t m_acceptedFence{};
  bool m_checksFencing{};
  bool m_leaving{};
  bool m_draining{};
  bool m_busy{}; ///< loading, or something is held
};

struct EngineStats
{
  std::uint64_t m_importsClaimed{};
  std::uint64_t m_importsRefused{};
  std::uint64_t m_importsDropped{};
  std::uint64_t m_prefillsStarted{};
  std::uint64_t m_prefillsDone{};
  std::uint64_t m_prefillTokensDone{};   ///< less the cached ones
  std::uint64_t m_prefillTokensWasted{}; ///< result never pulled
  std::uint64_t m_prefillTokensCached{};
  std::uint64_t m_pulledTokensUnused{}; ///< filled, never decoded a token
  std::uint64_t m_streamsStarted{};
  std::uint64_t m_streamsDone{};
  std::uint64_t m_tokensGenerated{};
  std::uint64_t m_cancels{}; ///< that freed something
  std::uint64_t m_ordersAccepted{};
  std::uint32_t m_mostHeld{};   ///< most holdings at a time
  std::uint32_t m_mostPieces{}; ///< most pieces at a time
  std::uint32_t m_mostRunning{};
};

class EngineModel
{
public:
  explicit EngineModel(EngineModelOptions aOptions);

  /// Settings may be changed while it runs (faults).
  EngineModelOptions& Options() { return m_options; }
  const EngineModelOptions& Options() const { return m_options; }

  /// Returns when something happens next, or TimePoint::max().
  TimePoint NextEventAt() const;
  /// Runs to aNow and returns what happened, in order of time.
  std::vector<EngineEvent> Advance(TimePoint aNow);

  /// Claims decode memory. Again for the same stream: the same import.
  Admission ClaimImport(TimePoint aNow, const ImportRequest& aRequest);
  /// Queues a prefill. Again for the same stream: nothing new.
  Admission StartPrefill(TimePoint aNow, const PrefillRequest& aRequest);
  /// Starts a pull of an export, which it keeps past its lifetime.
  std::optional<KvContent> BeginPull(TimePoint aNow,
                                     const std::string& aExport);
  /// Ends a pull and frees the export. @returns false if it is gone
  /// @param aWhole  all of it arrived, so the prefill was not wasted
  bool EndPull(TimePoint aNow, const std::string& aExport, bool aWhole);
  /// Puts a transferred KV cache into an import. @returns false if it is gone
  bool FillImport(TimePoint aNow,
                  const std::string& aImport,
                  const KvContent& aContent);
  /// Returns the import of that name, or nullptr.
  const Holding* FindImport(const std::string& aImport);
  /// Starts decoding. @returns false if no filled import has that name
  bool StartStream(TimePoint aNow, const StreamRequest& aRequest);
  /// Makes a reader the newest. @returns its number, or 0 if not held
  std::uint64_t Attach(const std::string& aStream);
  /// The reader aAttachment went away.
  void Detach(const std::string& aStream, std::uint64_t aAttachment);
  /// Frees all that is held for aStream. @returns whether anything was
  bool Cancel(TimePoint aNow, const std::string& aStream);

  const Holding* Find(const std::string& aStream) const;
  const std::map<std::string, Holding>& Holdings() const { return m_holdings; }
  std::uint32_t PiecesHeld() const { return m_piecesHeld; }
  /// Returns the load as it was Options().m_loadLag ago.
  LoadReport Load(TimePoint aNow) const;
  /// Returns the load as it is.
  LoadReport TrueLoad(TimePoint aNow) const;
  CacheEvents CacheEventsAfter(TimePoint aNow, std::uint64_t aAfter) const;
  /// Returns the cached tokens that a prompt with these prefixes would reuse.
  std::uint32_t CachedTokens(const std::vector<std::string>& aPrefixes) const;

  OrderResult Order(TimePoint aNow, const OrderRequest& aOrder);
  /// Ends a model load when Options().m_externalLoad is set.
  void FinishLoad(TimePoint aNow);
  /// Returns the last order to load a model.
  const OrderRequest& LoadOrder() const { return m_loadOrder; }
  EngineState State() const;
  /// The platform takes this engine away: no new work.
  void SetLeaving(TimePoint aNow, bool aLeaving);
  /// Loses everything that is held, the cache and the accepted fence.
  void Crash(TimePoint aNow);
  const EngineStats& Stats() const { return m_stats; }

private:
  struct CachedPrefix
  {
    std::string m_prefix;
    std::uint32_t m_tokens{};
  };

  std::optional<RefuseReason> RefusalOf(EngineRole aRole,
                                        const std::string& aModel) const;
  std::uint32_t PiecesFor(std::uint64_t aTokens) const;
  std::uint32_t RunningCount() const;
  Holding& Hold(TimePoint aNow,
                const std::string& aStream,
                HoldingState aState,
                std::uint32_t aPieces);
  void SetPieces(Holding& aHolding, std::uint32_t aPieces);
  void Release(TimePoint aNow, const std::string& aStream);
  Holding* FindById(const std::string& aId, HoldingState aState);
  void StartNextPrefill(TimePoint aNow);
  void FinishPrefill(TimePoint aNow, std::vector<EngineEvent>& aEvents);
  void StartStep(TimePoint aNow);
  void FinishStep(TimePoint aNow, std::vector<EngineEvent>& aEvents);
  void GenerateToken(TimePoint aNow,
                     Holding& aHolding,
                     std::vector<EngineEvent>& aEvents);
  void ExpireHoldings(TimePoint aNow, std::vector<EngineEvent>& aEvents);
  void CrashWithEvent(TimePoint aNow, std::vector<EngineEvent>& aEvents);
  std::uint32_t TokensRunSoFar(TimePoint aNow) const;
  void StorePrefixes(TimePoint aNow, const Holding& aHolding);
  void PublishCacheEvent(TimePoint aNow,
                         bool aStored,
                         const CachedPrefix& aPrefix);
  void ClearCache(TimePoint aNow);
  void NoteLoad(TimePoint aNow);

  struct LoadNote
  {
    TimePoint m_at;
    LoadReport m_report;
  };

  EngineModelOptions m_options;
  std::unique_ptr<RandomI> m_random;
  EngineState m_state;
  std::map<std::string, Holding> m_holdings;
  std::uint32_t m_piecesHeld{ 0 };
  std::uint64_t m_nextNumber{ 1 };
  std::string m_runningPrefill; ///< stream; empty if none runs
  TimePoint m_prefillStart;
  TimePoint m_prefillEnd{ TimePoint::max() };
  TimePoint m_stepEnd{ TimePoint::max() };
  TimePoint m_loadEnd{ TimePoint::max() };
  bool m_loading{ false };
  OrderRequest m_loadOrder;
  std::list<CachedPrefix> m_cache; ///< most recently used first
  std::unordered_map<std::string, std::list<CachedPrefix>::iterator>
    m_cacheIndex;
  std::deque<CacheEvent> m_cacheEvents;
  std::uint64_t m_nextCacheSeq{ 1 };
  std::deque<LoadNote> m_loadNotes;
  EngineStats m_stats;
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_ENGINE_MODEL_H
