#define BOOST_TEST_MODULE journal
#include "control/journal.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>
#include <fstream>

using namespace mimosarun;

/** A folder that is removed at the end. */
class Folder
{
public:
  Folder()
    : m_path(std::filesystem::temp_directory_path() / ("journal-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(m_path);
  }
  ~Folder() { std::filesystem::remove_all(m_path); }

  std::string Path() const { return m_path.string(); }
  std::string Log() const { return (m_path / "log").string(); }

private:
  std::filesystem::path m_path;
};

static std::vector<wire::LogEntry>
Entries(int64_t aFirst, int64_t aLast, int64_t aTerm)
{
  std::vector<wire::LogEntry> entries;
  for (int64_t index = aFirst; index <= aLast; ++index) {
    wire::LogEntry entry;
    entry.index = index;
    entry.term = aTerm;
    entry.command.body = "command " + std::to_string(index);
    entries.push_back(entry);
  }
  return entries;
}

BOOST_AUTO_TEST_CASE(what_was_stored_is_read_again)
{
  Folder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(Entries(1, 5, 1)));
    BOOST_REQUIRE(journal.TruncateFrom(4));
    BOOST_REQUIRE(journal.Append(Entries(4, 6, 2)));
    wire::Ballot ballot;
    ballot.term = 2;
    ballot.votedFor = "b";
    BOOST_REQUIRE(journal.SaveBallot(ballot));
  }
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(content);
  BOOST_TEST(content.value().entries.size() == 6u);
  BOOST_TEST(content.value().entries[2].term == 1);
  BOOST_TEST(content.value().entries[3].term == 2);
  BOOST_TEST(content.value().ballot.votedFor == "b");
}

BOOST_AUTO_TEST_CASE(a_torn_end_is_cut)
{
  Folder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(Entries(1, 3, 1)));
  }
  std::filesystem::resize_file(folder.Log(), std::filesystem::file_size(folder.Log()) - 3);
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(content);
  BOOST_TEST(content.value().entries.size() == 2u);
  BOOST_TEST(content.value().truncatedBytes > 0);
  BOOST_REQUIRE(journal.Append(Entries(3, 3, 2)));
}

BOOST_AUTO_TEST_CASE(damage_in_the_middle_stops_the_replica_with_a_remedy)
{
  Folder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(Entries(1, 3, 1)));
  }
  std::fstream file(folder.Log(), std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(25);
  file.put('X');
  file.close();
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(!content);
  BOOST_TEST((content.error().kind == ErrorKind::CorruptData));
  BOOST_TEST(content.error().message.find("delete the data folder") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_snapshot_takes_the_place_of_entries)
{
  Folder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(Entries(1, 10, 1)));
    wire::SnapshotFile snapshot;
    snapshot.index = 8;
    snapshot.term = 1;
    snapshot.state = "state";
    BOOST_REQUIRE(journal.SaveSnapshot(snapshot, Entries(9, 10, 1)));
    BOOST_REQUIRE(journal.Append(Entries(11, 11, 1)));
  }
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(content);
  BOOST_TEST(content.value().snapshot.index == 8);
  BOOST_TEST(content.value().entries.size() == 3u);
}

RC_BOOST_PROP(any_cut_leaves_a_prefix_of_what_was_stored, (uint16_t aCut))
{
  Folder folder;
  {
    Journal journal(folder.Path());
    RC_ASSERT(journal.Open().has_value());
    RC_ASSERT(journal.Append(Entries(1, 8, 1)).has_value());
  }
  const auto size = std::filesystem::file_size(folder.Log());
  std::filesystem::resize_file(folder.Log(), aCut % (size + 1));
  Journal journal(folder.Path());
  const auto content = journal.Open();
  RC_ASSERT(content.has_value());
  for (size_t i = 0; i < content.value().entries.size(); ++i) {
    RC_ASSERT(content.value().entries[i].index == static_cast<int64_t>(i + 1));
  }
}

BOOST_AUTO_TEST_CASE(how_far_the_log_is_committed_is_known_after_a_restart)
{
  Folder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(Entries(1, 5, 1)));
    BOOST_REQUIRE(journal.SaveCommitIndex(2));
    BOOST_REQUIRE(journal.SaveCommitIndex(4));
  }
  {
    Journal journal(folder.Path());
    BOOST_TEST(journal.Open().value().commitIndex == 4);
    // A note that is ahead of the log says nothing that could be trusted.
    BOOST_REQUIRE(journal.SaveCommitIndex(9));
  }
  {
    Journal journal(folder.Path());
    BOOST_TEST(journal.Open().value().commitIndex == 0);
  }
  std::ofstream(folder.Path() + "/commit") << "torn";
  Journal journal(folder.Path());
  BOOST_TEST(journal.Open().value().commitIndex == 0);
}
