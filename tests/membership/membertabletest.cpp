#define BOOST_TEST_MODULE membertable
#include "node/membertable.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace mimosarun;

static const Deadline kNow = SteadyClock::now();

static wire::Member
MakeMember(const std::string& aName,
           int64_t aIncarnation,
           wire::MemberState::type aState,
           int64_t aRevision = 0)
{
  wire::Member member;
  member.name = aName;
  member.incarnation = aIncarnation;
  member.state = aState;
  member.revision = aRevision;
  member.failureDomain = "d";
  return member;
}

static std::vector<wire::Member>
MakeRecords(const std::vector<uint8_t>& aNumbers)
{
  std::vector<wire::Member> records;
  for (const uint8_t number : aNumbers) {
    const auto state = static_cast<wire::MemberState::type>(number / 4 % 4);
    records.push_back(MakeMember("m" + std::to_string(number % 4), number / 16 % 3, state, number / 48));
  }
  return records;
}

RC_BOOST_PROP(merge_order_does_not_change_the_result, (std::vector<uint8_t> aNumbers, uint32_t aSeed))
{
  std::vector<wire::Member> records = MakeRecords(aNumbers);
  // A table ignores the death of a member it doesn't know, so each member is added alive first.
  for (int i = 0; i < 4; ++i) {
    records.insert(records.begin(), MakeMember("m" + std::to_string(i), -1, wire::MemberState::Alive));
  }
  MemberTable first(MakeMember("self1", 1, wire::MemberState::Alive), {});
  MemberTable second(MakeMember("self2", 1, wire::MemberState::Alive), {});
  first.Merge(records, kNow);
  std::shuffle(records.begin() + 4, records.end(), std::mt19937(aSeed));
  for (const wire::Member& record : records) {
    second.Merge({ record }, kNow);
  }
  for (int i = 0; i < 4; ++i) {
    const auto left = first.Find("m" + std::to_string(i));
    const auto right = second.Find("m" + std::to_string(i));
    RC_ASSERT(left->incarnation == right->incarnation && left->state == right->state &&
              left->revision == right->revision);
  }
}

BOOST_AUTO_TEST_CASE(a_wrongly_suspected_member_refutes_with_a_new_incarnation)
{
  MemberTable table(MakeMember("self", 5, wire::MemberState::Alive), {});
  table.Merge({ MakeMember("self", 5, wire::MemberState::Suspect) }, kNow);
  BOOST_TEST(table.Self().incarnation == 6);
  BOOST_TEST(table.Self().state == wire::MemberState::Alive);
}

// Guards against: a refutation of a suspicion makes earlier incarnations of this process look like those of
// another.
BOOST_AUTO_TEST_CASE(a_refutation_of_a_suspicion_keeps_the_first_incarnation)
{
  MemberTable table(MakeMember("self", 5, wire::MemberState::Alive), {});
  BOOST_TEST(table.FirstIncarnation() == 5);
  table.Merge({ MakeMember("self", 5, wire::MemberState::Suspect) }, kNow);
  BOOST_TEST(table.FirstIncarnation() == 5);
}

// Guards against: an incarnation of an earlier process, which started before the wall clock stepped back, is
// taken for one of this process, so that a call that ran there runs again here.
BOOST_AUTO_TEST_CASE(a_refutation_of_an_earlier_process_begins_a_new_first_incarnation)
{
  MemberTable table(MakeMember("self", 5, wire::MemberState::Alive), {});
  table.Merge({ MakeMember("self", 9, wire::MemberState::Alive) }, kNow);
  BOOST_TEST(table.Self().incarnation == 10);
  BOOST_TEST(table.FirstIncarnation() == 10);
}

BOOST_AUTO_TEST_CASE(leaving_takes_precedence_over_alive_and_suspect)
{
  MemberTable table(MakeMember("self", 1, wire::MemberState::Alive), {});
  table.Merge({ MakeMember("m", 1, wire::MemberState::Leaving) }, kNow);
  table.Merge({ MakeMember("m", 1, wire::MemberState::Alive, 9) }, kNow);
  table.MarkSuspect("m", kNow);
  BOOST_TEST(table.Find("m")->state == wire::MemberState::Leaving);
  BOOST_TEST(table.Reachable("d").empty());
}

BOOST_AUTO_TEST_CASE(a_suspect_is_declared_dead_and_returns_with_a_new_incarnation)
{
  MemberTable table(MakeMember("self", 1, wire::MemberState::Alive), {});
  table.Merge({ MakeMember("m", 1, wire::MemberState::Alive) }, kNow);
  table.MarkSuspect("m", kNow);
  table.Expire(kNow + std::chrono::seconds(1));
  BOOST_TEST(table.Find("m")->state == wire::MemberState::Suspect);
  table.Expire(kNow + std::chrono::seconds(2));
  BOOST_TEST(table.Find("m")->state == wire::MemberState::Dead);
  table.Merge({ MakeMember("m", 1, wire::MemberState::Alive, 7) }, kNow);
  BOOST_TEST(table.Find("m")->state == wire::MemberState::Dead);
  table.Merge({ MakeMember("m", 2, wire::MemberState::Alive) }, kNow);
  BOOST_TEST(table.Find("m")->state == wire::MemberState::Alive);
}

BOOST_AUTO_TEST_CASE(the_held_version_spreads_without_a_new_revision)
{
  MemberTable table(MakeMember("self", 1, wire::MemberState::Alive), {});
  wire::Member member = MakeMember("m", 1, wire::MemberState::Alive);
  table.Merge({ member }, kNow);
  const int64_t digest = table.Digest();
  member.version = 4;
  table.Merge({ member }, kNow);
  BOOST_TEST(table.Find("m")->version == 4);
  member.version = 3;
  table.Merge({ member }, kNow);
  BOOST_TEST(table.Find("m")->version == 4);
  BOOST_TEST(table.Digest() == digest);
}

static std::unique_ptr<MemberTable>
MakeTable(int aMembers, const std::string& aSelf = "self")
{
  auto table =
    std::make_unique<MemberTable>(MakeMember(aSelf, 1, wire::MemberState::Alive), MemberTable::Options{});
  std::vector<wire::Member> members;
  for (int number = 0; number < aMembers; ++number) {
    members.push_back(MakeMember("m" + std::to_string(number), 1, wire::MemberState::Alive));
  }
  table->Merge(members, kNow);
  return table;
}

static int
SendUntilNoUpdates(MemberTable& aTable, GossipScope aScope)
{
  int sends = 0;
  while (aTable.HasUpdates(aScope)) {
    sends += static_cast<int>(aTable.TakeUpdates(aScope, 24).size());
  }
  return sends;
}

BOOST_AUTO_TEST_CASE(a_change_is_sent_a_bounded_number_of_times_and_then_no_more)
{
  const auto tableOwner = MakeTable(89);
  MemberTable& table = *tableOwner;
  SendUntilNoUpdates(table, GossipScope::Domain);
  BOOST_TEST(table.TakeUpdates(GossipScope::Domain, 24).empty());
  table.Merge({ MakeMember("m7", 2, wire::MemberState::Alive) }, kNow);
  const int sends = SendUntilNoUpdates(table, GossipScope::Domain);
  // Enough to spread among 90 members, but far fewer sends than members.
  BOOST_TEST(sends >= 7);
  BOOST_TEST(sends <= 21);
}

BOOST_AUTO_TEST_CASE(a_new_held_version_is_no_update)
{
  const auto tableOwner = MakeTable(20);
  MemberTable& table = *tableOwner;
  SendUntilNoUpdates(table, GossipScope::Domain);
  for (int64_t version = 1; version <= 300; ++version) {
    table.SetHeldVersion("m3", version);
    table.SetHeldVersion("self", version);
  }
  BOOST_TEST(!table.HasUpdates(GossipScope::Domain));
  BOOST_TEST(table.Find("m3")->version == 300);
}

BOOST_AUTO_TEST_CASE(an_update_that_others_send_is_sent_less_often)
{
  const auto baselineOwner = MakeTable(40);
  MemberTable& baseline = *baselineOwner;
  const auto echoedOwner = MakeTable(40);
  MemberTable& echoed = *echoedOwner;
  for (MemberTable* table : { &baseline, &echoed }) {
    SendUntilNoUpdates(*table, GossipScope::Domain);
    table->Merge({ MakeMember("m7", 2, wire::MemberState::Alive) }, kNow);
  }
  for (int echo = 0; echo < 4; ++echo) {
    echoed.Merge({ MakeMember("m7", 2, wire::MemberState::Alive) }, kNow);
  }
  BOOST_TEST(SendUntilNoUpdates(echoed, GossipScope::Domain) <
             SendUntilNoUpdates(baseline, GossipScope::Domain));
}

BOOST_AUTO_TEST_CASE(only_members_of_the_own_domain_are_sent_to_other_domains)
{
  const auto tableOwner = MakeTable(3);
  MemberTable& table = *tableOwner;
  wire::Member elsewhere = MakeMember("far", 1, wire::MemberState::Alive);
  elsewhere.failureDomain = "e";
  table.Merge({ elsewhere }, kNow);
  for (int round = 0; round < 50; ++round) {
    for (const wire::Member& member : table.TakeUpdates(GossipScope::Mesh, 24)) {
      BOOST_TEST(member.failureDomain == "d");
    }
  }
}

static std::vector<size_t>
DifferingParts(const MemberTable& aLeft, const MemberTable& aRight)
{
  const std::vector<int64_t> left = aLeft.PartDigests();
  const std::vector<int64_t> right = aRight.PartDigests();
  std::vector<size_t> differing;
  for (size_t part = 0; part < left.size(); ++part) {
    if (left[part] != right[part]) {
      differing.push_back(part);
    }
  }
  return differing;
}

BOOST_AUTO_TEST_CASE(one_differing_record_is_found_and_repaired_through_one_part)
{
  const auto leftOwner = MakeTable(1000, "self");
  MemberTable& left = *leftOwner;
  const auto rightOwner = MakeTable(1000, "self");
  MemberTable& right = *rightOwner;
  left.Merge({ MakeMember("m421", 1, wire::MemberState::Dead) }, kNow);
  const std::vector<size_t> differing = DifferingParts(left, right);
  BOOST_TEST(differing.size() == 1);
  const std::vector<wire::Member> records = left.RecordsOfPart(differing.front());
  BOOST_TEST(records.size() < 100);
  right.Merge(records, kNow);
  BOOST_TEST(left.Digest() == right.Digest());
  BOOST_TEST(right.Find("m421")->state == wire::MemberState::Dead);
}

RC_BOOST_PROP(exchanging_differing_parts_makes_any_two_tables_equal,
              (std::vector<uint8_t> aLeft, std::vector<uint8_t> aRight))
{
  const auto leftOwner = MakeTable(4, "self");
  MemberTable& left = *leftOwner;
  const auto rightOwner = MakeTable(4, "self");
  MemberTable& right = *rightOwner;
  left.Merge(MakeRecords(aLeft), kNow);
  right.Merge(MakeRecords(aRight), kNow);
  for (const size_t part : DifferingParts(left, right)) {
    const std::vector<wire::Member> records = left.RecordsOfPart(part);
    left.Merge(right.RecordsOfPart(part), kNow);
    right.Merge(records, kNow);
  }
  RC_ASSERT(left.Digest() == right.Digest());
}
