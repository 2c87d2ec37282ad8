/// Strict JSON parsing and compact JSON writing with jsoncpp.

#include "shallotford/base.h"

#include "config.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>

namespace shallotford {

namespace {

Json::CharReaderBuilder
StrictReader()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder.settings_["strictRoot"] = false;
  builder.settings_["stackLimit"] = static_cast<int>(kMaxJsonDepth);
  return builder;
}

[[noreturn]] void
ThrowBadJson(std::string aDetail)
{
  std::replace(aDetail.begin(), aDetail.end(), '\n', ' ');
  throw Error(ErrorKind::InvalidRequest,
              "malformed JSON: " + aDetail,
              "Send one strict JSON value: no comments, no duplicate keys, no "
              "trailing text.");
}

} // namespace

Json::Value
ParseJson(std::string_view aText)
{
  static const Json::CharReaderBuilder sBuilder = StrictReader();
  std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  Json::Value value;
  std::string problems;
  bool parsed = false;
  try {
    parsed = reader->parse(
      aText.data(), aText.data() + aText.size(), &value, &problems);
  } catch (const Json::Exception& exception) {
    ThrowBadJson(exception.what());
  }
  if (!parsed) {
    ThrowBadJson(problems);
  }
  return value;
}

std::string
WriteJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder sBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(sBuilder, aValue);
}

std::size_t
LineOfOffset(std::string_view aText, std::size_t aOffset)
{
  std::string_view before = aText.substr(0, std::min(aOffset, aText.size()));
  return 1 + static_cast<std::size_t>(
               std::count(before.begin(), before.end(), '\n'));
}

} // namespace shallotford
