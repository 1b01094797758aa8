#define BOOST_TEST_MODULE catalogue
#include "common/event.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace mimosarun;

/** Returns "number name" of each event in the table of docs/EVENTS.md. */
static std::set<std::string>
DocumentedEvents()
{
  std::ifstream stream(std::string(SOURCE_FOLDER) + "/docs/EVENTS.md");
  std::set<std::string> events;
  for (std::string line; std::getline(stream, line);) {
    std::istringstream row(line);
    std::string separator;
    std::string number;
    std::string name;
    if (row >> separator >> number >> separator >> name &&
        number.find_first_not_of("0123456789") == std::string::npos) {
      events.insert(number + " " + name);
    }
  }
  return events;
}

BOOST_AUTO_TEST_CASE(documentation_lists_exactly_the_implemented_events)
{
  std::set<std::string> implemented;
  for (const EventDescription& description : EventCatalogue()) {
    implemented.insert(std::to_string(static_cast<int>(description.event)) + " " +
                       std::string(description.name));
  }
  BOOST_TEST(implemented.size() == EventCatalogue().size());
  const std::set<std::string> documented = DocumentedEvents();
  BOOST_CHECK_EQUAL_COLLECTIONS(implemented.begin(), implemented.end(), documented.begin(), documented.end());
}
