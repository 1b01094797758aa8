#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosarun {

/** Bounded cache of the results of recent requests, so that a retried request gets the original result. */
class ResultCache
{
public:
  /** Returns the result of a request, or nullopt if it isn't cached. */
  std::optional<wire::CommandResult> Find(const std::string& aRequestId) const;

  /** Stores the result of a request; ignores requests without an identifier. */
  void Store(const std::string& aRequestId, const wire::CommandResult& aResult);

  /** Returns all results, oldest first. */
  std::vector<wire::StoredResult> Image() const;

  void Restore(const std::vector<wire::StoredResult>& aImage);

private:
  std::unordered_map<std::string, wire::CommandResult> m_results;
  std::deque<std::string> m_insertionOrder;
};

} // namespace mimosarun
