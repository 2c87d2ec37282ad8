/// Tests of the HTTP/1.1 readers: messages that arrive in one piece or in
/// several, body framing, and refusal of ambiguous messages.

#define BOOST_TEST_MODULE http1
#include <boost/test/unit_test.hpp>

#include "shallotford/http1.h"

#include <rapidcheck.h>

#include <malloc.h>

using namespace shallotford;

namespace {

/// Records the parts of the messages that it receives.
struct Recorder : MessageSinkI
{
  void OnRequestHead(const RequestHead& aHead) override { m_request = aHead; }
  void OnAnswerHead(const AnswerHead& aHead) override { m_answer = aHead; }
  void OnBody(std::string_view aBytes) override { m_body += aBytes; }
  void OnEnd() override { ++m_ends; }

  RequestHead m_request;
  AnswerHead m_answer;
  std::string m_body;
  int m_ends{ 0 };
};

constexpr std::size_t kMaxHead = 4'096;

/// Feeds aBytes in pieces of aPiece bytes. @return the bytes consumed
std::size_t
FeedPieces(MessageReaderI& aReader,
           Recorder& aRecorder,
           std::string_view aBytes,
           std::size_t aPiece)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && aRecorder.m_ends == 0) {
    taken += aReader.Feed(aBytes.substr(taken, aPiece), aRecorder);
  }
  return taken;
}

ErrorKind
RefusalOf(const std::string& aRequest)
{
  auto reader = MakeRequestReader(kMaxHead);
  Recorder recorder;
  try {
    reader->Feed(aRequest, recorder);
  } catch (const Error& error) {
    return error.Kind();
  }
  return ErrorKind::Internal;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_kept_byte_for_byte)
{
  const std::string kRequest = "POST /a/%2e%2E//b;c?x=%41&y HTTP/1.1\r\n"
                               "Host: x.example\r\n"
                               "X-OwN-Case:  spaced value \r\n"
                               "Content-Length: 5\r\n\r\nhello";
  for (std::size_t piece = 1; piece <= kRequest.size(); ++piece) {
    auto reader = MakeRequestReader(kMaxHead);
    Recorder recorder;
    std::size_t taken =
      FeedPieces(*reader, recorder, kRequest + "GET / HTTP", piece);
    BOOST_TEST(taken == kRequest.size());
    BOOST_TEST(recorder.m_request.m_target == "/a/%2e%2E//b;c?x=%41&y");
    BOOST_TEST(recorder.m_request.m_fields[1].m_name == "X-OwN-Case");
    BOOST_TEST(recorder.m_request.m_fields[1].m_value == "spaced value");
    BOOST_TEST(recorder.m_body == "hello");
    BOOST_TEST(recorder.m_ends == 1);
  }
}

BOOST_AUTO_TEST_CASE(chunked_bodies_are_decoded_from_pieces_of_any_size)
{
  const std::string kRequest = "POST / HTTP/1.1\r\nHost: x\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\n"
                               "Trailer: t\r\n\r\n";
  for (std::size_t piece = 1; piece <= kRequest.size(); ++piece) {
    auto reader = MakeRequestReader(kMaxHead);
    Recorder recorder;
    std::size_t taken = FeedPieces(*reader, recorder, kRequest + "x", piece);
    BOOST_TEST(taken == kRequest.size());
    BOOST_TEST(recorder.m_body == "hello world");
    BOOST_TEST(recorder.m_request.m_fields.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused)
{
  const std::string kStart = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const char* fields : {
         "Content-Length: 5\r\nContent-Length: 5\r\n",
         "Content-Length: 5, 5\r\n",
         "Content-Length: +5\r\n",
         "Content-Length: -5\r\n",
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: xchunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
         "Content-Length : 5\r\n",
         "X-Folded: a\r\n b\r\n",
         "Host: y\r\n",
         "No-Colon\r\n",
       }) {
    BOOST_TEST(
      (RefusalOf(kStart + fields + "\r\nhello") == ErrorKind::InvalidRequest),
      fields);
  }
  for (const char* request : {
         "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
         "GET  / HTTP/1.1\r\nHost: x\r\n\r\n",
         "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
         "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "zz\r\n",
         "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nhelloX\r\n0\r\n\r\n",
       }) {
    BOOST_TEST((RefusalOf(request) == ErrorKind::InvalidRequest), request);
  }
}

BOOST_AUTO_TEST_CASE(a_too_long_head_is_refused_before_its_end_arrives)
{
  std::string head = "GET / HTTP/1.1\r\nHost: x\r\nX: ";
  BOOST_TEST(
    (RefusalOf(head + std::string(kMaxHead, 'a')) == ErrorKind::HeadTooLarge));
}

BOOST_AUTO_TEST_CASE(a_head_of_very_many_fields_is_refused)
{
  auto request = [](int aFields) {
    std::string text = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (int i = 1; i < aFields; ++i) {
      text += "a:b\r\n";
    }
    return text + "\r\n";
  };
  // What fits 16 KB is served.
  constexpr std::size_t kUsualHead = 16u << 10;
  Recorder usual;
  std::string most = request(3'200);
  BOOST_REQUIRE(most.size() <= kUsualHead);
  MakeRequestReader(kUsualHead)->Feed(most, usual);
  BOOST_TEST(usual.m_request.m_fields.size() == 3'200U);
  constexpr std::size_t kLargeHead = 64u << 10;
  Recorder large;
  MakeRequestReader(kLargeHead)->Feed(request(4'096), large);
  BOOST_TEST(large.m_request.m_fields.size() == 4'096U);
  BOOST_CHECK_EXCEPTION(
    MakeRequestReader(kLargeHead)->Feed(request(4'097), large),
    Error,
    [](const Error& aError) {
      return aError.Kind() == ErrorKind::HeadTooLarge;
    });
}

BOOST_AUTO_TEST_CASE(a_reader_between_messages_holds_little)
{
  constexpr std::size_t kReaders = 50;
  constexpr std::size_t kMost = 1'000; // bytes of each, with its object
  const std::string one =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;" +
    std::string(2'000, 'x') + "\r\nhello\r\n0\r\n\r\n";
  std::string many;
  for (int i = 0; i < 40; ++i) {
    many += one;
  }
  Recorder recorder;
  for (std::size_t piece : { many.size(), std::size_t{ 777 } }) {
    std::vector<std::unique_ptr<MessageReaderI>> readers;
    readers.reserve(kReaders);
    std::size_t before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < kReaders; ++i) {
      readers.push_back(MakeRequestReader(kMaxHead));
      recorder.m_ends = 0;
      std::string_view rest = many;
      while (!rest.empty()) {
        rest.remove_prefix(
          readers.back()->Feed(rest.substr(0, piece), recorder));
      }
      BOOST_TEST(recorder.m_ends == 40);
      recorder = {};
    }
    std::size_t held = ::mallinfo2().uordblks - before;
    BOOST_TEST(held < kReaders * kMost, "pieces of " << piece << ": " << held);
  }
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_not_reported_as_complete)
{
  auto reader = MakeAnswerReader(kMaxHead);
  Recorder recorder;
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", recorder);
  BOOST_TEST(!reader->Finish(recorder));
  BOOST_TEST(recorder.m_ends == 0);

  auto unframed = MakeAnswerReader(kMaxHead);
  Recorder open;
  unframed->Feed("HTTP/1.1 200 OK\r\n\r\nhello", open);
  BOOST_TEST(open.m_ends == 0);
  BOOST_TEST(unframed->Finish(open));
  BOOST_TEST(open.m_body == "hello");
  BOOST_TEST(open.m_ends == 1);

  auto chunked = MakeAnswerReader(kMaxHead);
  Recorder cut;
  chunked->Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nhello\r\n",
                cut);
  BOOST_TEST(!chunked->Finish(cut));
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_inside_its_head_is_none)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    auto reader = MakeAnswerReader(kMaxHead);
    Recorder recorder;
    reader->Feed(head.substr(0, size), recorder);
    BOOST_TEST(!reader->Finish(recorder));
    BOOST_TEST(recorder.m_answer.m_status == 0);
    BOOST_TEST(recorder.m_ends == 0);
  }
}

BOOST_AUTO_TEST_CASE(interim_answers_are_dropped)
{
  auto reader = MakeAnswerReader(kMaxHead);
  Recorder recorder;
  reader->Feed("HTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 204 No Content\r\n\r\n",
               recorder);
  BOOST_TEST(recorder.m_answer.m_status == 204);
  BOOST_TEST(recorder.m_ends == 1);
}

BOOST_AUTO_TEST_CASE(a_status_outside_http_is_no_answer)
{
  for (const char* status : { "000", "099", "600", "999" }) {
    for (const char* after : { "", "HTTP/1.1 200 OK\r\n\r\n" }) {
      auto reader = MakeAnswerReader(kMaxHead);
      Recorder recorder;
      std::string answer =
        std::string("HTTP/1.1 ") + status + " X\r\n\r\n" + after;
      BOOST_CHECK_THROW(reader->Feed(answer, recorder), Error);
      BOOST_TEST(recorder.m_answer.m_status == 0, answer);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_precedes_a_head_has_a_bound)
{
  const std::string answers[] = { "HTTP/1.1 100 Continue\r\n\r\n", "\r\n" };
  for (const std::string& piece : answers) {
    auto reader = MakeAnswerReader(1'000);
    Recorder recorder;
    auto feed = [&] {
      for (std::size_t i = 0; i < 1'000; ++i) {
        reader->Feed(piece, recorder);
      }
    };
    BOOST_CHECK_THROW(feed(), Error);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_has_no_body)
{
  auto reader = MakeAnswerReader(kMaxHead, true);
  Recorder recorder;
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", recorder);
  BOOST_TEST(recorder.m_ends == 1);
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_cause_no_exception_but_error)
{
  BOOST_TEST(rc::check("no other exception", [] {
    auto bytes = *rc::gen::container<std::string>(
      rc::gen::element('\r', '\n', ':', ' ', '0', 'G', 'H', '/', '1', '.'));
    for (bool requests : { true, false }) {
      auto reader =
        requests ? MakeRequestReader(kMaxHead) : MakeAnswerReader(kMaxHead);
      Recorder recorder;
      try {
        std::string_view rest = bytes;
        while (!rest.empty()) {
          std::size_t taken = reader->Feed(rest, recorder);
          RC_ASSERT(taken > 0U);
          rest.remove_prefix(taken);
        }
        reader->Finish(recorder);
      } catch (const Error&) {
        RC_SUCCEED("refused");
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(connection_fields_are_not_forwarded)
{
  HttpHeaders fields{ { "Connection", "keep-alive, X-Hop" },
                      { "X-Hop", "1" },
                      { "X-End", "2" } };
  BOOST_TEST(IsConnectionField(fields, "x-hop"));
  BOOST_TEST(IsConnectionField(fields, "Transfer-Encoding"));
  BOOST_TEST(!IsConnectionField(fields, "X-End"));
}
