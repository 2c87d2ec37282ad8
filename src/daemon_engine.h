#ifndef SHALLOTFORD_SRC_DAEMON_ENGINE_H
#define SHALLOTFORD_SRC_DAEMON_ENGINE_H

/// The asynchronous interface through which the daemon calls engines, whatever
/// protocol an engine uses. docs/ENGINE.md describes the calls.

#include "shallotford/base.h"
#include "shallotford/fleet.h"
#include "shallotford/net.h"
#include "shallotford/placement.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace shallotford {

/// How a call to an engine failed.
enum class EngineFault
{
  NotSent,   ///< no byte reached the engine: not run
  Refused,   ///< the engine answered that it did not run the call
  NotHeld,   ///< the engine no longer holds the import, export or stream
  Stalled,   ///< a transfer or an answer took too long
  Broken,    ///< the connection broke after the call was sent: may have run
  Malformed, ///< the answer violates the protocol
};

struct EngineError
{
  EngineFault m_fault{ EngineFault::Broken };
  std::string m_reason;
};

template<class Value>
using EngineResult = std::variant<Value, EngineError>;

template<class Value>
using EngineDone = std::function<void(EngineResult<Value>)>;

/// A call under way; destroying it closes the connection.
using CallHandle = std::unique_ptr<HttpClientCallI>;

struct ClaimCall
{
  AttemptId m_stream;
  std::string m_model;
  std::uint32_t m_promptTokens{};
  std::uint32_t m_maxTokens{};
  std::int32_t m_priority{};
};

struct PrefillCall
{
  AttemptId m_stream;
  std::string m_model;
  std::string m_adapter;
  std::shared_ptr<const std::string> m_prompt;
  std::uint32_t m_promptTokens{};
  std::int32_t m_priority{};
  std::chrono::milliseconds m_timeout{ 30'000 };
};

struct PrefillAnswer
{
  std::string m_export;
  std::uint32_t m_promptTokens{};
  std::uint32_t m_cachedTokens{};
};

struct PullCall
{
  std::string m_import;
  std::string m_from; ///< address of the prefill engine
  std::string m_export;
  std::uint64_t m_kvBytes{};
  std::chrono::milliseconds m_timeout{ 2'000 };
};

struct DecodeCall
{
  AttemptId m_stream;
  std::string m_import;
  std::uint32_t m_promptTokens{};
  std::uint32_t m_maxTokens{};
  std::uint64_t m_start{};  ///< position of the first token to generate
  std::string m_seedPrompt; ///< fingerprint of the request's own prompt
  std::vector<std::string> m_stop;
};

/// One generated token.
struct TokenEvent
{
  std::uint64_t m_position{};
  std::string m_text;
};

/// Receives one token stream; ends with exactly one of the last three calls.
class TokenSinkI
{
public:
  virtual ~TokenSinkI() = default;
  virtual void OnToken(TokenEvent aToken) = 0;
  /// @param aEnd  one past the position of the last token
  virtual void OnFinished(std::string aReason, std::uint64_t aEnd) = 0;
  /// Another attachment took the stream over.
  virtual void OnSuperseded() = 0;
  virtual void OnError(EngineError aError) = 0;
};

/// One entry of an engine's list of the streams for which it holds resources.
struct EngineHolding
{
  /// Attempt id as text; may be another client's or malformed.
  std::string m_stream;
  std::string m_state;
  std::uint32_t m_pieces{};
  bool m_attached{};
  std::chrono::milliseconds m_age{};
};

struct EngineCacheEvent
{
  std::uint64_t m_sequence{};
  bool m_stored{};
  std::string m_prefix;
  std::uint32_t m_tokens{};
};

struct EngineCacheEvents
{
  std::vector<EngineCacheEvent> m_events;
  std::uint64_t m_next{};
};

struct EngineState
{
  EngineRole m_role{ EngineRole::Decode };
  std::string m_model;
  std::string m_version;
  std::vector<std::string> m_adapters;
  std::uint64_t m_acceptedFence{};
  bool m_checksFencing{};
  bool m_draining{};
  bool m_leaving{};
  bool m_busy{};
};

struct EngineOrder
{
  std::uint64_t m_fence{};
  std::string m_order;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  EngineRole m_role{ EngineRole::Decode };
};

/// Calls to engines. Callbacks run on the caller's loop, never inside the call
/// itself.
class EngineI
{
public:
  virtual ~EngineI() = default;
  /// Claims decode memory; the result is the import's name.
  virtual CallHandle Claim(const std::string& aEngine,
                           const ClaimCall& aCall,
                           EngineDone<std::string> aDone) = 0;
  virtual CallHandle Prefill(const std::string& aEngine,
                             const PrefillCall& aCall,
                             EngineDone<PrefillAnswer> aDone) = 0;
  /// Makes the decode engine fetch a KV cache from the prefill engine.
  virtual CallHandle Pull(const std::string& aEngine,
                          const PullCall& aCall,
                          EngineDone<std::monostate> aDone) = 0;
  virtual CallHandle Decode(const std::string& aEngine,
                            const DecodeCall& aCall,
                            std::shared_ptr<TokenSinkI> aSink) = 0;
  /// Takes over a stream from position aFrom on. The newest attachment of a
  /// stream receives it; the engine ends an older one.
  virtual CallHandle Attach(const std::string& aEngine,
                            const AttemptId& aStream,
                            std::uint64_t aFrom,
                            std::shared_ptr<TokenSinkI> aSink) = 0;
  /// Frees everything that the engine holds for aStream. Success means that it
  /// holds nothing.
  virtual CallHandle Cancel(const std::string& aEngine,
                            const std::string& aStream,
                            EngineDone<std::monostate> aDone) = 0;
  virtual CallHandle List(const std::string& aEngine,
                          EngineDone<std::vector<EngineHolding>> aDone) = 0;
  virtual CallHandle Load(const std::string& aEngine,
                          EngineDone<LoadReport> aDone) = 0;
  virtual CallHandle ReadCacheEvents(const std::string& aEngine,
                                     std::uint64_t aAfter,
                                     EngineDone<EngineCacheEvents> aDone) = 0;
  virtual CallHandle State(const std::string& aEngine,
                           EngineDone<EngineState> aDone) = 0;
  virtual CallHandle Order(const std::string& aEngine,
                           const EngineOrder& aOrder,
                           EngineDone<std::monostate> aDone) = 0;
};

/// Returns an implementation that calls engines over HTTP.
/// @param aClient  must outlive the result
std::unique_ptr<EngineI>
MakeHttpEngine(HttpClientI& aClient);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_ENGINE_H
