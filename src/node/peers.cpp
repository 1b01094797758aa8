#include "node/peers.h"

namespace mimosarun {

static constexpr size_t kKeptConnections = 32;
static constexpr const char* kGateSuffix = "/gate";

Peers::Peers(const ProcessSettings& aSettings)
{
  for (const AddressOverride& entry : aSettings.overrides) {
    m_overrides[entry.peer] = entry.address;
  }
}

Result<std::shared_ptr<NodeClient>>
Peers::ToNode(const std::string& aName, const std::string& aAddress)
{
  const auto override = m_overrides.find(aName);
  const std::string text = override == m_overrides.end() ? aAddress : override->second.Text();
  const std::lock_guard lock(m_mutex);
  const auto found = m_kept.find(text);
  if (found != m_kept.end()) {
    m_uses.splice(m_uses.begin(), m_uses, found->second.use);
    return found->second.client;
  }
  MIMOSARUN_TRY(Address address, ParseAddress(text));
  m_uses.push_front(text);
  auto client = std::make_shared<NodeClient>(std::move(address));
  m_kept[text] = { .client = client, .use = m_uses.begin() };
  if (m_kept.size() > kKeptConnections) {
    m_kept.erase(m_uses.back());
    m_uses.pop_back();
  }
  return client;
}

Result<Address>
Peers::GateAddress(const std::string& aName, const std::string& aAddress) const
{
  const auto override = m_overrides.find(aName + kGateSuffix);
  if (override != m_overrides.end()) {
    return override->second;
  }
  return ParseAddress(aAddress);
}

} // namespace mimosarun
