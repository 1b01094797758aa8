#define BOOST_TEST_MODULE snapshot
#include "configuration/snapshot.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace mimosarun;

/** A valid document made of a few numbers. */
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
Make(int64_t aVersion, const std::vector<uint8_t>& aNumbers)
{
  return MakeSnapshot(aVersion, MakeDocument(aNumbers)).value();
}

RC_BOOST_PROP(a_delta_leads_to_the_same_snapshot_as_the_whole,
              (std::vector<uint8_t> aFirst, std::vector<uint8_t> aSecond))
{
  const SnapshotPointer from = Make(1, aFirst);
  const SnapshotPointer to = Make(2, aSecond);
  const auto delta = ApplyUpdate(*from, MakeDeltaUpdate(*from, *to));
  const auto whole = ApplyUpdate(*from, MakeFullUpdate(*to));
  RC_ASSERT(delta.has_value() && whole.has_value());
  RC_ASSERT(delta.value()->text == to->text && whole.value()->hash == to->hash);
}

RC_BOOST_PROP(an_update_takes_any_holder_to_the_newest, (std::vector<std::vector<uint8_t>> aDocuments))
{
  std::vector<SnapshotPointer> versions{ EmptySnapshot() };
  UpdateHistory history;
  for (const auto& numbers : aDocuments) {
    versions.push_back(Make(static_cast<int64_t>(versions.size()), numbers));
    history.Add(*versions.back());
  }
  for (const SnapshotPointer& held : versions) {
    if (held == versions.back()) {
      continue;
    }
    const auto reached = ApplyUpdate(*held, history.UpdateFrom(held->version, *versions.back()));
    RC_ASSERT(reached.has_value());
    RC_ASSERT(reached.value()->text == versions.back()->text);
  }
}

RC_BOOST_PROP(a_damaged_update_changes_nothing, (uint16_t aPlace, uint8_t aByte))
{
  const SnapshotPointer from = Make(1, { 1, 2, 3 });
  const SnapshotPointer to = Make(2, { 2, 3, 4 });
  wire::ConfigurationUpdate update = MakeDeltaUpdate(*from, *to);
  char& damaged = update.payload[aPlace % update.payload.size()];
  RC_PRE(damaged != static_cast<char>(aByte));
  damaged = static_cast<char>(aByte);
  const auto applied = ApplyUpdate(*from, update);
  RC_ASSERT(!applied.has_value() || applied.value()->text == to->text);
}

BOOST_AUTO_TEST_CASE(an_older_or_equal_version_is_refused)
{
  const SnapshotPointer held = Make(5, { 1 });
  BOOST_TEST(!ApplyUpdate(*held, MakeFullUpdate(*Make(4, { 2 }))));
  BOOST_TEST(!ApplyUpdate(*held, MakeFullUpdate(*Make(5, { 2 }))));
}

BOOST_AUTO_TEST_CASE(an_update_from_another_version_is_refused)
{
  const SnapshotPointer held = Make(3, { 1 });
  BOOST_TEST(!ApplyUpdate(*held, MakeDeltaUpdate(*Make(2, { 1 }), *Make(4, { 2 }))));
}

BOOST_AUTO_TEST_CASE(a_whole_snapshot_with_a_dangling_route_is_refused)
{
  const std::string text = R"({"services":{},"routes":{"r":{"pathPrefix":"/x","service":"gone"}}})";
  const Snapshot bad = *MakeValidatedSnapshot(9, text);
  BOOST_TEST(!ApplyUpdate(*Make(3, { 1 }), MakeFullUpdate(bad)));
}
