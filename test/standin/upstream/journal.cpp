#include "standin/upstream/journal.hpp"

#include <filesystem>
#include <string>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

std::string
OwnPath()
{
  const auto name = "currantshed-journal-" + std::to_string(getpid());
  return (std::filesystem::temp_directory_path() / name).string();
}

// The state that a server would read back after a restart.
durable_state
Reload(const std::string& aPath)
{
  durable_state state;
  const journal reader(aPath, state);
  return state;
}

} // namespace

TEST_GROUP(journal)
{
  std::string path;

  void setup() override
  {
    path = OwnPath();
    std::filesystem::remove(path);
    durable_state empty;
    journal file(path, empty);
    file.WriteTerms(term_state(3, server_role::kReplica, { "127.0.0.2", 7 }));
    file.WriteRecord({ 1, 5, { { "INSERT", { "a", std::nullopt } } } });
    file.WriteRecord({ 1, 6, {} });
    file.WriteRecord({ 2, 7, {} });
  }

  void teardown() override
  {
    std::filesystem::remove(path);
    path = std::string();
  }
};

TEST(journal, term_and_log_survive_a_restart)
{
  const auto state = Reload(path);
  CHECK_EQUAL(3U, state.terms.Term());
  CHECK(state.terms.Role() == server_role::kReplica);
  CHECK((state.terms.Primary() == primary_address{ "127.0.0.2", 7 }));
  CHECK((state.log.Last() == log_position{ 2, 3 }));
  CHECK_EQUAL(2U, state.log.At(1).statements.front().parameters.size());
}

TEST(journal, so_does_a_truncation)
{
  durable_state state;
  journal file(path, state);
  file.WriteTruncation(1);
  file.WriteRecord({ 4, 8, {} });
  CHECK((Reload(path).log.Last() == log_position{ 4, 2 }));
}

TEST(journal, an_entry_cut_short_is_dropped)
{
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  durable_state state;
  journal file(path, state);
  CHECK((state.log.Last() == log_position{ 1, 2 }));
  file.WriteRecord({ 5, 9, {} });
  CHECK((Reload(path).log.Last() == log_position{ 5, 3 }));
}
