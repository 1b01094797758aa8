#pragma once

#include "harness/mesh.h"

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosarun {

/** The outcome of one booking as its caller knows it. */
struct Booking
{
  std::string key;
  bool complete = false;
  /** Every response had the outcome not-run. */
  bool allNotRun = true;
};

/** Counts of bookings and of the violations found by comparing them with the ledgers. */
struct BookingSummary
{
  int bookings = 0;
  int complete = 0;
  int ranTwice = 0;
  int falseNotRun = 0;
  /** Bookings that are complete for the caller, but in no ledger. */
  int lost = 0;

  bool HasNoViolation() const { return ranTwice == 0 && falseNotRun == 0 && lost == 0; }
};

/** Sends one booking to the first service of a deployment. */
TestResponse
Book(Mesh& aMesh, const std::string& aNode, const std::string& aKey);

/** Same, over the kept connections of a client. */
TestResponse
Book(Mesh& aMesh, TestClient& aClient, const std::string& aNode, const std::string& aKey);

/** Sends a booking with one key to random nodes until a response is complete or all attempts are used up. */
Booking
BookWithRetries(Mesh& aMesh, TestClient& aClient, const std::string& aKey, std::mt19937_64& aRandom);

/** Sends many bookings from several callers at once, each of which keeps using its open connections. */
std::vector<Booking>
BookMany(Mesh& aMesh, const std::string& aPrefix, int aCount, uint64_t aSeed);

/** Returns how often each key appears in the ledgers. */
std::map<std::string, int>
RunsByKey(const Mesh& aMesh);

/** Same, of the requests whose path has a part and after it the key. */
std::map<std::string, int>
RunsByPath(const Mesh& aMesh, const std::string& aPathPart);

BookingSummary
CheckBookings(const Mesh& aMesh, const std::vector<Booking>& aBookings);

/** Kills and restarts a random process, or resets connections or drops their bytes. */
void
InjectRandomFault(Mesh& aMesh, std::mt19937_64& aRandom);

/** Kills and restarts random processes, and resets connections or drops their bytes, until aStop is set. */
void
InjectRandomFaults(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed);

} // namespace mimosarun
