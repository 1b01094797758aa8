#pragma once

#include "common/address.h"
#include "http/server.h"
#include "target/targetwatch.h"

#include <memory>
#include <string>

namespace mimosarun {

/** Receives the announcements that targets send as heartbeats: POST /v1/announce with a JSON body. */
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

/** Parses the JSON of an announcement and checks its fields. */
Result<TargetState>
ParseAnnouncement(const std::string& aBody);

} // namespace mimosarun
