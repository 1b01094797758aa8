#pragma once

// Configurations of the scripts of the second review.

#include <string>
#include <vector>

namespace review {

struct RouteText
{
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeoutMillis = 1500;
  int maxAttempts = 2;
};

inline constexpr const char* kHost = "desk.example";

/** Returns a configuration; further members, such as tenants, are appended as they are. */
inline std::string
ConfigurationText(int aVersion,
                  const std::vector<RouteText>& aRoutes,
                  const std::vector<std::string>& aServices,
                  const std::string& aFurther = {})
{
  std::string routes;
  for (const RouteText& route : aRoutes) {
    routes += (routes.empty() ? "" : ",");
    routes += "{\"name\":\"" + route.name + "\",\"host\":\"" + kHost + "\",\"pathPrefix\":\"" + route.prefix +
              "\",\"kind\":\"" + route.kind + "\",\"timeout\":\"" + std::to_string(route.timeoutMillis) +
              "ms\",\"targetLatency\":\"600ms\",\"priority\":1,\"service\":\"" + route.service +
              "\",\"maxAttempts\":" + std::to_string(route.maxAttempts) + "}";
  }
  std::string services;
  for (const std::string& service : aServices) {
    services += (services.empty() ? "" : ",");
    services += "{\"name\":\"" + service +
                "\",\"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":\"r" + std::to_string(aVersion) + "\",\"routes\":[" + routes + "],\"services\":[" +
         services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
         "\"idleTimeout\":\"15000ms\"}" +
         aFurther + "}";
}

} // namespace review
