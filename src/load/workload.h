#pragma once

#include "common/address.h"
#include "common/error.h"

#include <chrono>
#include <string>
#include <vector>

namespace mimosarun {

/** One kind of request in a workload. */
struct RequestKind
{
  std::string name;
  std::string method;
  std::string path;
  /** Share of the requests, relative to the other kinds. */
  int64_t weight = 1;
  std::string body;
  /** Whether each request has its own idempotency key. */
  bool keyed = false;
  std::chrono::milliseconds timeout{ 2000 };
};

/** A phase with a constant rate of calls. */
struct LoadPhase
{
  std::string name;
  std::chrono::milliseconds duration{ 1000 };
  /** Calls per second at all entries together. */
  int64_t callsPerSecond = 1;
};

/** The requests that a load generator sends, their rates, and the entries that receive them. */
struct Workload
{
  std::vector<Address> entries;
  std::vector<RequestKind> kinds;
  std::vector<LoadPhase> phases;
  uint64_t seed = 1;
};

/** Parses a workload from JSON with comments; aSource names it in error messages. */
Result<Workload>
ParseWorkload(const std::string& aText, const std::string& aSource);

} // namespace mimosarun
