#ifndef SHALLOTFORD_LEDGER_RESUME_H
#define SHALLOTFORD_LEDGER_RESUME_H

/// Resume tokens: the ids of server-sent events, from which any VM goes on.

#include "shallotford/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// What an SSE event's id says: how to go on with the stream at any VM.
struct ResumeToken
{
  std::string m_engine{};     ///< decode engine, "IP:PORT"
  AttemptId m_stream{};       ///< the stream's name at the engine
  VmIncarnation m_entry{};    ///< VM that relayed the event
  std::string m_service{};    ///< model service
  std::string m_prompt{};     ///< fingerprint of the request's body
  std::uint64_t m_position{}; ///< of the event's token

  bool operator==(const ResumeToken&) const = default;
};
/// Returns everything of the text but the position, which goes last.
std::string
ResumePrefix(const ResumeToken& aToken);
std::string
ToString(const ResumeToken& aToken);
/// @throws Error (InvalidRequest) if aText is not a token's one text form
ResumeToken
ParseResumeToken(std::string_view aText);

/// How a VM goes on with a stream.
enum class ResumeStep
{
  Attach,     ///< attach to the engine's stream at m_from
  Regenerate, ///< run it again and deliver from m_from on
};
struct ResumeDecision
{
  ResumeStep m_step{ ResumeStep::Regenerate };
  std::uint64_t m_from{ 0 }; ///< first position that the caller needs
};
/// Decides how to go on for the request that came with aToken.
/// @param aService  service of the request that came with the token
/// @param aPrompt   fingerprint of that request's body
/// @param aEngines  engines of the service in the fleet text; others are never
///                  connected to
/// @throws Error (InvalidRequest) if the token belongs to another request
ResumeDecision
DecideResume(const ResumeToken& aToken,
             std::string_view aService,
             std::string_view aPrompt,
             const std::vector<std::string>& aEngines);

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_RESUME_H
