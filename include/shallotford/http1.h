#ifndef SHALLOTFORD_HTTP1_H
#define SHALLOTFORD_HTTP1_H

/// HTTP/1.1 messages as they are on the wire: targets, header names and values
/// are kept byte for byte. No sockets; the parser is Boost.Beast's.

#include "shallotford/net.h"

namespace shallotford {

/// How the end of a message's body is known.
enum class BodyFraming
{
  None,       ///< no body
  Length,     ///< content-length
  Chunked,    ///< transfer-encoding: chunked
  UntilClose, ///< the connection's end; answers only
};

/// The first lines of a request.
struct RequestHead
{
  std::string m_method;
  std::string m_target; ///< path and query, as received
  HttpHeaders m_fields; ///< names as received
  BodyFraming m_framing{ BodyFraming::None };
  std::uint64_t m_length{ 0 }; ///< bytes, for BodyFraming::Length
  bool m_keepAlive{ true };
  bool m_expectsContinue{ false };
};

/// The first lines of an answer.
struct AnswerHead
{
  int m_status{ 0 };
  std::string m_reason;
  HttpHeaders m_fields; ///< names as received
  BodyFraming m_framing{ BodyFraming::None };
  std::uint64_t m_length{ 0 }; ///< bytes, for BodyFraming::Length
  bool m_keepAlive{ true };
};

/// Returns the first field named aName in any case, or nullptr.
const std::string*
FindField(const HttpHeaders& aFields, std::string_view aName);

/// Returns whether two field names are the same.
bool
SameFieldName(std::string_view aLeft, std::string_view aRight);

/// Returns whether a field concerns one connection only and is not passed on:
/// "connection", what it names, "keep-alive", "transfer-encoding" and the like.
bool
IsConnectionField(const HttpHeaders& aFields, std::string_view aName);

/// Receives one message's parts in order. Exactly one OnEnd() for a whole one.
class MessageSinkI
{
public:
  virtual ~MessageSinkI() = default;
  virtual void OnRequestHead(const RequestHead& /*aHead*/) {}
  virtual void OnAnswerHead(const AnswerHead& /*aHead*/) {}
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnEnd() = 0;
};

/// Reads one message after the other from a byte stream.
class MessageReaderI
{
public:
  virtual ~MessageReaderI() = default;
  /// Takes bytes up to the end of the message under way.
  /// @return the number of bytes taken; fewer than given only at a message's
  ///         end
  /// @throws Error (HeadTooLarge) if the head exceeds the limit, Error
  ///         (InvalidRequest) if the bytes are no message or its framing is
  ///         ambiguous; the stream must then be closed
  virtual std::size_t Feed(std::string_view aBytes, MessageSinkI& aSink) = 0;
  /// The stream has ended. Returns whether that is the end of a message that
  /// is framed by it, and calls OnEnd() then.
  virtual bool Finish(MessageSinkI& aSink) = 0;
  /// Returns whether a message is under way, its first byte included.
  virtual bool IsInside() const = 0;
};

/// Reads callers' requests. Refuses what peers could understand differently.
/// @param aMaxHead  bytes of a head with its final empty line
std::unique_ptr<MessageReaderI>
MakeRequestReader(std::size_t aMaxHead);

/// Reads answers to one request each. Interim answers (1xx) are dropped.
/// @param aToHead  the request's method is HEAD
std::unique_ptr<MessageReaderI>
MakeAnswerReader(std::size_t aMaxHead, bool aToHead = false);

/// Returns a request's first lines. The caller gives every field, framing
/// included.
std::string
WriteRequestHead(const std::string& aMethod,
                 const std::string& aTarget,
                 const HttpHeaders& aFields);

/// Returns an answer's first lines. The caller gives every field.
std::string
WriteAnswerHead(int aStatus,
                const std::string& aReason,
                const HttpHeaders& aFields);

/// Returns aBytes as one chunk; empty for no bytes.
std::string
WriteChunk(std::string_view aBytes);

/// What ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of aStatus.
std::string
ReasonPhrase(int aStatus);

} // namespace shallotford

#endif // SHALLOTFORD_HTTP1_H
