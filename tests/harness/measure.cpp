#include "harness/measurerun.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace mimosarun;

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("measure",
                           "Measures the figures that matter to the users, and compares balancing policies");
  options.add_options()("seconds", "Length of each load", cxxopts::value<int>()->default_value("6"))(
    "repeat", "Repetitions", cxxopts::value<int>()->default_value("1"))(
    "users", "pettigrew, brianza or both", cxxopts::value<std::string>()->default_value("both"))(
    "output", "Folder of the report", cxxopts::value<std::string>()->default_value("report"))("help",
                                                                                              "Print help");
  try {
    const auto parsed = options.parse(aCount, aValues);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return RunMeasure({ .length = std::chrono::seconds(parsed["seconds"].as<int>()),
                        .repetitions = parsed["repeat"].as<int>(),
                        .users = parsed["users"].as<std::string>(),
                        .output = parsed["output"].as<std::string>() });
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "; see --help\n";
    return 2;
  }
}
