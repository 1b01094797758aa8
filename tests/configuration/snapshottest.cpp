#define BOOST_TEST_MODULE snapshot
#include "configuration/snapshot.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace mimosarun;

/** Returns a valid document with a service and a route for each number. */
static std::string
MakeDocument(const std::vector<uint8_t>& aNumbers)
{
  nlohmann::json document{ { "services", { { "s0", { { "homeRegion", "east" } } } } },
                           { "routes", nlohmann::json::object() } };
  for (const uint8_t number : aNumbers) {
    const std::string name = std::to_string(number);
    document["services"]["s" + name] = { { "homeRegion", number % 2 == 0 ? "east" : "west" } };
    document["routes"]["r" + name] = { { "pathPrefix", "/" + name },
                                       { "service", "s" + name },
                                       { "retries", number % 5 } };
  }
  return document.dump();
}

static SnapshotPointer
MakeTestSnapshot(int64_t aVersion, const std::vector<uint8_t>& aNumbers)
{
  return MakeSnapshot(aVersion, MakeDocument(aNumbers)).value();
}

RC_BOOST_PROP(a_delta_and_a_full_update_lead_to_the_same_snapshot,
              (std::vector<uint8_t> aFirst, std::vector<uint8_t> aSecond))
{
  const SnapshotPointer from = MakeTestSnapshot(1, aFirst);
  const SnapshotPointer to = MakeTestSnapshot(2, aSecond);
  const auto delta = ApplyUpdate(*from, MakeDeltaUpdate(*from, *to));
  const auto full = ApplyUpdate(*from, MakeFullUpdate(*to));
  RC_ASSERT(delta.has_value() && full.has_value());
  RC_ASSERT(delta.value()->text == to->text && full.value()->hash == to->hash);
}

RC_BOOST_PROP(any_version_can_be_updated_to_the_newest, (std::vector<std::vector<uint8_t>> aDocuments))
{
  std::vector<SnapshotPointer> versions{ EmptySnapshot() };
  UpdateHistory history;
  for (const auto& numbers : aDocuments) {
    versions.push_back(MakeTestSnapshot(static_cast<int64_t>(versions.size()), numbers));
    history.Add(*versions.back());
  }
  for (const SnapshotPointer& held : versions) {
    if (held == versions.back()) {
      continue;
    }
    const auto updated = ApplyUpdate(*held, history.UpdateFrom(held->version, *versions.back()));
    RC_ASSERT(updated.has_value());
    RC_ASSERT(updated.value()->text == versions.back()->text);
  }
}

RC_BOOST_PROP(a_corrupt_update_is_rejected_or_leads_to_the_same_text, (uint16_t aPosition, uint8_t aByte))
{
  const SnapshotPointer from = MakeTestSnapshot(1, { 1, 2, 3 });
  const SnapshotPointer to = MakeTestSnapshot(2, { 2, 3, 4 });
  wire::ConfigurationUpdate update = MakeDeltaUpdate(*from, *to);
  char& corruptByte = update.payload[aPosition % update.payload.size()];
  RC_PRE(corruptByte != static_cast<char>(aByte));
  corruptByte = static_cast<char>(aByte);
  const auto applied = ApplyUpdate(*from, update);
  RC_ASSERT(!applied.has_value() || applied.value()->text == to->text);
}

BOOST_AUTO_TEST_CASE(an_older_or_equal_version_is_rejected)
{
  const SnapshotPointer held = MakeTestSnapshot(5, { 1 });
  BOOST_TEST(!ApplyUpdate(*held, MakeFullUpdate(*MakeTestSnapshot(4, { 2 }))));
  BOOST_TEST(!ApplyUpdate(*held, MakeFullUpdate(*MakeTestSnapshot(5, { 2 }))));
}

BOOST_AUTO_TEST_CASE(an_update_from_another_version_is_rejected)
{
  const SnapshotPointer held = MakeTestSnapshot(3, { 1 });
  BOOST_TEST(!ApplyUpdate(*held, MakeDeltaUpdate(*MakeTestSnapshot(2, { 1 }), *MakeTestSnapshot(4, { 2 }))));
}

BOOST_AUTO_TEST_CASE(a_full_update_with_a_route_to_an_unknown_service_is_rejected)
{
  const std::string text = R"({"services":{},"routes":{"r":{"pathPrefix":"/x","service":"gone"}}})";
  const Snapshot invalid = *MakeValidatedSnapshot(9, text);
  BOOST_TEST(!ApplyUpdate(*MakeTestSnapshot(3, { 1 }), MakeFullUpdate(invalid)));
}
