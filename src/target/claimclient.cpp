#include "target/claimclient.h"

#include "control/groupplan.h"

namespace mimosarun {

static wire::Command
MakeCommand(wire::CommandKind::type aKind, const ClaimRequest& aClaim)
{
  wire::Command command;
  command.kind = aKind;
  command.key = aClaim.service + "/" + aClaim.key;
  command.token = aClaim.token;
  command.fingerprint = aClaim.fingerprint;
  command.atMicros = WallNow().time_since_epoch().count();
  return command;
}

ClaimClient::ClaimClient(GroupClient& aClient)
  : m_client(aClient)
{
}

ClaimResult
ClaimClient::Claim(const ClaimRequest& aClaim, Deadline aDeadline)
{
  const wire::Command command = MakeCommand(wire::CommandKind::Claim, aClaim);
  const wire::CommandResult result = m_client.Submit(ClaimGroupName(aClaim.homeRegion), command, aDeadline);
  switch (result.code) {
    case wire::ResultCode::Done:
      return { .status = ClaimStatus::Granted };
    case wire::ResultCode::Invalid:
      return { .status = ClaimStatus::Mismatch };
    case wire::ResultCode::Taken:
      if (result.finished) {
        return { .status = ClaimStatus::Completed,
                 .response = { .status = result.status,
                               .headers = { { .name = "Content-Type", .value = result.contentType } },
                               .body = result.body } };
      }
      return { .status = ClaimStatus::HeldByOther };
    default:
      return { .status = ClaimStatus::Unavailable };
  }
}

bool
ClaimClient::Complete(const ClaimRequest& aClaim, const HttpResponse& aResponse, Deadline aDeadline)
{
  wire::Command command = MakeCommand(wire::CommandKind::Complete, aClaim);
  command.status = aResponse.status;
  command.contentType = FindHeader(aResponse.headers, "Content-Type");
  command.body = aResponse.body;
  return m_client.Submit(ClaimGroupName(aClaim.homeRegion), command, aDeadline).code ==
         wire::ResultCode::Done;
}

bool
ClaimClient::Release(const ClaimRequest& aClaim, Deadline aDeadline)
{
  const wire::Command command = MakeCommand(wire::CommandKind::Release, aClaim);
  return m_client.Submit(ClaimGroupName(aClaim.homeRegion), command, aDeadline).code ==
         wire::ResultCode::Done;
}

} // namespace mimosarun
