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
  /** Give each request its own idempotency key. */
  bool keyed = false;
  std::chrono::milliseconds timeout{ 2000 };
};

/** A stretch of time with a constant rate of calls. */
struct LoadPhase
{
  std::string name;
  std::chrono::milliseconds duration{ 1000 };
  /** Calls a second over all entries. */
  int64_t callsPerSecond = 1;
};

/** What is offered, where and how fast. */
struct Workload
{
  std::vector<Address> entries;
  std::vector<RequestKind> kinds;
  std::vector<LoadPhase> phases;
  uint64_t seed = 1;
};

/** Reads a workload in JSON with comments. */
Result<Workload>
ParseWorkload(const std::string& aText, const std::string& aSource);

} // namespace mimosarun
