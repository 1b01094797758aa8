#pragma once

#include "harness/mesh.h"

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosarun {

/** What a caller knows of one booking in the end. */
struct Booking
{
  std::string key;
  bool complete = false;
  /** Every answer said not-run. */
  bool allNotRun = true;
};

/** Verdict over bookings and ledgers. */
struct BookingSummary
{
  int bookings = 0;
  int complete = 0;
  int ranTwice = 0;
  int falseNotRun = 0;
  /** Complete for the caller, but in no ledger. */
  int lost = 0;

  bool HasNoViolation() const { return ranTwice == 0 && falseNotRun == 0 && lost == 0; }
};

/** Sends one booking to the first service of a deployment. */
TestResponse
Book(Mesh& aMesh, const std::string& aNode, const std::string& aKey);

/** Books with one key through several entries until an answer is complete or the tries are used up. */
Booking
BookWithRetries(Mesh& aMesh, const std::string& aKey, std::mt19937_64& aRandom);

/** Books many times from several callers at once. */
std::vector<Booking>
BookMany(Mesh& aMesh, const std::string& aPrefix, int aCount, uint64_t aSeed);

/** How often each key stands in a ledger. */
std::map<std::string, int>
RunsByKey(const Mesh& aMesh);

BookingSummary
CheckBookings(const Mesh& aMesh, const std::vector<Booking>& aBookings);

/** Kills, restarts, resets and silences at random until told to stop. */
void
InjectRandomFaults(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed);

} // namespace mimosarun
