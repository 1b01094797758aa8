#pragma once

#include "common/error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * Parses JSON with comments. Refuses duplicate keys and reports the line and column of a fault.
 *
 * @param aSource name of the text in messages, usually a path
 */
Result<nlohmann::json>
ParseJson(const std::string& aText, const std::string& aSource);

/** Faults found while reading a document; each names its path and remedy. */
class Problems
{
public:
  void Add(const std::string& aPath, const std::string& aWhat);
  bool Empty() const;

  /** All faults, one a line. */
  std::string Text() const;

private:
  std::vector<std::string> m_lines;
};

/** Reads the members of one JSON object with checks of type, range and unknown keys. */
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aObject, std::string aPath, Problems& aProblems);

  /** The path of a member in messages. */
  std::string PathOf(const std::string& aKey) const;

  bool Has(const std::string& aKey) const;
  std::string Text(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  std::string OneOf(const std::string& aKey,
                    const std::vector<std::string>& aAllowed,
                    const std::string& aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  int64_t Integer(const std::string& aKey, int64_t aLow, int64_t aHigh, int64_t aDefault);
  std::chrono::milliseconds Milliseconds(const std::string& aKey,
                                         std::chrono::milliseconds aLow,
                                         std::chrono::milliseconds aHigh,
                                         std::chrono::milliseconds aDefault);
  std::vector<std::string> Texts(const std::string& aKey);

  /** Calls a function for each member of an object of objects. */
  void ForEach(const std::string& aKey,
               const std::function<void(const std::string& aName, JsonReader& aReader)>& aVisit);

  /** Calls a function for each element of an array of objects. */
  void ForEachElement(const std::string& aKey, const std::function<void(JsonReader& aReader)>& aVisit);

  /** Reports members that no call has asked for. */
  void ReportUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const nlohmann::json& m_object;
  std::string m_path;
  Problems& m_problems;
  std::set<std::string> m_requestedKeys;
};

} // namespace mimosarun
