#include "node/peers.h"

namespace mimosarun {

static constexpr size_t kMaximumConnections = 32;
/** Added to a node's name in the address overrides of gates. */
static constexpr const char* kGateOverrideSuffix = "/gate";

PeerConnections::PeerConnections(const ProcessSettings& aSettings)
{
  for (const AddressOverride& entry : aSettings.addressOverrides) {
    m_overrides[entry.peer] = entry.address;
  }
}

Result<std::shared_ptr<NodeClient>>
PeerConnections::ClientFor(const std::string& aName, const std::string& aAddress)
{
  const auto override = m_overrides.find(aName);
  const std::string text = override == m_overrides.end() ? aAddress : override->second.Text();
  const std::lock_guard lock(m_mutex);
  const auto found = m_clients.find(text);
  if (found != m_clients.end()) {
    m_recency.splice(m_recency.begin(), m_recency, found->second.recencyPosition);
    return found->second.client;
  }
  MIMOSARUN_TRY(Address address, ParseAddress(text));
  m_recency.push_front(text);
  auto client = std::make_shared<NodeClient>(std::move(address));
  m_clients[text] = { .client = client, .recencyPosition = m_recency.begin() };
  if (m_clients.size() > kMaximumConnections) {
    m_clients.erase(m_recency.back());
    m_recency.pop_back();
  }
  return client;
}

Result<Address>
PeerConnections::GateAddress(const std::string& aName, const std::string& aAddress) const
{
  const auto override = m_overrides.find(aName + kGateOverrideSuffix);
  if (override != m_overrides.end()) {
    return override->second;
  }
  return ParseAddress(aAddress);
}

} // namespace mimosarun
