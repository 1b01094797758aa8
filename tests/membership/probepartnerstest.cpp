#define BOOST_TEST_MODULE probepartners
#include "node/probepartners.h"
#include "node/introductions.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace mimosarun;

static constexpr size_t kMostPartners = 8;

static std::vector<std::string>
MakeDomain(size_t aSize)
{
  std::vector<std::string> names;
  for (size_t i = 0; i < aSize; ++i) {
    names.push_back("node-east-" + std::to_string(i));
  }
  return names;
}

/** Returns the number of rounds in which news of one node reaches all others, each passing it on to its
 * partners. */
static int
RoundsToReachAll(const std::vector<std::string>& aDomain, const std::string& aFrom)
{
  std::set<std::string> reached{ aFrom };
  int rounds = 0;
  while (reached.size() < aDomain.size() && rounds < 100) {
    std::set<std::string> next = reached;
    for (const std::string& name : reached) {
      const auto partners = ProbePartners(name, aDomain);
      next.insert(partners.begin(), partners.end());
    }
    reached = std::move(next);
    ++rounds;
  }
  return rounds;
}

BOOST_AUTO_TEST_CASE(a_small_domain_is_probed_whole)
{
  const auto domain = MakeDomain(5);
  BOOST_TEST(ProbePartners(domain[2], domain).size() == 4u);
  BOOST_TEST(ProbePartners(domain[0], { domain[0] }).empty());
}

BOOST_AUTO_TEST_CASE(the_number_of_partners_does_not_grow_with_the_domain)
{
  for (const size_t size : { 20UL, 100UL, 250UL }) {
    const auto domain = MakeDomain(size);
    for (const std::string& name : domain) {
      const auto partners = ProbePartners(name, domain);
      BOOST_TEST(partners.size() <= kMostPartners);
      BOOST_TEST((std::find(partners.begin(), partners.end(), name) == partners.end()));
    }
  }
}

BOOST_AUTO_TEST_CASE(each_member_of_a_large_domain_is_probed_and_gets_news_in_few_rounds)
{
  for (const size_t size : { 20UL, 35UL, 100UL, 250UL }) {
    const auto domain = MakeDomain(size);
    std::map<std::string, int> probers;
    for (const std::string& name : domain) {
      for (const std::string& partner : ProbePartners(name, domain)) {
        ++probers[partner];
      }
    }
    for (const std::string& name : domain) {
      BOOST_TEST(probers[name] >= 2, name);
    }
    BOOST_TEST(RoundsToReachAll(domain, domain.front()) <= 5);
  }
}

BOOST_AUTO_TEST_CASE(a_member_that_leaves_changes_few_partners)
{
  const auto domain = MakeDomain(100);
  auto smaller = domain;
  smaller.erase(smaller.begin() + 40);
  int changed = 0;
  for (const std::string& name : smaller) {
    changed += ProbePartners(name, domain) != ProbePartners(name, smaller) ? 1 : 0;
  }
  BOOST_TEST(changed < 25);
}

/** A group with replicas in each of several failure domains of two regions. */
static std::vector<ReplicaSettings>
MakeGroup(int aDomains, int aReplicasPerDomain)
{
  std::vector<ReplicaSettings> replicas;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int i = 0; i < aReplicasPerDomain; ++i) {
      replicas.push_back({ .name = std::to_string(domain) + "-" + std::to_string(i),
                           .region = domain % 2 == 0 ? "east" : "west",
                           .failureDomain = "domain-" + std::to_string(domain) });
    }
  }
  return replicas;
}

BOOST_AUTO_TEST_CASE(introductions_do_not_grow_with_the_group)
{
  BOOST_TEST(IntroductionTargets(MakeGroup(4, 1), "domain-1").size() == 4u);
  for (const int replicasPerDomain : { 2, 3, 10 }) {
    const auto targets = IntroductionTargets(MakeGroup(8, replicasPerDomain), "domain-1");
    BOOST_TEST(targets.size() <= 7u);
    const auto inOwnDomain = std::count_if(targets.begin(), targets.end(), [](const auto& aTarget) {
      return aTarget.failureDomain == "domain-1";
    });
    BOOST_TEST(inOwnDomain >= 2);
    for (const char* region : { "east", "west" }) {
      BOOST_TEST(std::any_of(
        targets.begin(), targets.end(), [&](const auto& aTarget) { return aTarget.region == region; }));
    }
  }
}
