#ifndef SHALLOTFORD_LEDGER_RESUME_H
#define SHALLOTFORD_LEDGER_RESUME_H

/// Resume tokens: ids of server-sent events with which a caller that reconnects
/// continues its stream at any VM.

#include "shallotford/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// The contents of an SSE event's id: what a VM needs to continue the stream.
struct ResumeToken
{
  std::string m_engine{};     ///< decode engine, "IP:PORT"
  AttemptId m_stream{};       ///< the stream's id at the engine
  VmIncarnation m_entry{};    ///< VM that relayed the event
  std::string m_service{};    ///< model service
  std::string m_prompt{};     ///< fingerprint of the request's body
  std::uint64_t m_position{}; ///< of the event's token

  bool operator==(const ResumeToken&) const = default;
};
/// Returns the token's text without the position, which comes last.
std::string
ResumePrefix(const ResumeToken& aToken);
std::string
ToString(const ResumeToken& aToken);
/// @throws Error (InvalidRequest) if aText is not a token's canonical text
ResumeToken
ParseResumeToken(std::string_view aText);

/// How a VM continues a stream.
enum class ResumeStep
{
  Attach,     ///< attach to the engine's stream at m_from
  Regenerate, ///< run the request again and deliver from m_from on
};
struct ResumeDecision
{
  ResumeStep m_step{ ResumeStep::Regenerate };
  std::uint64_t m_from{ 0 }; ///< first position that the caller needs
};
/// Decides how to continue the stream of the request that came with aToken.
/// @param aService  service of the request that came with the token
/// @param aPrompt   fingerprint of that request's body
/// @param aEngines  engines of the service in the fleet text; the VM never
///                  connects to any other
/// @throws Error (InvalidRequest) if the token belongs to another request
ResumeDecision
DecideResume(const ResumeToken& aToken,
             std::string_view aService,
             std::string_view aPrompt,
             const std::vector<std::string>& aEngines);

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_RESUME_H
