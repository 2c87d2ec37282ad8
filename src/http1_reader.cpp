/// Incremental readers of HTTP/1.1 requests and answers. Boost.Beast parses;
/// the readers also refuse what recipients could interpret differently.

#include "shallotford/http1.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <limits>

namespace shallotford {

namespace {

namespace http = boost::beast::http;
using ParserError = boost::system::error_code;

constexpr int kHttp10 = 10;
constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 599;
/// Most fields of a request's head. Each takes 64 bytes and more once parsed,
/// whatever its length. A head of the usual 16 KB can't hold more.
constexpr std::size_t kMaxRequestFields = 4'096;

[[noreturn]] void
Refuse(const std::string& aWhat)
{
  throw Error(ErrorKind::InvalidRequest,
              aWhat,
              "Send one HTTP/1.1 message with one unambiguous length.");
}

std::string
Text(boost::beast::string_view aView)
{
  return { aView.data(), aView.size() };
}

/// The parsed head of a request or an answer.
struct ParsedHead
{
  std::string m_method;
  std::string m_target;
  int m_status{ 0 };
  std::string m_reason;
  int m_version{ 11 };
  HttpHeaders m_fields;
};

/// Beast's parser, which stores the head and passes the body on to a sink.
template<bool isRequest>
class Parser : public http::basic_parser<isRequest>
{
public:
  Parser()
  {
    this->eager(true);
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
  }

  ParsedHead m_head;
  MessageSinkI* m_sink{ nullptr };

private:
  using View = boost::beast::string_view;

  void on_request_impl(http::verb,
                       View aMethod,
                       View aTarget,
                       int aVersion,
                       ParserError&) override
  {
    m_head.m_method = Text(aMethod);
    m_head.m_target = Text(aTarget);
    m_head.m_version = aVersion;
  }

  void on_response_impl(int aStatus,
                        View aReason,
                        int aVersion,
                        ParserError&) override
  {
    m_head.m_status = aStatus;
    m_head.m_reason = Text(aReason);
    m_head.m_version = aVersion;
  }

  void on_field_impl(http::field,
                     View aName,
                     View aValue,
                     ParserError&) override
  {
    // Beast also reports trailers here. They are not forwarded.
    if (this->is_header_done()) {
      return;
    }
    if (isRequest && m_head.m_fields.size() == kMaxRequestFields) {
      throw Error(ErrorKind::HeadTooLarge,
                  "the request has more than " +
                    std::to_string(kMaxRequestFields) + " header fields",
                  "Send fewer header fields.");
    }
    m_head.m_fields.push_back({ Text(aName), Text(aValue) });
  }

  void on_header_impl(ParserError&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ParserError&) override
  {
  }

  std::size_t on_body_impl(View aBody, ParserError&) override
  {
    m_sink->OnBody({ aBody.data(), aBody.size() });
    return aBody.size();
  }

  void on_chunk_header_impl(std::uint64_t, View, ParserError&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 View aBody,
                                 ParserError&) override
  {
    m_sink->OnBody({ aBody.data(), aBody.size() });
    return aBody.size();
  }

  void on_finish_impl(ParserError&) override {}
};

/// Returns whether a header field continues on the next line (obsolete line
/// folding), which recipients interpret differently.
bool
HasFoldedLine(std::string_view aHead)
{
  return aHead.find("\n ") != std::string_view::npos ||
         aHead.find("\n\t") != std::string_view::npos;
}

std::size_t
CountFields(const HttpHeaders& aFields, std::string_view aName)
{
  std::size_t count = 0;
  for (const HttpHeader& field : aFields) {
    count += SameFieldName(field.m_name, aName) ? 1 : 0;
  }
  return count;
}

/// Refuses framing that another recipient could interpret differently.
void
CheckFraming(const ParsedHead& aHead)
{
  std::size_t lengths = CountFields(aHead.m_fields, "content-length");
  std::size_t codings = CountFields(aHead.m_fields, "transfer-encoding");
  if (lengths + codings > 1) {
    Refuse("the message has more than one length");
  }
  const std::string* length = FindField(aHead.m_fields, "content-length");
  if (length != nullptr &&
      length->find_first_not_of("0123456789") != std::string::npos) {
    Refuse("the content length \"" + *length + "\" is not a number");
  }
  if (codings == 0) {
    return;
  }
  const std::string* coding = FindField(aHead.m_fields, "transfer-encoding");
  if (aHead.m_version == kHttp10 || !SameFieldName(*coding, "chunked")) {
    Refuse("the transfer encoding \"" + *coding + "\" is not supported");
  }
}

/// Refuses requests whose host is ambiguous or whose target is not a path.
void
CheckRequest(const ParsedHead& aHead)
{
  if (CountFields(aHead.m_fields, "host") != 1) {
    Refuse("the request has no host field, or several");
  }
  if (!aHead.m_target.starts_with('/')) {
    Refuse("the request's target \"" + aHead.m_target + "\" is not a path");
  }
}

template<bool isRequest>
class Reader : public MessageReaderI
{
public:
  Reader(std::size_t aMaxHead, bool aToHead)
    : m_maxHead(aMaxHead)
    , m_toHead(aToHead)
  {
  }

  std::size_t Feed(std::string_view aBytes, MessageSinkI& aSink) override
  {
    std::size_t taken = 0;
    while (taken < aBytes.size()) {
      std::string_view rest = aBytes.substr(taken);
      taken +=
        m_parser == nullptr ? FeedHead(rest, aSink) : FeedBody(rest, aSink);
      if (m_ended) {
        m_ended = false;
        break;
      }
    }
    return taken;
  }

  bool Finish(MessageSinkI& aSink) override
  {
    if (m_parser == nullptr || m_framing != BodyFraming::UntilClose) {
      return false;
    }
    End(aSink);
    return true;
  }

  bool IsInside() const override
  {
    return m_parser != nullptr || !m_pending.empty();
  }

private:
  using MessageParser = Parser<isRequest>;

  /// Collects bytes up to the end of the head, then parses the head at once.
  std::size_t FeedHead(std::string_view aBytes, MessageSinkI& aSink)
  {
    std::size_t skipped = 0;
    if (m_pending.empty()) {
      skipped = std::min(aBytes.find_first_not_of("\r\n"), aBytes.size());
    }
    m_bytesBeforeHead += skipped;
    std::size_t before = m_pending.size();
    // No head that is taken ends later.
    std::string_view head =
      aBytes.substr(skipped, m_maxHead + kHeadEnd.size() - before);
    std::string pending = std::exchange(m_pending, {});
    if (before > 0) {
      head = pending.append(head);
    }
    std::size_t from = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
    std::size_t end = head.find(kHeadEnd, from);
    if (m_bytesBeforeHead + std::min(end, head.size()) > m_maxHead) {
      throw Error(ErrorKind::HeadTooLarge,
                  "the message's head exceeds " + std::to_string(m_maxHead) +
                    " bytes",
                  "Send fewer or shorter header fields.");
    }
    if (end == std::string_view::npos) {
      m_pending = before > 0 ? std::move(pending) : std::string(head);
      return aBytes.size();
    }
    std::size_t size = end + kHeadEnd.size();
    ParseHead(head.substr(0, size), aSink);
    return skipped + size - before;
  }

  void ParseHead(std::string_view aHead, MessageSinkI& aSink)
  {
    if (HasFoldedLine(aHead)) {
      Refuse("a header field continues on the next line");
    }
    auto parser = std::make_unique<MessageParser>();
    if constexpr (!isRequest) {
      parser->skip(m_toHead);
    }
    parser->m_sink = &aSink;
    ParserError error;
    std::size_t used =
      parser->put(boost::asio::buffer(aHead.data(), aHead.size()), error);
    if ((error && error != http::error::need_more) || used != aHead.size() ||
        !parser->is_header_done()) {
      Refuse("the message's head is malformed: " + error.message());
    }
    CheckFraming(parser->m_head);
    m_parser = std::move(parser);
    m_bytesBeforeHead += aHead.size();
    PassHead(aSink);
  }

  /// Passes the parsed head to aSink, unless it is that of an interim answer.
  void PassHead(MessageSinkI& aSink)
  {
    ParsedHead& parsed = m_parser->m_head;
    m_framing = FramingOf();
    std::uint64_t length = m_parser->content_length().value_or(0);
    if constexpr (isRequest) {
      CheckRequest(parsed);
      const std::string* expect = FindField(parsed.m_fields, "expect");
      aSink.OnRequestHead(
        { .m_method = parsed.m_method,
          .m_target = parsed.m_target,
          .m_fields = parsed.m_fields,
          .m_framing = m_framing,
          .m_length = length,
          .m_keepAlive = m_parser->keep_alive(),
          .m_expectsContinue = expect && SameFieldName(*expect, "100-continue"),
          .m_oldVersion = parsed.m_version == kHttp10 });
    } else {
      if (parsed.m_status < kLowestStatus || parsed.m_status > kHighestStatus) {
        Refuse("the status " + std::to_string(parsed.m_status) + " is none");
      }
      if (parsed.m_status < 200) {
        m_parser.reset();
        return;
      }
      aSink.OnAnswerHead({ .m_status = parsed.m_status,
                           .m_reason = parsed.m_reason,
                           .m_fields = parsed.m_fields,
                           .m_framing = m_framing,
                           .m_length = length,
                           .m_keepAlive = m_parser->keep_alive() });
    }
    m_bytesBeforeHead = 0;
    if (m_parser->is_done()) {
      End(aSink);
    }
  }

  BodyFraming FramingOf() const
  {
    if (m_parser->is_done()) {
      return BodyFraming::None;
    }
    if (m_parser->chunked()) {
      return BodyFraming::Chunked;
    }
    return m_parser->need_eof() ? BodyFraming::UntilClose : BodyFraming::Length;
  }

  std::size_t FeedBody(std::string_view aBytes, MessageSinkI& aSink)
  {
    m_parser->m_sink = &aSink;
    std::size_t before = m_pending.size();
    std::string joined = std::exchange(m_pending, {}); // gives up its memory
    if (before > 0) {
      aBytes = joined.append(aBytes);
    }
    std::size_t used = 0;
    while (used < aBytes.size() && !m_parser->is_done()) {
      ParserError error;
      std::size_t count = m_parser->put(
        boost::asio::buffer(aBytes.data() + used, aBytes.size() - used), error);
      used += count;
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        Refuse("the message's body is malformed: " + error.message());
      }
    }
    if (m_parser->is_done()) {
      End(aSink);
      return used - before;
    }
    m_pending = aBytes.substr(used);
    if (m_pending.size() > kMaxChunkLineBytes) {
      Refuse("a chunk's header or a trailer is too long");
    }
    return aBytes.size() - before;
  }

  void End(MessageSinkI& aSink)
  {
    m_parser.reset();
    m_ended = true;
    aSink.OnEnd();
  }

  static constexpr std::string_view kHeadEnd = "\r\n\r\n";
  static constexpr std::size_t kMaxChunkLineBytes = 16u << 10;

  std::size_t m_maxHead;
  bool m_toHead;
  /// Of empty lines and interim answers, which have no end at a faulty sender.
  std::size_t m_bytesBeforeHead{ 0 };
  std::string m_pending; ///< unfinished head, chunk header or trailer
  std::unique_ptr<MessageParser> m_parser;
  BodyFraming m_framing{ BodyFraming::None };
  bool m_ended{ false };
};

} // namespace

std::unique_ptr<MessageReaderI>
MakeRequestReader(std::size_t aMaxHead)
{
  return std::make_unique<Reader<true>>(aMaxHead, false);
}

std::unique_ptr<MessageReaderI>
MakeAnswerReader(std::size_t aMaxHead, bool aToHead)
{
  return std::make_unique<Reader<false>>(aMaxHead, aToHead);
}

} // namespace shallotford
