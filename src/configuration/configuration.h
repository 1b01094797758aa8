#pragma once

#include "common/error.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** A named group of interchangeable targets. */
struct Service
{
  std::string name;
  /** Region whose quorum holds the idempotency keys of this service. */
  std::string homeRegion;
};

/** Whether a call occupies its target for a short or a long time. */
enum class CallClass
{
  Short,
  Long,
};

/** A shared bound that routes refer to. */
struct Limit
{
  std::string name;
  /** Calls in flight that one node lets in over all routes with this limit. */
  int64_t maxInFlight = 0;
};

/** Which requests go to which service, and under which rules. */
struct Route
{
  std::string name;
  /** Host header to match; empty matches all. */
  std::string host;
  std::string pathPrefix;
  /** Methods to match; empty matches all. */
  std::vector<std::string> methods;
  std::string service;
  std::chrono::milliseconds timeout{ 0 };
  /** Whether running a request twice does no harm. */
  bool idempotent = false;
  CallClass callClass = CallClass::Short;
  std::chrono::milliseconds expectedCost{ 0 };
  /** Attempts after the first, each on another target. */
  int64_t retries = 0;
  /** Wait before a second attempt runs beside the first; zero means never. */
  std::chrono::milliseconds hedgeAfter{ 0 };
  /** Name of a limit; empty means none. */
  std::string limit;
};

/** What operators asked of a target. */
enum class TargetIntent
{
  Serving,
  Draining,
  Stopped,
};

/** One whole configuration; immutable once built. */
struct Configuration
{
  std::map<std::string, Service> services;
  std::map<std::string, Limit> limits;
  /** Longest path prefix first. */
  std::vector<Route> routes;
  std::map<std::string, TargetIntent> targets;
};

/** Who wrote a document decides whether it may hold target states. */
enum class DocumentOrigin
{
  Operator,
  Control,
};

/**
 * Reads and validates a whole configuration document. Every route must refer to a service and a limit of the
 * same document.
 */
Result<Configuration>
ParseConfiguration(const std::string& aText, const std::string& aSource, DocumentOrigin aOrigin);

/** The route of a request, or none. */
const Route*
FindRoute(const Configuration& aConfiguration,
          const std::string& aHost,
          const std::string& aPath,
          const std::string& aMethod);

/** The document's text as control and nodes hash it: no comments, keys in order. */
Result<std::string>
CanonicalText(const std::string& aText, const std::string& aSource);

const char*
Name(TargetIntent aIntent);
const char*
Name(CallClass aClass);

} // namespace mimosarun
