#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosarun {

/** Results of recent requests, so that a resent request gets the first answer. Holds a bounded number. */
class ResultCache
{
public:
  /** The stored result of a request, if it is still known. */
  std::optional<wire::CommandResult> Find(const std::string& aRequestId) const;

  /** Stores the result of a request; requests without an identifier are not stored. */
  void Store(const std::string& aRequestId, const wire::CommandResult& aResult);

  /** All results, the oldest first. */
  std::vector<wire::StoredResult> Image() const;

  void Restore(const std::vector<wire::StoredResult>& aImage);

private:
  std::unordered_map<std::string, wire::CommandResult> m_results;
  std::deque<std::string> m_insertionOrder;
};

} // namespace mimosarun
