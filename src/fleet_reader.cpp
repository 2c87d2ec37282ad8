/// Reads typed members of the JSON configuration texts and reports all problems
/// in one error, in the order of lines.

#include "fleet_reader.h"

#include "shallotford/fleet.h"

#include <algorithm>
#include <charconv>

namespace shallotford {

namespace {

constexpr std::size_t kMaxReportedProblems = 20;

/// Returns the line number that a jsoncpp message names, or 1.
std::size_t
LineOfSyntaxError(std::string_view aMessage)
{
  constexpr std::string_view kMark = "Line ";
  std::size_t line = 1;
  std::size_t at = aMessage.find(kMark);
  if (at != std::string_view::npos) {
    const char* end = aMessage.data() + aMessage.size();
    std::from_chars(aMessage.data() + at + kMark.size(), end, line);
  }
  return line;
}

/// Follows one step of a path: a member name or a list index.
const Json::Value*
Step(const Json::Value& aFrom, const std::string& aStep)
{
  if (aFrom.isArray()) {
    Json::ArrayIndex index = 0;
    std::from_chars(aStep.data(), aStep.data() + aStep.size(), index);
    return index < aFrom.size() ? &aFrom[index] : nullptr;
  }
  if (!aFrom.isObject()) {
    return nullptr;
  }
  return aFrom.find(aStep.data(), aStep.data() + aStep.size());
}

template<class Number>
std::string
RangeRemedy(Range<Number> aRange, const char* aWhat)
{
  return std::string("Set ") + aWhat + " from " + std::to_string(aRange.m_min) +
         " to " + std::to_string(aRange.m_max) + ".";
}

} // namespace

CheckedDocument::CheckedDocument(const std::string& aText,
                                 std::string aName,
                                 UnknownFields aUnknown)
  : m_text(aText)
  , m_name(std::move(aName))
  , m_unknown(aUnknown)
{
  try {
    m_root = ParseJson(aText);
  } catch (const Error& error) {
    std::size_t line = LineOfSyntaxError(error.what());
    throw Error(ErrorKind::InvalidConfig,
                Describe(line, "", error.what()),
                error.Remedy());
  }
}

std::size_t
CheckedDocument::LineOf(const std::string& aPath) const
{
  const Json::Value* value = &m_root;
  std::size_t at = 0;
  while (at < aPath.size()) {
    std::size_t end = std::min(aPath.find_first_of(".[]", at), aPath.size());
    const Json::Value* next =
      end == at ? value : Step(*value, aPath.substr(at, end - at));
    if (next == nullptr) {
      break;
    }
    value = next;
    at = end + 1;
  }
  return LineOfOffset(m_text,
                      static_cast<std::size_t>(value->getOffsetStart()));
}

std::string
CheckedDocument::Describe(std::size_t aLine,
                          const std::string& aPath,
                          const std::string& aWhat) const
{
  std::string place = m_name + ":" + std::to_string(aLine) + ": ";
  if (!aPath.empty()) {
    place += "field \"" + aPath + "\": ";
  }
  return place + aWhat;
}

void
CheckedDocument::AddProblem(const std::string& aPath,
                            const std::string& aWhat,
                            const std::string& aRemedy)
{
  std::size_t line = LineOf(aPath);
  m_problems.push_back({ line, Describe(line, aPath, aWhat), aRemedy });
}

void
CheckedDocument::AddWarning(const std::string& aPath, const std::string& aWhat)
{
  m_warnings.push_back(Describe(LineOf(aPath), aPath, aWhat));
}

void
CheckedDocument::ThrowIfProblems() const
{
  if (m_problems.empty()) {
    return;
  }
  std::vector<Problem> problems = m_problems;
  std::stable_sort(problems.begin(),
                   problems.end(),
                   [](const Problem& aLeft, const Problem& aRight) {
                     return aLeft.m_line < aRight.m_line;
                   });
  std::size_t shown = std::min(problems.size(), kMaxReportedProblems);
  std::string what;
  std::string remedy;
  for (std::size_t i = 0; i < shown; ++i) {
    what += (i == 0 ? "" : "\n") + problems[i].m_message;
    if (remedy.find(problems[i].m_remedy) == std::string::npos) {
      remedy += (i == 0 ? "" : " ") + problems[i].m_remedy;
    }
  }
  if (shown < problems.size()) {
    what += "\nand " + std::to_string(problems.size() - shown) + " more";
  }
  throw Error(ErrorKind::InvalidConfig, what, remedy);
}

ObjectReader::ObjectReader(CheckedDocument& aDocument,
                           const Json::Value& aValue,
                           std::string aPath)
  : m_document(aDocument)
  , m_value(aValue)
  , m_path(std::move(aPath))
{
  if (!m_value.isObject()) {
    m_document.AddProblem(
      m_path, "is not an object", "Write an object: {\"name\": value, ...}.");
  }
}

std::string
ObjectReader::PathOf(const std::string& aField) const
{
  return m_path.empty() ? aField : m_path + "." + aField;
}

void
ObjectReader::Problem(const char* aField,
                      const std::string& aWhat,
                      const std::string& aRemedy)
{
  m_document.AddProblem(PathOf(aField), aWhat, aRemedy);
}

const Json::Value*
ObjectReader::Find(const char* aField, Presence aPresence)
{
  m_readFields.insert(aField);
  if (!m_value.isObject()) {
    return nullptr;
  }
  std::string_view name = aField;
  const Json::Value* value =
    m_value.find(name.data(), name.data() + name.size());
  if (value == nullptr && aPresence == Presence::Required) {
    Problem(aField, "is missing", "Add \"" + std::string(aField) + "\".");
  }
  return value;
}

const Json::Value*
ObjectReader::FindList(const char* aField, Presence aPresence)
{
  const Json::Value* list = Find(aField, aPresence);
  if (list == nullptr) {
    return nullptr;
  }
  if (!list->isArray()) {
    Problem(aField, "is not a list", "Write a list: [ ... ].");
    return nullptr;
  }
  return list;
}

void
ObjectReader::Read(const char* aField, std::string& aOut, Presence aPresence)
{
  const Json::Value* value = Find(aField, aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->isString()) {
    Problem(aField, "is not a string", "Write the value in double quotes.");
    return;
  }
  aOut = value->asString();
  if (aOut.empty() && aPresence == Presence::Required) {
    Problem(aField, "is empty", "Give a value.");
  }
}

void
ObjectReader::Read(const char* aField, bool& aOut)
{
  const Json::Value* value = Find(aField, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->isBool()) {
    Problem(aField, "is not a boolean", "Write true or false.");
    return;
  }
  aOut = value->asBool();
}

void
ObjectReader::Read(const char* aField, double& aOut, Range<double> aRange)
{
  const Json::Value* value = Find(aField, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->isNumeric()) {
    Problem(aField, "is not a number", RangeRemedy(aRange, "a number"));
    return;
  }
  double number = value->asDouble();
  if (!(number >= aRange.m_min && number <= aRange.m_max)) {
    Problem(aField,
            std::to_string(number) + " is out of range",
            RangeRemedy(aRange, "a number"));
    return;
  }
  aOut = number;
}

void
ObjectReader::Read(const char* aField,
                   std::uint64_t& aOut,
                   Range<std::uint64_t> aRange,
                   Presence aPresence)
{
  const Json::Value* value = Find(aField, aPresence);
  if (value == nullptr) {
    return;
  }
  std::string remedy = RangeRemedy(aRange, "a whole number");
  if (!value->isNumeric()) {
    Problem(aField, "is not a number", remedy);
    return;
  }
  if (!value->isUInt64()) {
    Problem(aField, "is not a whole number of 0 or more", remedy);
    return;
  }
  std::uint64_t number = value->asUInt64();
  if (number < aRange.m_min || number > aRange.m_max) {
    Problem(aField, std::to_string(number) + " is out of range", remedy);
    return;
  }
  aOut = number;
}

void
ObjectReader::Read(const char* aField,
                   std::uint32_t& aOut,
                   Range<std::uint32_t> aRange)
{
  std::uint64_t number = aOut;
  Read(aField, number, Range<std::uint64_t>{ aRange.m_min, aRange.m_max });
  aOut = static_cast<std::uint32_t>(number);
}

void
ObjectReader::Read(const char* aField,
                   std::int32_t& aOut,
                   Range<std::int32_t> aRange)
{
  const Json::Value* value = Find(aField, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->isInt() || value->asInt() < aRange.m_min ||
      value->asInt() > aRange.m_max) {
    Problem(aField,
            "is not a whole number in range",
            RangeRemedy(aRange, "a whole number"));
    return;
  }
  aOut = value->asInt();
}

void
ObjectReader::Read(const char* aField, std::vector<std::string>& aOut)
{
  const Json::Value* list = FindList(aField, Presence::Optional);
  if (list == nullptr) {
    return;
  }
  for (Json::ArrayIndex i = 0; i < list->size(); ++i) {
    const Json::Value& item = (*list)[i];
    if (!item.isString() || item.asString().empty()) {
      m_document.AddProblem(PathOf(aField) + "[" + std::to_string(i) + "]",
                            "is not a name",
                            "Write a name in double quotes.");
      continue;
    }
    aOut.push_back(item.asString());
  }
}

void
ObjectReader::Read(const char* aField, std::map<std::string, std::string>& aOut)
{
  const Json::Value* object = Find(aField, Presence::Optional);
  if (object == nullptr) {
    return;
  }
  if (!object->isObject()) {
    Problem(aField, "is not an object", "Write {\"NAME\": \"TEXT\"}.");
    return;
  }
  for (const std::string& name : object->getMemberNames()) {
    const Json::Value& text = (*object)[name];
    if (!text.isString() || text.asString().empty()) {
      m_document.AddProblem(PathOf(aField) + "." + name,
                            "is empty or not a string",
                            "Write a string in double quotes.");
      continue;
    }
    aOut[name] = text.asString();
  }
}

void
ObjectReader::ReadAddress(const char* aField,
                          std::string& aOut,
                          Presence aPresence)
{
  Read(aField, aOut, aPresence);
  if (aOut.empty()) {
    return;
  }
  try {
    ParseAddress(aOut);
  } catch (const Error& error) {
    Problem(aField, error.what(), error.Remedy());
  }
}

void
ObjectReader::Finish()
{
  if (!m_value.isObject()) {
    return;
  }
  for (const std::string& name : m_value.getMemberNames()) {
    if (m_readFields.contains(name)) {
      continue;
    }
    if (m_document.Unknown() == UnknownFields::Warn) {
      m_document.AddWarning(PathOf(name), "is unknown to this version");
      continue;
    }
    m_document.AddProblem(PathOf(name),
                          "is unknown",
                          "Remove it, or check its spelling against "
                          "docs/CONFIG.md.");
  }
}

} // namespace shallotford
