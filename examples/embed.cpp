// Drives the engine of one group in virtual time: declares a work class,
// answers the engine's requests as three idle servers would, and runs one read
// that allows stale data.

#include <chrono>
#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include <currantshed/currantshed.hpp>

using namespace currantshed;

namespace {

constexpr const char* kDeclaration = "classes:\n"
                                     "  catalogue-browsing:\n"
                                     "    access: read\n"
                                     "    served_in: [abdali, sweileh, marka]\n"
                                     "    max_staleness: 30s\n"
                                     "    may_be_repeated: yes\n"
                                     "    deadline: 1s\n";

constexpr const char* kPrimary = "server-1";
constexpr std::chrono::milliseconds kStep{ 10 };
constexpr int kMostSteps = 100;

group::member
MakeServer(const std::string& aName, const std::string& aFailureDomain)
{
  group::member server;
  server.id = aName;
  server.address = "127.0.0.1";
  server.port = 5432;
  server.failureDomain = aFailureDomain;
  server.slots = 5;
  server.connections = 55;
  return server;
}

/// The status of a server in term 1 that has all ten log records.
upstream::server_status
StatusOf(const upstream::server_id& aServer)
{
  upstream::server_status status;
  status.term = 1;
  status.role = aServer == kPrimary ? upstream::server_role::kPrimary
                                    : upstream::server_role::kReplica;
  status.stored = { 1, 10 };
  status.applied = { 1, 10 };
  return status;
}

/// The result row of a server's status statement.
upstream::result_set
StatusRow(const upstream::server_id& aServer)
{
  const std::string role = aServer == kPrimary ? "primary" : "replica";
  return { { "term",
             "role",
             "stored_term",
             "stored_index",
             "applied_term",
             "applied_index",
             "since_primary_ms" },
           { "1", role, "1", "10", "1", "10", std::nullopt },
           0 };
}

/// Simulates the servers and the network for one engine.
class playground
{
public:
  explicit playground(group::engine& aEngine)
    : mEngine(aEngine)
  {
  }

  void Do(const group::request_status& aAction, clock::time_point aNow)
  {
    mEngine.StatusArrived(aAction.server, StatusOf(aAction.server), aNow, aNow);
  }

  void Do(const group::open_connection& aAction, clock::time_point aNow)
  {
    mServer = aAction.server;
    mEngine.ConnectionOpened(aAction.connection, aNow);
  }

  void Do(const group::run_batch& aAction, clock::time_point aNow)
  {
    upstream::reply reply;
    for (const auto& one : aAction.statements) {
      const bool asksStatus = one.sql.find("status") != std::string::npos;
      reply.results.push_back(
        asksStatus ? StatusRow(mServer)
                   : upstream::result_set{ { "name" }, { "basin" }, 0 });
    }
    mEngine.Replied(aAction.connection, aAction.batch, reply, aNow);
  }

  void Do(const group::close_connection& /*aAction*/,
          clock::time_point /*aNow*/)
  {
  }

  void Do(const group::give_answer& aAction, clock::time_point /*aNow*/)
  {
    mIsAnswered = true;
    const bool isDone = aAction.reply.verdict == outcome::verdict::kDone;
    std::cout << (isDone ? "done" : "not done") << " by "
              << aAction.reply.servedBy << " in " << aAction.reply.failureDomain
              << ", " << aAction.reply.results.size() << " result\n";
  }

  [[nodiscard]] bool IsAnswered() const { return mIsAnswered; }

private:
  group::engine& mEngine;
  upstream::server_id mServer;
  bool mIsAnswered = false;
};

/// Runs the read; returns 0 if it was answered.
int
Run()
{
  const auto declared = policy::ParseDeclaration(kDeclaration);
  for (const auto& fault : declared.faults) {
    std::cerr << fault.line << ':' << fault.column << ' ' << fault.message
              << '\n';
  }
  if (!declared.faults.empty()) {
    return 1;
  }

  const group::description planner{ "planner-1",
                                    { MakeServer(kPrimary, "abdali"),
                                      MakeServer("server-2", "sweileh"),
                                      MakeServer("server-3", "marka") } };
  clock::time_point now{ std::chrono::hours(1) };
  const auto engine = group::MakeEngine({});
  engine->Configure(planner, now);

  group::request request;
  request.id = 1;
  request.work = declared.value.classes.front();
  request.statements = { { "SELECT name FROM fixtures", {} } };
  request.deadline = now + request.work.deadline;

  playground servers(*engine);
  bool isSubmitted = false;
  for (int i = 0; i < kMostSteps && !servers.IsAnswered(); ++i) {
    now += kStep;
    engine->Tick(now);
    for (const auto& action : engine->TakeActions()) {
      std::visit([&](const auto& aOne) { servers.Do(aOne, now); }, action);
    }
    if (!isSubmitted && i == kMostSteps / 4) {
      engine->Submit(request, now, clock::wall_time(std::chrono::hours(1)));
      isSubmitted = true;
    }
  }
  return servers.IsAnswered() ? 0 : 1;
}

} // namespace

int
main()
{
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
