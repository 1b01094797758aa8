#include "settings/jsonreader.h"

#include <algorithm>
#include <stdexcept>

namespace mimosarun {

/** Objects and lists inside one another. The library writes and compares documents by recursion. */
static constexpr int kMaximumDepth = 64;

/** Says that a document is nested too deeply. */
class NestingError : public std::runtime_error
{
public:
  NestingError()
    : std::runtime_error("is nested more than " + std::to_string(kMaximumDepth) + " levels deep; flatten it")
  {
  }
};

/** A parser callback that finds duplicate keys in objects, and throws NestingError. */
class DuplicateKeyFinder
{
public:
  bool operator()(int aDepth, nlohmann::json::parse_event_t aEvent, nlohmann::json& aParsed)
  {
    using Event = nlohmann::json::parse_event_t;
    if (aDepth > kMaximumDepth) {
      throw NestingError();
    }
    if (aEvent == Event::object_start) {
      m_openObjects.emplace_back();
    } else if (aEvent == Event::object_end) {
      m_openObjects.pop_back();
    } else if (aEvent == Event::key && !m_openObjects.back().insert(aParsed.get<std::string>()).second) {
      m_duplicateKey = aParsed.get<std::string>();
    }
    return true;
  }

  const std::string& DuplicateKey() const { return m_duplicateKey; }

private:
  std::vector<std::set<std::string>> m_openObjects;
  std::string m_duplicateKey;
};

/** Removes the excerpt of the text that nlohmann::json appends; it may contain a team's key. */
static void
RemoveExcerpt(std::string& aMessage)
{
  const size_t begin = aMessage.find("; last read: '");
  const size_t end = aMessage.rfind('\'');
  if (begin != std::string::npos && end != std::string::npos) {
    aMessage.erase(begin, end + 1 - begin);
  }
}

Result<nlohmann::json>
ParseJson(const std::string& aText, const std::string& aSource)
{
  DuplicateKeyFinder finder;
  try {
    nlohmann::json document = nlohmann::json::parse(aText, std::ref(finder), true, true);
    if (!finder.DuplicateKey().empty()) {
      return Fail(ErrorKind::InvalidInput,
                  aSource + ": the name '" + finder.DuplicateKey() +
                    "' occurs twice in one object; rename or remove one");
    }
    return document;
  } catch (const NestingError& error) {
    return Fail(ErrorKind::InvalidInput, aSource + ": " + error.what());
  } catch (const nlohmann::json::parse_error& error) {
    std::string message = error.what();
    message.erase(0, message.find("parse error"));
    RemoveExcerpt(message);
    return Fail(ErrorKind::InvalidInput, aSource + ": " + message + "; correct the text there");
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorKind::InvalidInput, aSource + ": " + error.what() + "; correct the text");
  }
}

void
Problems::Add(const std::string& aPath, const std::string& aMessage)
{
  m_lines.push_back(aPath + ": " + aMessage);
}

bool
Problems::Empty() const
{
  return m_lines.empty();
}

std::string
Problems::Text() const
{
  std::string text;
  for (const std::string& line : m_lines) {
    text += (text.empty() ? "" : "\n") + line;
  }
  return text;
}

JsonReader::JsonReader(const nlohmann::json& aObject, std::string aPath, Problems& aProblems)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_problems(aProblems)
{
  if (!m_object.is_object()) {
    m_problems.Add(m_path, "must be an object; write it in braces");
  }
}

std::string
JsonReader::PathOf(const std::string& aKey) const
{
  return m_path + "." + aKey;
}

const nlohmann::json*
JsonReader::Find(const std::string& aKey)
{
  m_requestedKeys.insert(aKey);
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto member = m_object.find(aKey);
  return member == m_object.end() ? nullptr : &*member;
}

bool
JsonReader::Has(const std::string& aKey) const
{
  return m_object.is_object() && m_object.contains(aKey);
}

std::string
JsonReader::Text(const std::string& aKey)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    m_problems.Add(PathOf(aKey), "is missing; add a string");
    return {};
  }
  if (!member->is_string() || member->get<std::string>().empty()) {
    m_problems.Add(PathOf(aKey), "must be a string that isn't empty");
    return {};
  }
  return member->get<std::string>();
}

std::string
JsonReader::Text(const std::string& aKey, const std::string& aDefault)
{
  return Has(aKey) ? Text(aKey) : (m_requestedKeys.insert(aKey), aDefault);
}

std::string
JsonReader::OneOf(const std::string& aKey,
                  const std::vector<std::string>& aAllowed,
                  const std::string& aDefault)
{
  std::string text = aDefault.empty() ? Text(aKey) : Text(aKey, aDefault);
  if (!text.empty() && std::find(aAllowed.begin(), aAllowed.end(), text) == aAllowed.end()) {
    std::string choices;
    for (const std::string& allowed : aAllowed) {
      choices += (choices.empty() ? "" : ", ") + allowed;
    }
    m_problems.Add(PathOf(aKey), "'" + text + "' is unknown; use one of: " + choices);
  }
  return text;
}

bool
JsonReader::Flag(const std::string& aKey, bool aDefault)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    return aDefault;
  }
  if (!member->is_boolean()) {
    m_problems.Add(PathOf(aKey), "must be true or false");
    return aDefault;
  }
  return member->get<bool>();
}

int64_t
JsonReader::Integer(const std::string& aKey, int64_t aLow, int64_t aHigh, int64_t aDefault)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    return aDefault;
  }
  const bool valid =
    member->is_number_integer() && member->get<int64_t>() >= aLow && member->get<int64_t>() <= aHigh;
  if (!valid) {
    m_problems.Add(PathOf(aKey),
                   "must be a whole number from " + std::to_string(aLow) + " to " + std::to_string(aHigh));
    return aDefault;
  }
  return member->get<int64_t>();
}

double
JsonReader::Number(const std::string& aKey, double aLow, double aHigh, double aDefault)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    return aDefault;
  }
  const bool valid = member->is_number() && member->get<double>() >= aLow && member->get<double>() <= aHigh;
  if (!valid) {
    m_problems.Add(PathOf(aKey),
                   "must be a number from " + nlohmann::json(aLow).dump() + " to " +
                     nlohmann::json(aHigh).dump());
    return aDefault;
  }
  return member->get<double>();
}

std::chrono::milliseconds
JsonReader::Milliseconds(const std::string& aKey,
                         std::chrono::milliseconds aLow,
                         std::chrono::milliseconds aHigh,
                         std::chrono::milliseconds aDefault)
{
  return std::chrono::milliseconds(Integer(aKey, aLow.count(), aHigh.count(), aDefault.count()));
}

std::vector<std::string>
JsonReader::Texts(const std::string& aKey)
{
  const nlohmann::json* member = Find(aKey);
  std::vector<std::string> strings;
  if (member == nullptr) {
    return strings;
  }
  if (!member->is_array()) {
    m_problems.Add(PathOf(aKey), "must be a list of strings");
    return strings;
  }
  for (const nlohmann::json& element : *member) {
    if (!element.is_string()) {
      m_problems.Add(PathOf(aKey), "must contain only strings");
      return strings;
    }
    strings.push_back(element.get<std::string>());
  }
  return strings;
}

void
JsonReader::ForEach(const std::string& aKey,
                    const std::function<void(const std::string& aName, JsonReader& aReader)>& aVisit)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    return;
  }
  if (!member->is_object()) {
    m_problems.Add(PathOf(aKey), "must be an object of named entries");
    return;
  }
  for (const auto& [name, value] : member->items()) {
    JsonReader reader(value, PathOf(aKey) + "." + name, m_problems);
    aVisit(name, reader);
    reader.ReportUnknownKeys();
  }
}

void
JsonReader::ForEachElement(const std::string& aKey, const std::function<void(JsonReader& aReader)>& aVisit)
{
  const nlohmann::json* member = Find(aKey);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    m_problems.Add(PathOf(aKey), "must be a list");
    return;
  }
  size_t position = 0;
  for (const nlohmann::json& element : *member) {
    JsonReader reader(element, PathOf(aKey) + "[" + std::to_string(position) + "]", m_problems);
    aVisit(reader);
    reader.ReportUnknownKeys();
    ++position;
  }
}

void
JsonReader::ReportUnknownKeys()
{
  if (!m_object.is_object()) {
    return;
  }
  for (const auto& [name, value] : m_object.items()) {
    if (!m_requestedKeys.contains(name)) {
      m_problems.Add(PathOf(name), "is an unknown key; remove it or correct its spelling");
    }
  }
}

} // namespace mimosarun
