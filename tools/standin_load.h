#ifndef SHALLOTFORD_TOOLS_STANDIN_LOAD_H
#define SHALLOTFORD_TOOLS_STANDIN_LOAD_H

/// The load generator: sends planned requests to daemons and checks every
/// answer as a whole against the pure token function.

#include "standin_http.h"

#include <optional>

namespace shallotford::standin {

struct LoadOptions
{
  std::vector<std::string> m_daemons; ///< "IP:PORT"
  std::uint32_t m_requests{ 100 };
  double m_rate{ 50.0 }; ///< arrivals per second, exponential gaps
  std::uint64_t m_seed{ 1 };
  std::string m_model{ "draft" };
  std::string m_key;                       ///< bearer key, or empty
  double m_streamShare{ 0.7 };             ///< of the model requests
  double m_cancelShare{ 0.0 };             ///< of the streams
  std::uint32_t m_promptTokens{ 500 };     ///< most in a prompt
  std::uint32_t m_sharedPromptTokens{ 0 }; ///< words that prompts share
  std::uint32_t m_documents{ 8 };          ///< different shared beginnings
  std::uint32_t m_maxTokens{ 40 };         ///< most in an answer
  std::string m_servicePath; ///< "/services/NAME/path" that may be repeated
  std::string m_nonRepeatablePath;    ///< one that may not
  double m_serviceShare{ 0.0 };       ///< of all requests, repeatable
  double m_nonRepeatableShare{ 0.0 }; ///< of all requests
  std::uint32_t m_resubmits{ 0 }; ///< after a refusal that says when to come
  std::chrono::milliseconds m_timeout{ 60'000 }; ///< of one request
  std::chrono::milliseconds m_firstTokenTarget{ 1'600 };
  std::chrono::milliseconds m_perTokenTarget{ 71 };
  /// Stand-in services whose executions are compared at the end.
  std::vector<std::string> m_executions;
};

enum class CallKind
{
  ChatStream,
  ChatWhole,
  TextWhole,
  Plain,
  NonRepeatable,
};

/// One request, fixed by the seed before anything is sent.
struct PlannedCall
{
  std::uint32_t m_index{};
  Duration m_at{}; ///< after the start
  CallKind m_kind{};
  std::size_t m_daemon{}; ///< first one that is asked
  std::string m_path;
  std::string m_body;
  std::string m_key;      ///< of a plain call
  std::string m_expected; ///< whole text of a model answer
  std::uint32_t m_tokens{};
  std::uint32_t m_cancelAfter{}; ///< tokens; 0: not cancelled
};

std::vector<PlannedCall>
PlanCalls(const LoadOptions& aOptions);

enum class CallOutcome
{
  Answered,  ///< whole, right, once
  Refused,   ///< error that says run=no
  Failed,    ///< error that says run=unknown or run=yes
  Cancelled, ///< by this generator
  Lost,      ///< neither a whole right answer nor an error that says so
};
std::string_view
ToString(CallOutcome aOutcome);

struct CallResult
{
  CallOutcome m_outcome{ CallOutcome::Lost };
  std::string m_reason;         ///< error code, or what was wrong
  std::uint32_t m_duplicates{}; ///< tokens or answers that came twice
  std::uint32_t m_resumes{};
  std::uint32_t m_resubmits{};
  std::optional<Duration> m_firstToken;
  std::optional<Duration> m_perToken; ///< mean gap
  Duration m_whole{};
};

/// What the run showed.
class RunReport
{
public:
  explicit RunReport(const LoadOptions& aOptions);
  void Add(const PlannedCall& aCall, const CallResult& aResult);
  /// Compares what services executed with what callers were told.
  /// @param aExecutions  booking key to count, summed over the services
  void CheckExecutions(const std::map<std::string, std::uint32_t>& aExecutions);
  void Note(const std::string& aProblem);
  std::uint32_t Ended() const { return m_ended; }
  Json::Value ToJson() const;
  /// Returns "answered=N lost=N twice=N ...".
  std::string LastLine() const;
  /// @param aAllAnswered  also demands that every request was answered
  bool IsGood(bool aAllAnswered) const;

private:
  std::uint32_t CountOf(CallOutcome aOutcome) const;

  const LoadOptions& m_options;
  std::uint32_t m_ended{ 0 };
  std::map<CallOutcome, std::uint32_t> m_counts;
  std::map<std::string, std::uint32_t> m_reasons; ///< by "outcome: reason"
  std::map<std::string, CallOutcome> m_bookings;  ///< non-repeatable calls
  std::uint32_t m_twice{ 0 };
  std::uint32_t m_lostBookings{ 0 }; ///< answered but never executed
  std::uint32_t m_ranThoughRefused{ 0 };
  std::uint32_t m_resumes{ 0 };
  std::uint32_t m_resubmits{ 0 };
  std::uint32_t m_metTargets{ 0 };
  std::vector<Duration> m_firstTokens;
  std::vector<Duration> m_perTokens;
  std::vector<Duration> m_wholes;
  std::vector<std::string> m_problems;
};

/// Runs `shallotford-standin load`. @returns the exit code
int
RunLoad(const LoadOptions& aOptions, bool aAllAnswered);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_LOAD_H
