/// Collects whole answers.

#include "shallotford/net.h"

namespace shallotford {

namespace {

class WholeAnswer : public HttpClientHandlerI
{
public:
  WholeAnswer(std::size_t aMaxBody, std::function<void(HttpResult)> aDone)
    : m_maxBody(aMaxBody)
    , m_done(std::move(aDone))
  {
  }

  void OnHeaders(int aStatus, const HttpHeaders& aHeaders) override
  {
    m_reply.m_status = aStatus;
    m_reply.m_headers = aHeaders;
  }

  void OnBody(std::string_view aBytes) override
  {
    if (!m_done) {
      return;
    }
    if (m_reply.m_body.size() + aBytes.size() > m_maxBody) {
      OnFailure(
        { CallProgress::Answered,
          "the answer exceeds " + std::to_string(m_maxBody) + " bytes" });
      return;
    }
    m_reply.m_body += aBytes;
  }

  void OnEnd() override
  {
    HttpResult result;
    result.m_reply = std::move(m_reply);
    Finish(std::move(result));
  }

  void OnFailure(const HttpFailure& aFailure) override
  {
    HttpResult result;
    result.m_failure = aFailure;
    Finish(std::move(result));
  }

private:
  void Finish(HttpResult aResult)
  {
    if (auto done = std::exchange(m_done, nullptr)) {
      done(std::move(aResult));
    }
  }

  std::size_t m_maxBody;
  std::function<void(HttpResult)> m_done;
  HttpReply m_reply;
};

} // namespace

std::unique_ptr<HttpClientCallI>
HttpClientI::FetchWhole(HttpCall aCall, std::function<void(HttpResult)> aDone)
{
  std::size_t maxBody = aCall.m_maxBody;
  return Fetch(std::move(aCall),
               std::make_shared<WholeAnswer>(maxBody, std::move(aDone)));
}

} // namespace shallotford
