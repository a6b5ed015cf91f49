#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "standin/upstream/command_line.hpp"
#include "standin/upstream/control.hpp"
#include "standin/upstream/server.hpp"
#include "standin/upstream/sql_text.hpp"

namespace {

using namespace currantshed::standin::postgres;

std::vector<std::string>
ReadSchema(const std::string& aPath)
{
  if (aPath.empty()) {
    return {};
  }
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("can't read " + aPath);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return SplitStatements(text);
}

void
Serve(const server_settings& aSettings)
{
  boost::asio::io_context context(1);
  server database(context, aSettings, ReadSchema(aSettings.schemaFile));
  control commands(context, database, aSettings.address, aSettings.controlPort);
  database.Start();
  commands.Start();
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto, int) { context.stop(); });
  std::cerr << "currantshed-standin-upstream: " << aSettings.id
            << " is ready\n";
  context.run();
}

} // namespace

int
main(int aCount, char** aValues)
{
  server_settings settings;
  const auto exitCode = ReadCommandLine(aCount, aValues, settings);
  if (exitCode) {
    return *exitCode;
  }
  try {
    Serve(settings);
  } catch (const std::exception& error) {
    std::cerr << "currantshed-standin-upstream: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
