#define BOOST_TEST_MODULE journal
#include "control/journal.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>
#include <fstream>

using namespace mimosarun;

/** Temporary folder that is removed by the destructor. */
class TemporaryFolder
{
public:
  TemporaryFolder()
    : m_path(std::filesystem::temp_directory_path() / ("journal-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(m_path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }

  std::string Path() const { return m_path.string(); }
  std::string LogPath() const { return (m_path / "log").string(); }

private:
  std::filesystem::path m_path;
};

static std::vector<wire::LogEntry>
MakeEntries(int64_t aFirst, int64_t aLast, int64_t aTerm)
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

BOOST_AUTO_TEST_CASE(stored_state_is_read_again_after_reopening)
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(MakeEntries(1, 5, 1)));
    BOOST_REQUIRE(journal.TruncateFrom(4));
    BOOST_REQUIRE(journal.Append(MakeEntries(4, 6, 2)));
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

BOOST_AUTO_TEST_CASE(an_incomplete_last_record_is_truncated)
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(MakeEntries(1, 3, 1)));
  }
  std::filesystem::resize_file(folder.LogPath(), std::filesystem::file_size(folder.LogPath()) - 3);
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(content);
  BOOST_TEST(content.value().entries.size() == 2u);
  BOOST_TEST(content.value().truncatedBytes > 0);
  BOOST_REQUIRE(journal.Append(MakeEntries(3, 3, 2)));
}

BOOST_AUTO_TEST_CASE(damage_before_the_last_record_fails_with_a_remedy)
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(MakeEntries(1, 3, 1)));
  }
  std::fstream file(folder.LogPath(), std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(25);
  file.put('X');
  file.close();
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(!content);
  BOOST_TEST((content.error().kind == ErrorKind::CorruptData));
  BOOST_TEST(content.error().message.find("delete the data folder") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_snapshot_replaces_entries)
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(MakeEntries(1, 10, 1)));
    wire::SnapshotFile snapshot;
    snapshot.index = 8;
    snapshot.term = 1;
    snapshot.state = "state";
    BOOST_REQUIRE(journal.SaveSnapshot(snapshot, MakeEntries(9, 10, 1)));
    BOOST_REQUIRE(journal.Append(MakeEntries(11, 11, 1)));
  }
  Journal journal(folder.Path());
  const auto content = journal.Open();
  BOOST_REQUIRE(content);
  BOOST_TEST(content.value().snapshot.index == 8);
  BOOST_TEST(content.value().entries.size() == 3u);
}

RC_BOOST_PROP(truncation_at_any_byte_leaves_a_prefix_of_the_entries, (uint16_t aLength))
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    RC_ASSERT(journal.Open().has_value());
    RC_ASSERT(journal.Append(MakeEntries(1, 8, 1)).has_value());
  }
  const auto size = std::filesystem::file_size(folder.LogPath());
  std::filesystem::resize_file(folder.LogPath(), aLength % (size + 1));
  Journal journal(folder.Path());
  const auto content = journal.Open();
  RC_ASSERT(content.has_value());
  for (size_t i = 0; i < content.value().entries.size(); ++i) {
    RC_ASSERT(content.value().entries[i].index == static_cast<int64_t>(i + 1));
  }
}

BOOST_AUTO_TEST_CASE(the_commit_index_is_known_after_a_restart)
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path());
    BOOST_REQUIRE(journal.Open());
    BOOST_REQUIRE(journal.Append(MakeEntries(1, 5, 1)));
    BOOST_REQUIRE(journal.SaveCommitIndex(2));
    BOOST_REQUIRE(journal.SaveCommitIndex(4));
  }
  {
    Journal journal(folder.Path());
    BOOST_TEST(journal.Open().value().commitIndex == 4);
    // A commit index beyond the end of the log isn't trusted.
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
