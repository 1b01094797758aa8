#pragma once

#include "common/error.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A named group of interchangeable targets. */
struct Service
{
  std::string name;
  /** Region whose quorum stores the idempotency keys of this service; empty if it uses none. */
  std::string homeRegion;
  /** Path of the health check of its targets; empty if they have none. */
  std::string healthPath;
  /** Maximum number of connections that one target accepts from all nodes in total. */
  int64_t maxConnections = 1024;
};

/** Whether a request of a route may run more than once. */
enum class RepeatPolicy
{
  /** Repeated runs do no harm, so a request may be sent again. */
  Idempotent,
  /** The idempotency key that the caller sends with a request is claimed before the request runs. */
  Keyed,
  /** Each request runs at most once; if the caller repeats it, that is another request. */
  AtMostOnce,
};

/** The share of a route's requests that goes to one service. */
struct RouteShare
{
  std::string service;
  /** Relative to the weights of the other shares. */
  int64_t weight = 1;
};

/** Limits and timeouts for callers' requests and connections. */
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

/** A limit on concurrent calls that several routes can share. */
struct ConcurrencyLimit
{
  std::string name;
  /** Maximum calls in flight that one node accepts on all routes with this limit in total. */
  int64_t maxInFlight = 0;
};

/** A group of callers with common credentials, quota and priority. */
struct Team
{
  std::string name;
  /** SHA-256 digests of its keys, in lower-case hexadecimal. */
  std::vector<std::string> keyDigests;
  /** Rank among the teams; zero is the most urgent. */
  int64_t priority = 0;
  /** Requests per second that all nodes together accept; zero means no limit. */
  double requestsPerSecond = 0;
  /** Requests that may exceed the rate at once. */
  double burst = 0;
};

/** Defines which requests go to which services, and the rules for their calls. */
struct Route
{
  std::string name;
  /** Host header to match; empty matches all. */
  std::string host;
  std::string pathPrefix;
  /** Methods to match; empty matches all. */
  std::vector<std::string> methods;
  /** Services that receive the requests; at least one. */
  std::vector<RouteShare> shares;
  std::chrono::milliseconds timeout{ 0 };
  RepeatPolicy repeatPolicy = RepeatPolicy::Keyed;
  CallClass callClass = CallClass::Short;
  /** Time that a call is expected to hold a slot. */
  std::chrono::milliseconds expectedCost{ 0 };
  /** Maximum number of attempts after the first, each on another target. */
  int64_t retries = 0;
  /** Time within which the caller should receive the response; zero means the timeout. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Rank among the routes of a service; zero is the most urgent. */
  int64_t priority = 1;
  /** Delay after which a second attempt runs concurrently with the first; zero means never. */
  std::chrono::milliseconds hedgeAfter{ 0 };
  /** Name of a ConcurrencyLimit; empty means none. */
  std::string limit;
  /** Whether requests need no key although the configuration has teams. */
  bool isPublic = false;

  bool Idempotent() const { return repeatPolicy == RepeatPolicy::Idempotent; }
};

/** The state that operators requested for a target. */
enum class TargetIntent
{
  Serving,
  Draining,
  Stopped,
};

/** A complete configuration; immutable once built. */
struct Configuration
{
  std::map<std::string, Service> services;
  std::map<std::string, ConcurrencyLimit> limits;
  /** Sorted by the length of the path prefix, longest first. */
  std::vector<Route> routes;
  std::map<std::string, TargetIntent> targets;
  CallerLimits callerLimits;
  /** Whether callers must present a team's key. */
  bool hasTeams = false;
  std::map<std::string, Team> teams;
  /** Names of the teams by the digests of their keys. */
  std::map<std::string, std::string> teamByKeyDigest;
};

/**
 * A format of configuration documents. Parse() reads and validates a complete document; RedactKeys() returns
 * a valid document with each key of a team replaced by its marked digest, or nothing if there are no teams.
 */
template<typename Format>
concept ConfigurationFormat = requires(const std::string& aText)
{
  {
    Format::Parse(aText)
    } -> std::same_as<Result<Configuration>>;
  {
    Format::RedactKeys(aText)
    } -> std::same_as<std::optional<std::string>>;
};

/** The parser of the ConfigurationFormat that is chosen when the process starts. */
using DocumentParser = std::function<Result<Configuration>(const std::string& aText)>;

template<ConfigurationFormat Format>
DocumentParser
ParserOf()
{
  return [](const std::string& aText) { return Format::Parse(aText); };
}

/** RedactKeys() of the ConfigurationFormat that is chosen when the process starts. */
using KeyRedactor = std::function<std::optional<std::string>(const std::string& aText)>;

template<ConfigurationFormat Format>
KeyRedactor
RedactorOf()
{
  return [](const std::string& aText) { return Format::RedactKeys(aText); };
}

/** The format of the product's own documents: JSON with comments. */
struct NativeFormat
{
  static Result<Configuration> Parse(const std::string& aText);
  static std::optional<std::string> RedactKeys(const std::string& aText);
};

/** The author of a document; only control may include target states. */
enum class DocumentOrigin
{
  Operator,
  Control,
};

/**
 * Parses and validates a configuration document; aSource names it in errors. Routes must refer to services
 * and limits of the same document.
 */
Result<Configuration>
ParseConfiguration(const std::string& aText, const std::string& aSource, DocumentOrigin aOrigin);

/** Returns the first route that matches a request, or nullptr if there is none. */
const Route*
FindRoute(const Configuration& aConfiguration,
          const std::string& aHost,
          const std::string& aPath,
          const std::string& aMethod);

/** Returns a document as control and nodes hash it: without comments and with sorted keys. */
Result<std::string>
CanonicalText(const std::string& aText, const std::string& aSource);

const char*
Name(TargetIntent aIntent);
const char*
Name(CallClass aClass);
const char*
Name(RepeatPolicy aPolicy);

} // namespace mimosarun
