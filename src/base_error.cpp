/// The Error class, and the wire name, HTTP status and JSON body of each kind.

#include "shallotford/base.h"

#include <array>

namespace shallotford {

namespace {

struct KindRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_status;
};

constexpr std::array kKinds = {
  KindRow{ ErrorKind::InvalidRequest, "invalid_request", 400 },
  KindRow{ ErrorKind::TooLarge, "too_large", 413 },
  KindRow{ ErrorKind::HeadTooLarge, "head_too_large", 431 },
  KindRow{ ErrorKind::RequestTimeout, "request_timeout", 408 },
  KindRow{ ErrorKind::Unauthenticated, "unauthenticated", 401 },
  KindRow{ ErrorKind::NotFound, "not_found", 404 },
  KindRow{ ErrorKind::RateLimited, "rate_limited", 429 },
  KindRow{ ErrorKind::Overloaded, "overloaded", 503 },
  KindRow{ ErrorKind::NoUpstream, "no_upstream", 503 },
  KindRow{ ErrorKind::DependencyDown, "dependency_down", 503 },
  KindRow{ ErrorKind::Quarantined, "quarantined", 422 },
  KindRow{ ErrorKind::TicketRequired, "ticket_required", 428 },
  KindRow{ ErrorKind::TicketInvalid, "ticket_invalid", 422 },
  KindRow{ ErrorKind::TicketIssuerGone, "ticket_issuer_gone", 410 },
  KindRow{ ErrorKind::DeadlineExceeded, "deadline_exceeded", 504 },
  KindRow{ ErrorKind::UpstreamFailed, "upstream_failed", 502 },
  KindRow{ ErrorKind::UpstreamRefused, "upstream_refused", 503 },
  KindRow{ ErrorKind::Cancelled, "cancelled", 499 },
  KindRow{ ErrorKind::ShuttingDown, "shutting_down", 503 },
  KindRow{ ErrorKind::NotReady, "not_ready", 503 },
  KindRow{ ErrorKind::InvalidConfig, "invalid_config", 500 },
  KindRow{ ErrorKind::StaleRevision, "stale_revision", 409 },
  KindRow{ ErrorKind::RevisionConflict, "revision_conflict", 409 },
  KindRow{ ErrorKind::Internal, "internal", 500 },
};

const KindRow&
RowOf(ErrorKind aKind)
{
  for (const KindRow& row : kKinds) {
    if (row.m_kind == aKind) {
      return row;
    }
  }
  return kKinds.back();
}

/// Returns the error type that unmodified OpenAI clients expect for aStatus.
std::string_view
OpenAiType(int aStatus)
{
  if (aStatus == 401) {
    return "authentication_error";
  }
  if (aStatus == 429) {
    return "rate_limit_error";
  }
  return aStatus < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

std::string_view
ToString(ErrorKind aKind)
{
  return RowOf(aKind).m_name;
}

int
HttpStatus(ErrorKind aKind)
{
  return RowOf(aKind).m_status;
}

std::string_view
ToString(RunState aRun)
{
  switch (aRun) {
    case RunState::No:
      return "no";
    case RunState::Yes:
      return "yes";
    case RunState::Unknown:
      break;
  }
  return "unknown";
}

Error::Error(ErrorKind aKind,
             const std::string& aWhat,
             std::string aRemedy,
             RunState aRun)
  : std::runtime_error(aWhat)
  , m_kind(aKind)
  , m_remedy(std::move(aRemedy))
  , m_run(aRun)
{
}

Error&
Error::WithRetryAfter(std::chrono::milliseconds aDelay)
{
  m_retryAfter = aDelay;
  return *this;
}

std::string
ErrorBody(const Error& aError)
{
  Json::Value error(Json::objectValue);
  error["message"] = aError.what();
  error["type"] = std::string(OpenAiType(HttpStatus(aError.Kind())));
  error["code"] = std::string(ToString(aError.Kind()));
  error["param"] = Json::Value();
  error["run"] = std::string(ToString(aError.Run()));
  error["remedy"] = aError.Remedy();
  if (aError.RetryAfter().count() > 0) {
    error["retry_after_ms"] =
      static_cast<Json::Int64>(aError.RetryAfter().count());
  }
  Json::Value body(Json::objectValue);
  body["error"] = error;
  return WriteJson(body);
}

} // namespace shallotford
