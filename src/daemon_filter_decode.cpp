/// Filters that read a caller's request: who sent it, what it asks for, and the
/// position at which a broken stream is resumed.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

#include <algorithm>

namespace shallotford {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";

class IdentifyFilter : public FilterI
{
public:
  explicit IdentifyFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "identify"; }

  void Start(const FlowPtr& aFlow) override
  {
    // The VM that forwarded a call has identified its caller already.
    if (!aFlow->m_forwarded) {
      const CallerEntry* caller = m_worker.State().m_callers.Identify(
        FindHeader(aFlow->m_http.m_headers, "authorization"));
      if (caller != nullptr) {
        aFlow->m_caller = caller->m_name;
        aFlow->m_priority = caller->m_priority;
      }
    }
    m_worker.Next(aFlow);
  }

private:
  Worker& m_worker;
};

[[noreturn]] void
ThrowNoModel(const std::string& aModel)
{
  throw Error(ErrorKind::NotFound,
              "model \"" + aModel + "\" does not exist",
              "Use a model that GET /v1/models lists.");
}

void
CheckLength(const Flow& aFlow)
{
  if (aFlow.m_promptTokens <= aFlow.m_model->m_maxPromptTokens) {
    return;
  }
  throw Error(ErrorKind::InvalidRequest,
              "the prompt has about " + std::to_string(aFlow.m_promptTokens) +
                " tokens; model \"" + aFlow.m_model->m_name + "\" takes " +
                std::to_string(aFlow.m_model->m_maxPromptTokens),
              "Shorten the prompt.");
}

class DecodeModelFilter : public FilterI
{
public:
  explicit DecodeModelFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "decode"; }

  void Start(const FlowPtr& aFlow) override
  {
    Flow& flow = *aFlow;
    CompletionKind kind = flow.m_http.m_path == "/v1/chat/completions"
                            ? CompletionKind::Chat
                            : CompletionKind::Text;
    flow.m_call = ParseModelCall(kind, flow.m_http.m_body);
    FindModel(flow);
    flow.m_fingerprint =
      Fingerprint(flow.m_call.m_model + '\n' + flow.m_call.m_prompt);
    flow.m_promptTokens = EstimateTokens(flow.m_call.m_prompt);
    CheckLength(flow);
    SetLimits(flow);
    for (const std::string& prefix : PrefixFingerprints(flow.m_call.m_prompt)) {
      flow.m_prefixes.push_back(MakePrefixKey(prefix));
    }
    flow.m_prompt =
      std::make_shared<const std::string>(std::move(flow.m_call.m_prompt));
    flow.m_http.m_body.clear();
    flow.m_http.m_body.shrink_to_fit();
    std::uint64_t first = ReadResume(flow);
    OpenFlow(aFlow, first);
    m_worker.Next(aFlow);
  }

private:
  void FindModel(Flow& aFlow)
  {
    aFlow.m_service = aFlow.m_fleet->FindModelService(aFlow.m_call.m_model);
    aFlow.m_model = aFlow.m_fleet->FindModel(aFlow.m_call.m_model);
    if (aFlow.m_service == nullptr || aFlow.m_model == nullptr) {
      ThrowNoModel(aFlow.m_call.m_model);
    }
    const auto& adapters = aFlow.m_model->m_adapters;
    const std::string& wanted = aFlow.m_call.m_adapter;
    bool known =
      wanted.empty() ||
      std::find(adapters.begin(), adapters.end(), wanted) != adapters.end();
    if (!known) {
      throw Error(ErrorKind::NotFound,
                  "adapter \"" + wanted + "\" does not exist",
                  "Leave \"adapter\" out, or use one that the operators list "
                  "for the model.");
    }
  }

  static void SetLimits(Flow& aFlow)
  {
    std::uint32_t limit = aFlow.m_model->m_maxOutputTokens;
    std::uint32_t wanted = aFlow.m_call.m_maxTokens;
    aFlow.m_maxTokens = wanted == 0 ? limit : std::min(wanted, limit);
  }

  /// Returns the first position that the caller still needs.
  std::uint64_t ReadResume(Flow& aFlow)
  {
    const std::string* last =
      FindHeader(aFlow.m_http.m_headers, "last-event-id");
    if (last == nullptr || !aFlow.m_call.m_stream) {
      return 0;
    }
    ResumeToken token = ParseResumeToken(*last);
    std::vector<std::string> engines;
    for (const EngineEntry& engine : aFlow.m_service->m_engines) {
      engines.push_back(engine.m_address);
    }
    ResumeDecision decision = DecideResume(
      token, aFlow.m_service->m_name, aFlow.m_fingerprint, engines);
    if (decision.m_step == ResumeStep::Attach) {
      aFlow.m_resume = token;
    }
    m_worker.State().m_metrics.Count("resumes_total", "");
    return decision.m_from;
  }

  void OpenFlow(const FlowPtr& aFlow, std::uint64_t aFirst)
  {
    m_worker.Open(
      aFlow,
      { .m_service = aFlow->m_service->m_name,
        .m_caller = aFlow->m_caller,
        .m_fingerprint = aFlow->m_fingerprint,
        .m_model = true,
        .m_repeatable = true,
        .m_deadline = aFlow->m_receivedAt + aFlow->m_service->m_deadline,
        .m_firstPosition = aFirst });
    aFlow->m_reply.m_writer.emplace(
      aFlow->m_call.m_kind,
      ToString(aFlow->m_id),
      aFlow->m_call.m_model,
      std::chrono::duration_cast<std::chrono::seconds>(
        m_worker.State().m_clock.WallNow().time_since_epoch()));
  }

  Worker& m_worker;
};

class DecodePlainFilter : public FilterI
{
public:
  explicit DecodePlainFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "decode"; }

  void Start(const FlowPtr& aFlow) override
  {
    Flow& flow = *aFlow;
    std::string rest = flow.m_http.m_path.substr(kServicesPrefix.size());
    std::size_t slash = rest.find('/');
    std::string name = rest.substr(0, slash);
    flow.m_plainPath = slash == std::string::npos ? "/" : rest.substr(slash);
    flow.m_service = flow.m_fleet->FindService(name);
    bool plain =
      flow.m_service != nullptr && flow.m_service->m_kind == ServiceKind::Plain;
    if (!plain) {
      throw Error(ErrorKind::NotFound,
                  "service \"" + name + "\" does not exist",
                  "Use the name of a plain service of the fleet text.");
    }
    flow.m_repeatable = IsRepeatable(flow);
    flow.m_fingerprint =
      Fingerprint(name + '\n' + flow.m_http.m_method + '\n' + flow.m_plainPath +
                  '?' + flow.m_http.m_query + '\n' + flow.m_http.m_body);
    m_worker.Next(aFlow);
  }

private:
  /// A path matches a prefix at a segment's end only: "/holds" matches
  /// "/holds" and "/holds/7", not "/holdsman".
  static bool Matches(const std::string& aPath, const std::string& aPrefix)
  {
    if (aPath.compare(0, aPrefix.size(), aPrefix) != 0) {
      return false;
    }
    return aPath.size() == aPrefix.size() || aPrefix.back() == '/' ||
           aPath[aPrefix.size()] == '/';
  }

  static bool IsRepeatable(const Flow& aFlow)
  {
    for (const NonRepeatable& call : aFlow.m_service->m_nonRepeatable) {
      if (call.m_method == aFlow.m_http.m_method &&
          Matches(aFlow.m_plainPath, call.m_path)) {
        return false;
      }
    }
    return true;
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakeIdentifyFilter(Worker& aWorker)
{
  return std::make_unique<IdentifyFilter>(aWorker);
}

std::unique_ptr<FilterI>
MakeDecodeModelFilter(Worker& aWorker)
{
  return std::make_unique<DecodeModelFilter>(aWorker);
}

std::unique_ptr<FilterI>
MakeDecodePlainFilter(Worker& aWorker)
{
  return std::make_unique<DecodePlainFilter>(aWorker);
}

} // namespace shallotford
