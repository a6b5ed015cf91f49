#include "currantshed/ctl/gateway_port.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct port_row
{
  const char* given;
  /// Expected port at a VM whose pooler has status port 7; zero for an invalid
  /// text.
  int expect;
};

constexpr port_row kRows[] = {
  { "24002", 24002 }, { "+1", 8 },    { "65535", 65535 }, { "", 0 },
  { "+", 0 },         { "0", 0 },     { "+0", 0 },        { "-1", 0 },
  { "++1", 0 },       { "65536", 0 }, { "1x", 0 },        { " 1", 0 },
};

} // namespace

TEST_GROUP(gateway_port){};

TEST(gateway_port, table)
{
  store::vm vm;
  vm.statusPort = 7;
  for (const auto& row : kRows) {
    const auto read = ctl::ParseGatewayPort(row.given);
    LONGS_EQUAL_TEXT(
      row.expect, read ? ctl::GatewayPortOf(vm, *read) : 0, row.given);
  }
}
