#pragma once

#include "common/address.h"
#include "http/server.h"
#include "target/targetwatch.h"

#include <memory>
#include <string>

namespace mimosarun {

/** The product's own way for targets to announce themselves: POST /v1/announce with JSON, as a heartbeat. */
class AnnouncementServer
{
public:
  struct Options
  {
    Address address;
    TargetWatch* watch = nullptr;
    EventLoops* loops = nullptr;
  };

  static Result<std::unique_ptr<AnnouncementServer>> Start(Options aOptions);

private:
  explicit AnnouncementServer(Options aOptions);

  void Handle(const ExchangePointer& aExchange);

  Options m_options;
  std::unique_ptr<HttpServer> m_server;
};

/** Reads and checks the JSON of an announcement. */
Result<TargetState>
ParseAnnouncement(const std::string& aBody);

} // namespace mimosarun
