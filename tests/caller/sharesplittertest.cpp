#define BOOST_TEST_MODULE sharesplitter
#include "caller/sharesplitter.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace mimosarun;

static Route
SplitRoute(int64_t aFirst, int64_t aSecond)
{
  Route route;
  route.name = "r";
  route.shares = { { .service = "old", .weight = aFirst }, { .service = "new", .weight = aSecond } };
  return route;
}

BOOST_AUTO_TEST_CASE(few_requests_of_each_of_many_nodes_keep_to_the_weights)
{
  const Route route = SplitRoute(90, 10);
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

BOOST_AUTO_TEST_CASE(one_node_keeps_to_the_weights_in_every_stretch)
{
  ShareSplitter splitter;
  const Route route = SplitRoute(3, 1);
  for (int stretch = 0; stretch < 20; ++stretch) {
    int taken = 0;
    for (int request = 0; request < 8; ++request) {
      taken += splitter.NextService(route) == "new" ? 1 : 0;
    }
    BOOST_TEST(taken >= 1);
    BOOST_TEST(taken <= 3);
  }
}

BOOST_AUTO_TEST_CASE(a_service_without_weight_gets_nothing)
{
  ShareSplitter splitter;
  const Route route = SplitRoute(0, 5);
  for (int request = 0; request < 50; ++request) {
    BOOST_TEST(splitter.NextService(route) == "new");
  }
}
