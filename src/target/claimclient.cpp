#include "target/claimclient.h"

#include "control/groupplan.h"

namespace mimosarun {

static wire::Command
MakeCommand(wire::CommandKind::type aKind, const ClaimRequest& aKey)
{
  wire::Command command;
  command.kind = aKind;
  command.key = aKey.service + "/" + aKey.key;
  command.token = aKey.token;
  command.fingerprint = aKey.fingerprint;
  command.atMicros = WallNow().time_since_epoch().count();
  return command;
}

ClaimClient::ClaimClient(GroupClient& aClient)
  : m_client(aClient)
{
}

ClaimResult
ClaimClient::Claim(const ClaimRequest& aKey, Deadline aDeadline)
{
  const wire::Command command = MakeCommand(wire::CommandKind::Claim, aKey);
  const wire::CommandResult result = m_client.Submit(ClaimGroupName(aKey.homeRegion), command, aDeadline);
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
ClaimClient::Complete(const ClaimRequest& aKey, const HttpResponse& aAnswer, Deadline aDeadline)
{
  wire::Command command = MakeCommand(wire::CommandKind::Complete, aKey);
  command.status = aAnswer.status;
  command.contentType = FindHeader(aAnswer.headers, "Content-Type");
  command.body = aAnswer.body;
  return m_client.Submit(ClaimGroupName(aKey.homeRegion), command, aDeadline).code == wire::ResultCode::Done;
}

bool
ClaimClient::Release(const ClaimRequest& aKey, Deadline aDeadline)
{
  const wire::Command command = MakeCommand(wire::CommandKind::Release, aKey);
  return m_client.Submit(ClaimGroupName(aKey.homeRegion), command, aDeadline).code == wire::ResultCode::Done;
}

} // namespace mimosarun
