#include "currantshed/load/shape.hpp"

#include <string>
#include <vector>

#include "currantshed/load/experiment.hpp"

#include <CppUTest/TestHarness.h>

namespace load = currantshed::load;

namespace {

constexpr char kShape[] = R"({
  "name": "small", "declaration": "d.yaml",
  "platform": {"address": "127.0.0.1", "port": 1},
  "delays": {"between_failure_domains_us": 1500, "connect_ms": 12},
  "vms": [{"id": "vm-1", "address": "127.0.0.1", "failure_domain": "hall",
           "request_port": 2, "peer_port": 3, "status_port": 4,
           "caller_port": 5}],
  "upstreams": [
    {"id": "b", "group": "g-2", "address": "127.0.0.1", "port": 6,
     "control_port": 7, "failure_domain": "hall", "slots": 2,
     "connections": 16},
    {"id": "a", "group": "g-1", "address": "127.0.0.1", "port": 8,
     "control_port": 9, "failure_domain": "hall", "slots": 2,
     "connections": 16}]})";

constexpr char kLines[] = "name small\n"
                          "declaration d.yaml\n"
                          "platform 127.0.0.1 1\n"
                          "delays 1500 12\n"
                          "vm vm-1 127.0.0.1 hall 2 3 4 5\n"
                          "upstream b g-2 127.0.0.1 6 7 hall 2 16\n"
                          "upstream a g-1 127.0.0.1 8 9 hall 2 16\n";

struct cut_row
{
  const char* name;
  const char* text;
  bool good;
  std::size_t count;
};

const cut_row kCutRows[] = {
  { "none", "", true, 0 },
  { "one", "g-1@4000", true, 1 },
  { "two", "g-1@4000,g-2@0", true, 2 },
  { "no time", "g-1", false, 0 },
  { "no group", "@10", false, 0 },
  { "time of another form", "g-1@4s", false, 0 },
  { "time below zero", "g-1@-4", false, 0 },
};

} // namespace

TEST_GROUP(load_shape){};

TEST(load_shape, shell_lines)
{
  load::shape shape;
  std::string fault;
  CHECK_TRUE(load::ParseShape(kShape, shape, fault));
  STRCMP_EQUAL(kLines, load::ShellLines(shape).c_str());
  const auto groups = load::GroupsOf(shape);
  CHECK_TRUE(groups == std::vector<std::string>({ "g-1", "g-2" }));
}

TEST(load_shape, faults)
{
  for (const char* const text : { "", "[]", "{}", R"({"name": 1})" }) {
    load::shape shape;
    std::string fault;
    CHECK_FALSE_TEXT(load::ParseShape(text, shape, fault), text);
    CHECK_FALSE_TEXT(fault.empty(), text);
  }
}

TEST(load_shape, cut_orders)
{
  for (const auto& row : kCutRows) {
    std::vector<load::cut_order> cuts;
    CHECK_TEXT(load::ParseCuts(row.text, cuts) == row.good, row.name);
    CHECK_TEXT(cuts.size() == row.count, row.name);
  }
}
