#ifndef SHALLOTFORD_SRC_DAEMON_OPENAI_H
#define SHALLOTFORD_SRC_DAEMON_OPENAI_H

/// Parses model requests and writes their answers in the format of the OpenAI
/// API.

#include "shallotford/base.h"
#include "shallotford/fleet.h"

#include <string>
#include <vector>

namespace shallotford {

enum class CompletionKind
{
  Chat, ///< /v1/chat/completions
  Text, ///< /v1/completions
};

/// A model request, checked and reduced to what routing needs.
struct ModelCall
{
  CompletionKind m_kind{ CompletionKind::Chat };
  std::string m_model;
  std::string m_adapter;
  std::string m_prompt;
  bool m_stream{};
  bool m_includeUsage{};
  /// Most tokens of the answer; 0 for the model's own limit.
  std::uint32_t m_maxTokens{};
  std::vector<std::string> m_stop;
};

/// Reads the body of a completion request.
/// @throws Error (InvalidRequest) naming the field and the remedy
ModelCall
ParseModelCall(CompletionKind aKind, const std::string& aBody);

/// Returns the number of words separated by white space, as an estimate of the
/// number of tokens.
std::uint32_t
EstimateTokens(std::string_view aText);

/// Returns fingerprints of the first k x kKvPieceTokens tokens of aPrompt, for
/// k = 1, 2, ...
std::vector<std::string>
PrefixFingerprints(std::string_view aPrompt);

/// Writes the answer to one model request, streamed or as one body.
class CompletionWriter
{
public:
  /// @param aId       the request's id, as the caller sees it
  /// @param aCreated  seconds since the epoch
  CompletionWriter(CompletionKind aKind,
                   const std::string& aId,
                   const std::string& aModel,
                   std::chrono::seconds aCreated);

  /// Appends the event that opens a chat stream to aOut. Text completions have
  /// none.
  void AppendOpening(std::string& aOut) const;
  /// Appends one token's server-sent event to aOut.
  /// @param aEventId  value of its "id:" field
  void AppendToken(std::string& aOut,
                   std::string_view aEventId,
                   std::string_view aText) const;
  /// Appends the closing events, with usage if aUsage, and [DONE].
  void AppendClosing(std::string& aOut,
                     std::string_view aEventId,
                     const std::string& aReason,
                     bool aUsage,
                     std::uint64_t aPromptTokens,
                     std::uint64_t aOutputTokens) const;
  /// Appends an error event, which ends a stream that has begun.
  static void AppendError(std::string& aOut, const Error& aError);
  /// Returns the body of an answer that is not streamed.
  std::string Whole(const std::string& aText,
                    const std::string& aReason,
                    std::uint64_t aPromptTokens,
                    std::uint64_t aOutputTokens) const;

private:
  /// Returns an object with the members that all answers have.
  Json::Value Frame(const char* aObject) const;

  CompletionKind m_kind;
  std::string m_id;
  std::string m_model;
  std::chrono::seconds m_created;
  std::string m_tokenHead; ///< constant text before a token's content
  std::string m_tokenTail; ///< constant text after it
};

/// Returns the body of GET /v1/models.
std::string
ModelListBody(const FleetText& aFleet);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_OPENAI_H
