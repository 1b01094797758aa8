#define BOOST_TEST_MODULE powerloss
#include "control/journal.h"
#include "control/raftmessages.h"
#include "control/simulateddisk.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>

using namespace mimosarun;

static std::string
DiskFolder()
{
  return std::filesystem::temp_directory_path().string() + "/powerloss-" + std::to_string(::getpid());
}

static std::vector<wire::LogEntry>
MakeEntries(int64_t aFirst, int64_t aLast)
{
  std::vector<wire::LogEntry> entries;
  for (int64_t index = aFirst; index <= aLast; ++index) {
    entries.push_back(MakeLogEntry(index, 1));
  }
  return entries;
}

// Guards against: a replica that was killed before it had synced an entry finds it when it is back, confirms
// it, and doesn't have it any more after a power loss.
BOOST_AUTO_TEST_CASE(entries_that_a_journal_returned_outlive_a_power_loss)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedDisk::Use(DiskFolder());
    const std::string folder = DiskFolder() + "/r1";
    {
      Journal journal(folder);
      BOOST_REQUIRE(journal.Open());
      BOOST_REQUIRE(journal.Append(MakeEntries(1, 3)));
      // The write is done and the sync isn't.
      SimulatedDisk::SetFaults({ .operationsLeft = 1 });
      BOOST_REQUIRE(!journal.Append(MakeEntries(4, 4)));
      SimulatedDisk::SetFaults({});
    }
    const auto found = Journal(folder).Open();
    BOOST_REQUIRE(found);
    SimulatedDisk::LosePower(DiskFolder(), random);
    const auto left = Journal(folder).Open();
    BOOST_REQUIRE(left);
    BOOST_TEST(left.value().entries.size() >= found.value().entries.size(), "seed " << seed);
  }
}

// Guards against: the name of a new data folder is lost with the power, and all that it held with it.
BOOST_AUTO_TEST_CASE(a_new_folder_outlives_a_power_loss)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedDisk::Use(DiskFolder());
    const std::string folder = DiskFolder() + "/r1";
    {
      Journal journal(folder);
      BOOST_REQUIRE(journal.Open());
      BOOST_REQUIRE(journal.Append(MakeEntries(1, 3)));
    }
    SimulatedDisk::LosePower(DiskFolder(), random);
    const auto left = Journal(folder).Open();
    BOOST_REQUIRE(left);
    BOOST_TEST(left.value().entries.size() == 3u, "seed " << seed);
  }
}

// Guards against: a replica that was killed as it created its incarnation takes another one after a power
// loss, though it has confirmed entries under the first.
BOOST_AUTO_TEST_CASE(an_incarnation_that_was_returned_outlives_a_power_loss)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedDisk::Use(DiskFolder());
    // The file is written, synced and renamed, and the folder isn't synced.
    SimulatedDisk::SetFaults({ .operationsLeft = 3 });
    BOOST_REQUIRE(!LoadOrCreateIncarnation(DiskFolder(), 1));
    SimulatedDisk::SetFaults({});
    BOOST_REQUIRE(LoadOrCreateIncarnation(DiskFolder(), 2).value() == 1);
    SimulatedDisk::LosePower(DiskFolder(), random);
    BOOST_TEST(LoadOrCreateIncarnation(DiskFolder(), 3).value() == 1, "seed " << seed);
  }
}

// Guards against: of entries that a full disk took in several parts, a later part outlives an earlier one,
// and the replica takes its log for damaged and doesn't start any more.
BOOST_AUTO_TEST_CASE(a_journal_opens_after_a_power_loss_while_its_disk_was_full)
{
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedDisk::Use(DiskFolder());
    const std::string folder = DiskFolder() + "/r1";
    {
      Journal journal(folder);
      BOOST_REQUIRE(journal.Open());
      BOOST_REQUIRE(journal.Append(MakeEntries(1, 3)));
      SimulatedDisk::SetFaults({ .isFull = true });
      BOOST_REQUIRE(!journal.Append(MakeEntries(4, 20)));
      SimulatedDisk::SetFaults({});
    }
    SimulatedDisk::LosePower(DiskFolder(), random);
    const auto left = Journal(folder).Open();
    BOOST_TEST(left.has_value(), "seed " << seed);
    BOOST_TEST((left && left.value().entries.size() >= 3u), "seed " << seed);
  }
}
