#define BOOST_TEST_MODULE memberpacking
#include "node/memberpacking.h"
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>

using namespace mimosarun;

static wire::Member
MakeMember(int aNumber)
{
  wire::Member member;
  member.name = "node-" + std::to_string(aNumber);
  member.incarnation = 1'700'000'000'000'000 + aNumber * 7919;
  member.region = "east";
  member.failureDomain = "east-1";
  member.peerAddress = "10.1.0." + std::to_string(aNumber) + ":7620";
  member.gateAddress = "10.1.0." + std::to_string(aNumber) + ":8300";
  member.serviceName = "books";
  member.targetName = "i-" + std::to_string(aNumber * 48271 % 65537);
  member.phase = wire::TargetPhase::Ready;
  member.slots = 6;
  return member;
}

static wire::Gossip
MakeGossip(int aMembers)
{
  wire::Gossip gossip;
  for (int number = 0; number < aMembers; ++number) {
    gossip.members.push_back(MakeMember(number));
  }
  return gossip;
}

RC_BOOST_PROP(unpacking_restores_the_members, (uint8_t aMembers))
{
  const wire::Gossip original = MakeGossip(aMembers);
  wire::Gossip gossip = original;
  PackMembers(gossip);
  RC_ASSERT(UnpackMembers(gossip).has_value());
  RC_ASSERT(gossip == original);
}

// Guards against: on a large fleet the records of members fill the links that carry calls
// (docs/incidents/005).
BOOST_AUTO_TEST_CASE(records_of_a_batch_take_less_than_half_of_their_size)
{
  wire::Gossip gossip = MakeGossip(24);
  const size_t plainBytes = Encode(gossip).size();
  PackMembers(gossip);
  BOOST_TEST(Encode(gossip).size() * 2 < plainBytes);
}

BOOST_AUTO_TEST_CASE(a_damaged_batch_is_an_error)
{
  wire::Gossip gossip = MakeGossip(5);
  PackMembers(gossip);
  gossip.packedMembers.resize(gossip.packedMembers.size() / 2);
  BOOST_TEST(!UnpackMembers(gossip).has_value());
}
