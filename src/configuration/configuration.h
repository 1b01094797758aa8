#pragma once

#include "common/error.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** A named group of interchangeable targets. */
struct Service
{
  std::string name;
  /** Region whose quorum holds the idempotency keys of this service; empty where none are used. */
  std::string homeRegion;
  /** Path of the health check of its targets; empty where they have none. */
  std::string healthPath;
  /** Connections that one target accepts from all senders together. */
  int64_t maxConnections = 1024;
};

/** What running a request of a route more than once does. */
enum class RepeatPolicy
{
  /** No harm; a request may be sent again. */
  Idempotent,
  /** The idempotency key that the caller sends with a request is claimed first. */
  Keyed,
  /** Each request of a caller runs at most once; a caller's own repetition is another request. */
  AtMostOnce,
};

/** A part of the requests of a route. */
struct RouteShare
{
  std::string service;
  /** Relative to the weights of the other shares. */
  int64_t weight = 1;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
  int64_t maxHeaderBytes = 16L * 1024;
  int64_t maxBodyBytes = 1024L * 1024;
  std::chrono::milliseconds headerTimeout{ 30000 };
  std::chrono::milliseconds idleTimeout{ 30000 };
};

/** Whether a call occupies its target for a short or a long time. */
enum class CallClass
{
  Short,
  Long,
};

/** A shared bound that routes refer to. */
struct ConcurrencyLimit
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
  /** Where requests go; one share at least. */
  std::vector<RouteShare> shares;
  std::chrono::milliseconds timeout{ 0 };
  RepeatPolicy repeat = RepeatPolicy::Keyed;
  CallClass callClass = CallClass::Short;
  std::chrono::milliseconds expectedCost{ 0 };
  /** Attempts after the first, each on another target. */
  int64_t retries = 0;
  /** Time within which an answer is worth most to its caller; zero means the timeout. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Rank among the routes of a service; zero is the most urgent. */
  int64_t priority = 1;
  /** Wait before a second attempt runs beside the first; zero means never. */
  std::chrono::milliseconds hedgeAfter{ 0 };
  /** Name of a limit; empty means none. */
  std::string limit;

  bool Idempotent() const { return repeat == RepeatPolicy::Idempotent; }
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
  std::map<std::string, ConcurrencyLimit> limits;
  /** Longest path prefix first. */
  std::vector<Route> routes;
  std::map<std::string, TargetIntent> targets;
  CallerLimits callerLimits;
};

/** A format of configuration documents: reads and validates a whole text. */
template<typename Format>
concept ConfigurationFormat = requires(const std::string& aText)
{
  {
    Format::Parse(aText)
    } -> std::same_as<Result<Configuration>>;
};

/** A ConfigurationFormat chosen when the process starts. */
using DocumentParser = std::function<Result<Configuration>(const std::string& aText)>;

template<ConfigurationFormat Format>
DocumentParser
ParserOf()
{
  return [](const std::string& aText) { return Format::Parse(aText); };
}

/** The format of the product's own documents: JSON with comments. */
struct NativeFormat
{
  static Result<Configuration> Parse(const std::string& aText);
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
const char*
Name(RepeatPolicy aPolicy);

} // namespace mimosarun
