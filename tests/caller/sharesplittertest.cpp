#define BOOST_TEST_MODULE sharesplitter
#include "caller/sharesplitter.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace mimosarun;

static Route
MakeSplitRoute(int64_t aOldWeight, int64_t aNewWeight)
{
  Route route;
  route.name = "r";
  route.shares = { { .service = "old", .weight = aOldWeight }, { .service = "new", .weight = aNewWeight } };
  return route;
}

BOOST_AUTO_TEST_CASE(many_nodes_with_few_requests_keep_to_the_weights)
{
  const Route route = MakeSplitRoute(90, 10);
  std::map<std::string, int> counts;
  for (int node = 0; node < 200; ++node) {
    ShareSplitter splitter;
    for (int request = 0; request < 7; ++request) {
      ++counts[splitter.NextService(route)];
    }
  }
  const double share = counts["new"] / 1400.0;
  BOOST_TEST(std::abs(share - 0.1) < 0.05, "share " << share);
}

BOOST_AUTO_TEST_CASE(one_node_keeps_to_the_weights_in_every_few_requests)
{
  ShareSplitter splitter;
  const Route route = MakeSplitRoute(3, 1);
  for (int round = 0; round < 20; ++round) {
    int newCount = 0;
    for (int request = 0; request < 8; ++request) {
      newCount += splitter.NextService(route) == "new" ? 1 : 0;
    }
    BOOST_TEST(newCount >= 1);
    BOOST_TEST(newCount <= 3);
  }
}

BOOST_AUTO_TEST_CASE(a_service_without_weight_gets_nothing)
{
  ShareSplitter splitter;
  const Route route = MakeSplitRoute(0, 5);
  for (int request = 0; request < 50; ++request) {
    BOOST_TEST(splitter.NextService(route) == "new");
  }
}
