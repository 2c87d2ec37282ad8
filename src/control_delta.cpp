/// Makes and applies differences between two texts, and converts fleet texts to
/// and from the JSON in which VMs send them to each other.

#include "shallotford/control/revision.h"

#include "config.h"

#include <unordered_map>

namespace shallotford {

namespace {

/// A run of bytes of a text, cut behind a closing brace or a line end so that
/// the pieces of an unchanged object stay the same.
struct Piece
{
  std::size_t m_offset;
  std::string_view m_text;
};

std::vector<Piece>
SplitText(std::string_view aText)
{
  std::vector<Piece> pieces;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    std::size_t end = aText.find_first_of("\n}", begin);
    end = end == std::string_view::npos ? aText.size() : end + 1;
    pieces.push_back({ begin, aText.substr(begin, end - begin) });
    begin = end;
  }
  return pieces;
}

/// Builds a difference: a list of copies from the old text and of new text.
class DeltaWriter
{
public:
  void Copy(std::size_t aOffset, std::size_t aLength)
  {
    if (m_length > 0 && m_offset + m_length == aOffset) {
      m_length += aLength;
      return;
    }
    Flush();
    m_offset = aOffset;
    m_length = aLength;
  }
  void Insert(std::string_view aText)
  {
    if (m_length > 0) {
      Flush();
    }
    m_inserted += aText;
  }
  Json::Value Finish()
  {
    Flush();
    return std::move(m_delta);
  }
  /// Returns the offset in the old text at which the copy in progress ends.
  std::size_t NextOffset() const { return m_offset + m_length; }

private:
  void Flush()
  {
    if (m_length > 0) {
      Json::Value copy(Json::arrayValue);
      copy.append(static_cast<Json::UInt64>(m_offset));
      copy.append(static_cast<Json::UInt64>(m_length));
      m_delta.append(copy);
      m_length = 0;
    }
    if (!m_inserted.empty()) {
      m_delta.append(m_inserted);
      m_inserted.clear();
    }
  }

  Json::Value m_delta{ Json::arrayValue };
  std::size_t m_offset{ 0 };
  std::size_t m_length{ 0 };
  std::string m_inserted;
};

[[noreturn]] void
ThrowBadTransfer(const char* aWhat)
{
  throw Error(ErrorKind::InvalidRequest,
              std::string("fleet text transfer: ") + aWhat,
              "Ask for the whole text.");
}

bool
IsCopy(const Json::Value& aPiece)
{
  return aPiece.isArray() && aPiece.size() == 2 && aPiece[0].isUInt64() &&
         aPiece[1].isUInt64();
}

std::string
StringMember(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = aValue[aName];
  if (!member.isNull() && !member.isString()) {
    ThrowBadTransfer("a member is not a string");
  }
  return member.asString();
}

} // namespace

Json::Value
MakeTextDelta(const std::string& aOld, const std::string& aNew)
{
  std::string_view old = aOld;
  std::unordered_map<std::string_view, std::size_t> known;
  for (const Piece& piece : SplitText(aOld)) {
    known.emplace(piece.m_text, piece.m_offset);
  }
  DeltaWriter delta;
  for (const Piece& piece : SplitText(aNew)) {
    std::size_t length = piece.m_text.size();
    std::size_t next = delta.NextOffset();
    // A piece that continues the last copy needs no entry of its own.
    if (next < old.size() && old.substr(next, length) == piece.m_text) {
      delta.Copy(next, length);
      continue;
    }
    auto found = known.find(piece.m_text);
    if (found == known.end()) {
      delta.Insert(piece.m_text);
    } else {
      delta.Copy(found->second, length);
    }
  }
  return delta.Finish();
}

std::string
ApplyTextDelta(const std::string& aOld, const Json::Value& aDelta)
{
  if (!aDelta.isArray()) {
    ThrowBadTransfer("the difference is not a list");
  }
  std::string text;
  for (const Json::Value& piece : aDelta) {
    if (piece.isString()) {
      text += piece.asString();
    } else if (IsCopy(piece)) {
      std::uint64_t offset = piece[0].asUInt64();
      std::uint64_t length = piece[1].asUInt64();
      if (offset > aOld.size() || length > aOld.size() - offset) {
        ThrowBadTransfer("a copy lies outside the base");
      }
      text.append(aOld, offset, length);
    } else {
      ThrowBadTransfer("a piece is neither a copy nor text");
    }
    if (text.size() > kMaxFleetTextBytes) {
      ThrowBadTransfer("the text is too long");
    }
  }
  return text;
}

Json::Value
ToJson(const TextTransfer& aTransfer)
{
  Json::Value value(Json::objectValue);
  value["revision"] = static_cast<Json::UInt64>(aTransfer.m_name.m_revision);
  value["fingerprint"] = aTransfer.m_name.m_fingerprint;
  value["platform_version"] = aTransfer.m_platformVersion;
  if (!aTransfer.m_base.empty()) {
    value["base"] = aTransfer.m_base;
  }
  value["content"] = aTransfer.m_content;
  return value;
}

TextTransfer
ParseTextTransfer(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["revision"].isUInt64()) {
    ThrowBadTransfer("it names no revision");
  }
  TextTransfer transfer;
  transfer.m_name.m_revision = aValue["revision"].asUInt64();
  transfer.m_name.m_fingerprint = StringMember(aValue, "fingerprint");
  transfer.m_platformVersion = StringMember(aValue, "platform_version");
  transfer.m_base = StringMember(aValue, "base");
  transfer.m_content = aValue["content"];
  if (transfer.m_base.empty() && !transfer.m_content.isString()) {
    ThrowBadTransfer("it holds no text");
  }
  return transfer;
}

} // namespace shallotford
