/// Fuzzes the parser of resume tokens.

#include "fuzz.h"
#include "shallotford/ledger/resume.h"

using namespace shallotford;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string_view text = fuzz::AsText(aData, aSize);
  ResumeToken token;
  if (!fuzz::ReadsOrRefuses([&] { token = ParseResumeToken(text); })) {
    return 0;
  }
  fuzz::Require(ToString(token) == text);
  fuzz::Require(text.starts_with(ResumePrefix(token)));
  // A VM connects only to engines of the fleet text.
  fuzz::ReadsOrRefuses([&] {
    ResumeDecision decision =
      DecideResume(token, token.m_service, token.m_prompt, {});
    fuzz::Require(decision.m_step == ResumeStep::Regenerate);
  });
  return 0;
}
