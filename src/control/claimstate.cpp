#include "control/claimstate.h"

#include "control/group.h"
#include "wire/codec.h"

namespace mimosarun {

wire::CommandResult
ClaimState::Apply(const wire::LogEntry& aEntry)
{
  const std::lock_guard lock(m_mutex);
  const wire::Command& command = aEntry.command;
  switch (command.kind) {
    case wire::CommandKind::Claim:
      return Claim(command);
    case wire::CommandKind::Complete:
      return Complete(command);
    case wire::CommandKind::Release:
      return Release(command);
    case wire::CommandKind::Expire:
      Expire(command.atMicros);
      return {};
    default:
      return {};
  }
}

wire::CommandResult
ClaimState::Claim(const wire::Command& aCommand)
{
  const auto known = m_claims.find(aCommand.key);
  if (known == m_claims.end()) {
    wire::ClaimRecord record;
    record.key = aCommand.key;
    record.token = aCommand.token;
    record.claimedAtMicros = aCommand.atMicros;
    record.fingerprint = aCommand.fingerprint;
    m_claims.emplace(aCommand.key, std::move(record));
    return {};
  }
  const wire::ClaimRecord& record = known->second;
  if (record.fingerprint != aCommand.fingerprint) {
    return MakeFailedResult(wire::ResultCode::Invalid,
                            "the idempotency key was used for another request; choose a new key");
  }
  if (record.token == aCommand.token && !record.finished) {
    return {};
  }
  wire::CommandResult result =
    MakeFailedResult(wire::ResultCode::Taken, "the idempotency key is already claimed");
  result.finished = record.finished;
  result.status = record.status;
  result.contentType = record.contentType;
  result.body = record.body;
  return result;
}

wire::CommandResult
ClaimState::Complete(const wire::Command& aCommand)
{
  const auto known = m_claims.find(aCommand.key);
  if (known == m_claims.end() || known->second.token != aCommand.token) {
    return MakeFailedResult(wire::ResultCode::Taken, "the claim belongs to another attempt");
  }
  if (!known->second.finished) {
    known->second.finished = true;
    known->second.status = aCommand.status;
    known->second.contentType = aCommand.contentType;
    known->second.body = aCommand.body;
  }
  return {};
}

wire::CommandResult
ClaimState::Release(const wire::Command& aCommand)
{
  const auto known = m_claims.find(aCommand.key);
  const bool ownsOpenClaim =
    known != m_claims.end() && known->second.token == aCommand.token && !known->second.finished;
  if (!ownsOpenClaim) {
    return MakeFailedResult(wire::ResultCode::Taken, "the claim belongs to another attempt or is finished");
  }
  m_claims.erase(known);
  return {};
}

void
ClaimState::Expire(int64_t aBeforeMicros)
{
  std::erase_if(
    m_claims, [aBeforeMicros](const auto& aEntry) { return aEntry.second.claimedAtMicros < aBeforeMicros; });
}

std::string
ClaimState::Image() const
{
  const std::lock_guard lock(m_mutex);
  wire::ClaimImage image;
  for (const auto& [key, record] : m_claims) {
    image.claims.push_back(record);
  }
  return Encode(image);
}

Result<void>
ClaimState::Restore(const std::string& aImage, int64_t /*aIndex*/)
{
  const std::lock_guard lock(m_mutex);
  m_claims.clear();
  if (aImage.empty()) {
    return boost::outcome_v2::success();
  }
  MIMOSARUN_TRY(const wire::ClaimImage image, Decode<wire::ClaimImage>(aImage));
  for (const wire::ClaimRecord& record : image.claims) {
    m_claims[record.key] = record;
  }
  return boost::outcome_v2::success();
}

size_t
ClaimState::Size() const
{
  const std::lock_guard lock(m_mutex);
  return m_claims.size();
}

} // namespace mimosarun
