#ifndef SHALLOTFORD_SRC_FLEET_READER_H
#define SHALLOTFORD_SRC_FLEET_READER_H

/// Reads typed members of a JSON document and gathers every problem with the
/// line and the path of its field.

#include "shallotford/base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// What happens to members that this version doesn't know.
enum class UnknownFields
{
  Refuse,
  Warn,
};

/// A document under check, with the problems found so far.
class CheckedDocument
{
public:
  /// @param aText  JSON text; must outlive this object
  /// @param aName  file name for messages
  /// @throws Error (InvalidConfig) if aText is not strict JSON
  CheckedDocument(const std::string& aText,
                  std::string aName,
                  UnknownFields aUnknown);

  const Json::Value& Root() const { return m_root; }
  UnknownFields Unknown() const { return m_unknown; }
  const std::vector<std::string>& Warnings() const { return m_warnings; }
  bool HasProblems() const { return !m_problems.empty(); }

  /// Records a problem of the field at aPath, such as "services[0].model".
  void AddProblem(const std::string& aPath,
                  const std::string& aWhat,
                  const std::string& aRemedy);
  void AddWarning(const std::string& aPath, const std::string& aWhat);
  /// @throws Error (InvalidConfig) naming every problem, if there is one
  void ThrowIfProblems() const;

private:
  struct Problem
  {
    std::size_t m_line;
    std::string m_message;
    std::string m_remedy;
  };

  std::size_t LineOf(const std::string& aPath) const;
  std::string Describe(std::size_t aLine,
                       const std::string& aPath,
                       const std::string& aWhat) const;

  const std::string& m_text;
  std::string m_name;
  UnknownFields m_unknown;
  Json::Value m_root;
  std::vector<Problem> m_problems;
  std::vector<std::string> m_warnings;
};

enum class Presence
{
  Required,
  Optional,
};

/// Bounds of a number, both included.
template<class Number>
struct Range
{
  Number m_least;
  Number m_most;
};

/// Reads the members of one JSON object. A member that is absent or wrong
/// leaves the output as it was.
class ObjectReader
{
public:
  ObjectReader(CheckedDocument& aDocument,
               const Json::Value& aValue,
               std::string aPath);

  void Read(const char* aField,
            std::string& aOut,
            Presence aPresence = Presence::Optional);
  void Read(const char* aField, bool& aOut);
  void Read(const char* aField, double& aOut, Range<double> aRange);
  void Read(const char* aField,
            std::uint64_t& aOut,
            Range<std::uint64_t> aRange,
            Presence aPresence = Presence::Optional);
  void Read(const char* aField,
            std::uint32_t& aOut,
            Range<std::uint32_t> aRange);
  void Read(const char* aField, std::int32_t& aOut, Range<std::int32_t> aRange);
  void Read(const char* aField, std::vector<std::string>& aOut);
  /// Reads an object of texts.
  void Read(const char* aField, std::map<std::string, std::string>& aOut);
  /// Reads an "IP:PORT" string.
  void ReadAddress(const char* aField, std::string& aOut, Presence aPresence);

  /// Reads a whole number of Out's own unit.
  template<class Rep, class Period>
  void Read(const char* aField,
            std::chrono::duration<Rep, Period>& aOut,
            Range<std::uint64_t> aRange)
  {
    auto count = static_cast<std::uint64_t>(aOut.count());
    Read(aField, count, aRange);
    aOut = std::chrono::duration<Rep, Period>(static_cast<Rep>(count));
  }

  /// Reads one of aChoices, each a {name, value} pair.
  template<class Choice, class Choices>
  void ReadChoice(const char* aField,
                  Choice& aOut,
                  const Choices& aChoices,
                  Presence aPresence = Presence::Optional)
  {
    std::string text;
    Read(aField, text, aPresence);
    if (text.empty()) {
      return;
    }
    std::string known;
    for (const auto& [name, value] : aChoices) {
      if (text == name) {
        aOut = value;
        return;
      }
      known += known.empty() ? "" : ", ";
      known += "\"" + std::string(name) + "\"";
    }
    Problem(aField, "\"" + text + "\" is unknown", "Use one of " + known + ".");
  }

  /// Calls aRead(ObjectReader&) for the object member aField, if present.
  template<class Reader>
  void ReadObject(const char* aField, Reader&& aRead)
  {
    if (const Json::Value* value = Find(aField, Presence::Optional)) {
      ObjectReader child(m_document, *value, PathOf(aField));
      aRead(child);
      child.Finish();
    }
  }

  /// Calls aRead(ObjectReader&) for each object of the list aField.
  template<class Reader>
  void ReadList(const char* aField, Presence aPresence, Reader&& aRead)
  {
    const Json::Value* list = FindList(aField, aPresence);
    if (list == nullptr) {
      return;
    }
    for (Json::ArrayIndex i = 0; i < list->size(); ++i) {
      std::string path = PathOf(aField) + "[" + std::to_string(i) + "]";
      ObjectReader child(m_document, (*list)[i], path);
      aRead(child);
      child.Finish();
    }
  }

  /// Refuses or warns about the members that were not read.
  void Finish();

private:
  const Json::Value* Find(const char* aField, Presence aPresence);
  const Json::Value* FindList(const char* aField, Presence aPresence);
  std::string PathOf(const std::string& aField) const;
  void Problem(const char* aField,
               const std::string& aWhat,
               const std::string& aRemedy);

  CheckedDocument& m_document;
  const Json::Value& m_value;
  std::string m_path;
  std::set<std::string> m_known;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_FLEET_READER_H
