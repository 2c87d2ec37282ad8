/// Reads an engine's answer to a decode or attach call.

#include "daemon_token_stream.h"

namespace shallotford {

namespace {

class TokenStream : public HttpClientHandlerI
{
public:
  explicit TokenStream(std::shared_ptr<TokenSinkI> aSink)
    : m_sink(std::move(aSink))
  {
  }

  void OnHeaders(int aStatus, const HttpHeaders&) override
  {
    m_status = aStatus;
  }

  void OnBody(std::string_view aBytes) override
  {
    if (m_ended) {
      return;
    }
    if (m_status != 200) {
      m_errorBody.append(aBytes.substr(0, kMaxErrorBody));
      return;
    }
    try {
      m_parser.Feed(aBytes,
                    [this](const ServerSentEvent& aEvent) { Read(aEvent); });
    } catch (const std::exception& exception) {
      Fail({ .m_fault = EngineFault::Malformed, .m_reason = exception.what() });
    }
  }

  void OnEnd() override
  {
    if (m_status != 200) {
      Fail(StatusError());
      return;
    }
    Fail({ .m_fault = EngineFault::Broken,
           .m_reason = "stream ended without its last event" });
  }

  void OnFailure(const HttpFailure& aFailure) override
  {
    EngineFault fault = aFailure.m_progress == CallProgress::NotSent
                          ? EngineFault::NotSent
                          : EngineFault::Broken;
    Fail({ .m_fault = fault, .m_reason = aFailure.m_reason });
  }

private:
  static constexpr std::size_t kMaxErrorBody = 4096;

  EngineError StatusError() const
  {
    std::string reason = "status " + std::to_string(m_status);
    if (m_status == 503) {
      return { .m_fault = EngineFault::Refused, .m_reason = reason };
    }
    if (m_status == 404 || m_status == 410) {
      return { .m_fault = EngineFault::NotHeld, .m_reason = reason };
    }
    return { .m_fault = EngineFault::Malformed, .m_reason = reason };
  }

  void Read(const ServerSentEvent& aEvent)
  {
    if (m_ended) {
      return;
    }
    if (aEvent.m_event == "superseded") {
      m_ended = true;
      m_sink->OnSuperseded();
      return;
    }
    if (aEvent.m_event == "cancelled") {
      Fail({ .m_fault = EngineFault::NotHeld,
             .m_reason = "the stream was cancelled at the engine" });
      return;
    }
    Json::Value data = ParseJson(aEvent.m_data);
    if (data["done"].asBool()) {
      m_ended = true;
      m_sink->OnFinished(data["finish_reason"].asString(),
                         data["end"].asUInt64());
      return;
    }
    m_sink->OnToken({ .m_position = data["position"].asUInt64(),
                      .m_text = data["text"].asString() });
  }

  void Fail(EngineError aError)
  {
    if (m_ended) {
      return;
    }
    m_ended = true;
    m_sink->OnError(std::move(aError));
  }

  std::shared_ptr<TokenSinkI> m_sink;
  EventStreamParser m_parser;
  int m_status{ 0 };
  std::string m_errorBody;
  bool m_ended{ false };
};

} // namespace

std::shared_ptr<HttpClientHandlerI>
MakeTokenStream(std::shared_ptr<TokenSinkI> aSink)
{
  return std::make_shared<TokenStream>(std::move(aSink));
}

} // namespace shallotford
