#include "standin/target.h"

#include "process/shutdownsignal.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace mimosarun;

static Address
ParseAddressOption(const cxxopts::ParseResult& aParsed, const char* aName)
{
  const Result<Address> address = ParseAddress(aParsed[aName].as<std::string>());
  if (!address) {
    std::cerr << aName << ": " << address.error().message << "\n";
    std::exit(2);
  }
  return address.value();
}

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("standin-target", "Stand-in for a target");
  options.add_options()("name", "", cxxopts::value<std::string>())(
    "service", "", cxxopts::value<std::string>())("address", "", cxxopts::value<std::string>())(
    "announce", "", cxxopts::value<std::string>())(
    "ledger", "", cxxopts::value<std::string>()->default_value(""))(
    "slots", "", cxxopts::value<int>()->default_value("6"))(
    "announced-slots", "", cxxopts::value<int>()->default_value("0"))(
    "cost-ms", "", cxxopts::value<int>()->default_value("10"))(
    "cold-ms", "", cxxopts::value<int>()->default_value("0"))(
    "target-version", "", cxxopts::value<std::string>()->default_value(""))(
    "bad-permille", "", cxxopts::value<int>()->default_value("0"))(
    "bad-slow-factor", "", cxxopts::value<int>()->default_value("0"))(
    "bad-after-ms", "", cxxopts::value<int>()->default_value("0"))(
    "bad-other-calls", "", cxxopts::value<int>()->default_value("0"))(
    "bad-path", "", cxxopts::value<std::string>()->default_value(""));
  const auto parsed = options.parse(aCount, aValues);
  ShutdownSignal signal;
  StandinTarget target({ .name = parsed["name"].as<std::string>(),
                         .service = parsed["service"].as<std::string>(),
                         .address = ParseAddressOption(parsed, "address"),
                         .announceAddress = ParseAddressOption(parsed, "announce"),
                         .ledgerPath = parsed["ledger"].as<std::string>(),
                         .slots = parsed["slots"].as<int>(),
                         .announcedSlots = parsed["announced-slots"].as<int>(),
                         .cost = std::chrono::milliseconds(parsed["cost-ms"].as<int>()),
                         .startupTime = std::chrono::milliseconds(parsed["cold-ms"].as<int>()),
                         .version = parsed["target-version"].as<std::string>(),
                         .bad = { .permille = parsed["bad-permille"].as<int>(),
                                  .slowFactor = parsed["bad-slow-factor"].as<int>(),
                                  .minimumOtherCalls = parsed["bad-other-calls"].as<int>(),
                                  .pathPrefix = parsed["bad-path"].as<std::string>() },
                         .badAfter = std::chrono::milliseconds(parsed["bad-after-ms"].as<int>()) });
  if (!target.Start()) {
    std::cerr << "standin-target: can't listen on --address; choose a free address\n";
    return 1;
  }
  std::thread stopper([&] {
    signal.Wait();
    target.Drain();
  });
  stopper.detach();
  target.WaitUntilStopped();
  return 0;
}
