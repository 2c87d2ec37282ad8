/// An HTTP exchange that lets one task answer a request that arrived on another
/// task's socket.

#include "daemon_posting_exchange.h"

namespace shallotford {

namespace {

class PostingExchange : public HttpExchangeI
{
public:
  PostingExchange(LoopI& aOwner,
                  LoopI& aUser,
                  std::shared_ptr<HttpExchangeI> aInner)
    : m_owner(aOwner)
    , m_user(aUser)
    , m_inner(std::move(aInner))
  {
  }

  ~PostingExchange() override
  {
    // The inner exchange must be destroyed on the loop that it belongs to.
    m_owner.Post([inner = std::move(m_inner)] {});
  }

  void Begin(int aStatus, const HttpHeaders& aHeaders) override
  {
    m_status = aStatus;
    m_headers = aHeaders;
  }

  void Write(std::string_view aBytes) override { m_body += aBytes; }

  void End() override { Respond(m_status, m_headers, m_body); }

  void Respond(int aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody) override
  {
    m_owner.Post(
      [inner = m_inner,
       aStatus,
       headers = aHeaders,
       body = std::string(aBody)] { inner->Respond(aStatus, headers, body); });
  }

  void Abort() override
  {
    m_owner.Post([inner = m_inner] { inner->Abort(); });
  }

  std::size_t Buffered() const override { return 0; }

  void OnDrained(std::function<void()>) override {}

  void OnClosed(std::function<void()> aCallback) override
  {
    LoopI& user = m_user;
    m_owner.Post([inner = m_inner, &user, callback = std::move(aCallback)] {
      inner->OnClosed([&user, callback] { user.Post(callback); });
    });
  }

private:
  LoopI& m_owner;
  LoopI& m_user;
  std::shared_ptr<HttpExchangeI> m_inner;
  int m_status{ 200 };
  HttpHeaders m_headers;
  std::string m_body;
};

} // namespace

std::shared_ptr<HttpExchangeI>
MakePostingExchange(LoopI& aOwner,
                    LoopI& aUser,
                    std::shared_ptr<HttpExchangeI> aInner)
{
  return std::make_shared<PostingExchange>(aOwner, aUser, std::move(aInner));
}

} // namespace shallotford
