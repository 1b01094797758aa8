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
 * Parses JSON with comments. Duplicate keys are an error, and errors of syntax name the line and the column.
 *
 * @param aSource name of the text in messages, usually a path
 */
Result<nlohmann::json>
ParseJson(const std::string& aText, const std::string& aSource);

/** Collects the errors found in a document; each names the path of the value and the remedy. */
class Problems
{
public:
  void Add(const std::string& aPath, const std::string& aMessage);
  bool Empty() const;

  /** Returns all errors, one per line. */
  std::string Text() const;

private:
  std::vector<std::string> m_lines;
};

/** Reads the members of a JSON object and reports wrong types, values out of range, and unknown keys. */
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aObject, std::string aPath, Problems& aProblems);

  /** Returns the path of a member, for messages. */
  std::string PathOf(const std::string& aKey) const;

  bool Has(const std::string& aKey) const;
  /** Returns a required string that must not be empty. */
  std::string Text(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  /** Returns a string that must be one of those allowed; required if the default is empty. */
  std::string OneOf(const std::string& aKey,
                    const std::vector<std::string>& aAllowed,
                    const std::string& aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  /** Returns an integer in [aLow, aHigh]. */
  int64_t Integer(const std::string& aKey, int64_t aLow, int64_t aHigh, int64_t aDefault);
  /** Returns a number in [aLow, aHigh], which needn't be whole. */
  double Number(const std::string& aKey, double aLow, double aHigh, double aDefault);
  std::chrono::milliseconds Milliseconds(const std::string& aKey,
                                         std::chrono::milliseconds aLow,
                                         std::chrono::milliseconds aHigh,
                                         std::chrono::milliseconds aDefault);
  /** Returns an array of strings; empty if the key is missing. */
  std::vector<std::string> Texts(const std::string& aKey);

  /** Calls a function for each member of a member object that contains objects. */
  void ForEach(const std::string& aKey,
               const std::function<void(const std::string& aName, JsonReader& aReader)>& aVisit);

  /** Calls a function for each object in an array. */
  void ForEachElement(const std::string& aKey, const std::function<void(JsonReader& aReader)>& aVisit);

  /** Reports the members that no call has read. */
  void ReportUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const nlohmann::json& m_object;
  std::string m_path;
  Problems& m_problems;
  std::set<std::string> m_requestedKeys;
};

} // namespace mimosarun
