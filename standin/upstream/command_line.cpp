#include "standin/upstream/command_line.hpp"

#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

namespace currantshed::standin::postgres {

namespace {

using text_flag = TCLAP::ValueArg<std::string>;
using number_flag = TCLAP::ValueArg<unsigned>;
using port_flag = TCLAP::ValueArg<std::uint16_t>;

constexpr int kUsageError = 2;

void
Read(int aCount, const char* const* aValues, server_settings& aSettings)
{
  TCLAP::CmdLine line(
    "A database server for tests: PostgreSQL's protocol over SQLite in "
    "memory, with terms, replication and faults.",
    ' ',
    CURRANTSHED_VERSION);
  text_flag id("", "id", "name of the server", true, "", "id", line);
  text_flag address(
    "", "address", "IP address to listen on", false, "127.0.0.1", "ip", line);
  port_flag port(
    "", "port", "port for client connections", true, 0, "port", line);
  port_flag control("",
                    "control-port",
                    "HTTP port for faults and state",
                    true,
                    0,
                    "port",
                    line);
  text_flag group("", "group", "name of the group", false, "group", "g", line);
  number_flag slots(
    "", "slots", "statements that run at once", false, 2, "n", line);
  number_flag connections(
    "", "connections", "maximum number of connections", false, 16, "n", line);
  number_flag connectDelay(
    "", "connect-delay-ms", "time to open a connection", false, 0, "ms", line);
  number_flag service("",
                      "service-time-us",
                      "time for which a statement holds its slot",
                      false,
                      0,
                      "us",
                      line);
  number_flag link("",
                   "link-delay-us",
                   "delay of each answer and replication message",
                   false,
                   0,
                   "us",
                   line);
  number_flag idle("",
                   "transaction-idle-ms",
                   "idle time after which a transaction is ended",
                   false,
                   15000,
                   "ms",
                   line);
  text_flag peers("",
                  "peers",
                  "servers of the group: id=address:port,...",
                  false,
                  "",
                  "list",
                  line);
  text_flag first("",
                  "first-primary",
                  "server that starts as primary of term 1",
                  false,
                  "",
                  "id",
                  line);
  text_flag schema(
    "", "schema", "SQL for the first log record", false, "", "file", line);
  text_flag data(
    "", "data", "file that stores term and log", false, "", "file", line);
  line.setExceptionHandling(false);
  line.parse(aCount, aValues);
  aSettings.id = id.getValue();
  aSettings.address = address.getValue();
  aSettings.port = port.getValue();
  aSettings.controlPort = control.getValue();
  aSettings.group = group.getValue();
  aSettings.slots = slots.getValue();
  aSettings.connections = connections.getValue();
  aSettings.connectDelay = std::chrono::milliseconds(connectDelay.getValue());
  aSettings.serviceTime = std::chrono::microseconds(service.getValue());
  aSettings.linkDelay = std::chrono::microseconds(link.getValue());
  aSettings.transactionIdle = std::chrono::milliseconds(idle.getValue());
  aSettings.peers = peers.getValue();
  aSettings.firstPrimary = first.getValue();
  aSettings.schemaFile = schema.getValue();
  aSettings.dataFile = data.getValue();
}

} // namespace

std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aValues,
                server_settings& aSettings)
{
  try {
    Read(aCount, aValues, aSettings);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& fault) {
    std::cerr << fault.argId() << ": " << fault.error() << '\n';
    return kUsageError;
  }
  return std::nullopt;
}

} // namespace currantshed::standin::postgres
