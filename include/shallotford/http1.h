#ifndef SHALLOTFORD_HTTP1_H
#define SHALLOTFORD_HTTP1_H

/// Readers and writers of HTTP/1.1 messages that keep targets, header names and
/// values byte for byte. They work on bytes without sockets; the parser is that
/// of Boost.Beast.

#include "shallotford/net.h"

namespace shallotford {

/// How the end of a message's body is determined.
enum class BodyFraming
{
  None,       ///< no body
  Length,     ///< content-length
  Chunked,    ///< transfer-encoding: chunked
  UntilClose, ///< end of the connection; answers only
};
std::string_view
ToString(BodyFraming aFraming);

/// The request line and header fields of a request.
struct RequestHead
{
  std::string m_method;
  std::string m_target; ///< path and query, as received
  HttpHeaders m_fields; ///< names as received
  BodyFraming m_framing{ BodyFraming::None };
  std::uint64_t m_length{ 0 }; ///< bytes, for BodyFraming::Length
  bool m_keepAlive{ true };
  bool m_expectsContinue{ false };
  bool m_oldVersion{ false }; ///< HTTP/1.0: its sender can't read chunks
};

/// The status line and header fields of an answer.
struct AnswerHead
{
  int m_status{ 0 };
  std::string m_reason;
  HttpHeaders m_fields; ///< names as received
  BodyFraming m_framing{ BodyFraming::None };
  std::uint64_t m_length{ 0 }; ///< bytes, for BodyFraming::Length
  bool m_keepAlive{ true };
};

/// Returns the value of the first field named aName, compared without regard to
/// case, or nullptr.
const std::string*
FindField(const HttpHeaders& aFields, std::string_view aName);

/// Returns whether two field names are equal, without regard to case.
bool
SameFieldName(std::string_view aLeft, std::string_view aRight);

/// Returns whether a field concerns one connection or the message's framing
/// only and must not be forwarded: "connection", every field that it names,
/// "keep-alive", "transfer-encoding", "content-length" and the like.
bool
IsConnectionField(const HttpHeaders& aFields, std::string_view aName);

/// Receives the parts of a message in order. OnEnd() is called exactly once for
/// a complete message.
class MessageSinkI
{
public:
  virtual ~MessageSinkI() = default;
  virtual void OnRequestHead(const RequestHead& /*aHead*/) {}
  virtual void OnAnswerHead(const AnswerHead& /*aHead*/) {}
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnEnd() = 0;
};

/// Parses the messages of a byte stream, one after the other.
class MessageReaderI
{
public:
  virtual ~MessageReaderI() = default;
  /// Consumes bytes up to the end of the current message.
  /// @return the number of bytes consumed; fewer than given only at the end of
  ///         a message
  /// @throws Error (HeadTooLarge) if the head exceeds the limit, Error
  ///         (InvalidRequest) if the bytes are not a message or its framing is
  ///         ambiguous; the stream must then be closed
  virtual std::size_t Feed(std::string_view aBytes, MessageSinkI& aSink) = 0;
  /// Tells the reader that the stream has ended. If the current message lasts
  /// until the end of the stream (BodyFraming::UntilClose), calls OnEnd().
  /// @return whether the stream's end completed a message
  virtual bool Finish(MessageSinkI& aSink) = 0;
  /// Returns whether at least one byte of an unfinished message was consumed.
  virtual bool IsInside() const = 0;
};

/// Returns a reader of callers' requests. It refuses requests that other
/// recipients could interpret differently.
/// @param aMaxHead  maximum size in bytes of a head without its final empty
///                  line, but with empty lines and interim answers before it
std::unique_ptr<MessageReaderI>
MakeRequestReader(std::size_t aMaxHead);

/// Returns a reader for an upstream's answer to one request. It drops interim
/// answers (1xx).
/// @param aMaxHead  as for MakeRequestReader()
/// @param aToHead   the request's method is HEAD, so the answer has no body
std::unique_ptr<MessageReaderI>
MakeAnswerReader(std::size_t aMaxHead, bool aToHead = false);

/// Returns the head of a request. aFields must contain every field, including
/// those for the framing.
std::string
WriteRequestHead(const std::string& aMethod,
                 const std::string& aTarget,
                 const HttpHeaders& aFields);

/// Writes a message. A short body goes with its head in one write; a long one
/// isn't copied.
void
WriteMessage(StreamI& aStream, std::string aHead, std::string_view aBody);

/// Returns the head of an answer. aFields must contain every field, including
/// those for the framing.
std::string
WriteAnswerHead(int aStatus,
                const std::string& aReason,
                const HttpHeaders& aFields);

/// Returns aBytes as one chunk, or an empty string if aBytes is empty.
std::string
WriteChunk(std::string_view aBytes);

/// The last chunk, which ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of aStatus.
std::string
ReasonPhrase(int aStatus);

} // namespace shallotford

#endif // SHALLOTFORD_HTTP1_H
