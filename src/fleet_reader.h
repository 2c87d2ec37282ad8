#ifndef SHALLOTFORD_SRC_FLEET_READER_H
#define SHALLOTFORD_SRC_FLEET_READER_H

/// Reads typed members of the JSON configuration texts (settings and fleet
/// text) and collects all problems, each with the line and the path of its
/// field.

#include "shallotford/base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// How members are handled that this version doesn't know.
enum class UnknownFields
{
  Refuse,
  Warn,
};

/// A JSON document that is being checked, with the problems found so far.
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

/// Smallest and largest accepted value of a number.
template<class Number>
struct Range
{
  Number m_min;
  Number m_max;
};

/// Reads the members of one JSON object. If a member is absent or invalid, the
/// output keeps its value.
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
  /// Reads an object whose values are strings.
  void Read(const char* aField, std::map<std::string, std::string>& aOut);
  /// Reads an "IP:PORT" string.
  void ReadAddress(const char* aField, std::string& aOut, Presence aPresence);

  /// Reads a whole number in the unit of aOut's type.
  template<class Rep, class Period>
  void Read(const char* aField,
            std::chrono::duration<Rep, Period>& aOut,
            Range<std::uint64_t> aRange)
  {
    auto count = static_cast<std::uint64_t>(aOut.count());
    Read(aField, count, aRange);
    aOut = std::chrono::duration<Rep, Period>(static_cast<Rep>(count));
  }

  /// Reads a name from aChoices, which are {name, value} pairs, and sets aOut
  /// to its value.
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

  /// Adds a problem or a warning for each member that was not read, as chosen
  /// by UnknownFields.
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
  std::set<std::string> m_readFields;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_FLEET_READER_H
