#include "currantshed/net/zmq_context.hpp"

#include <cstddef>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct size_row
{
  const char* name;
  int poolers;
  int threads;
};

constexpr int kSocketsPerLink = 3;

const size_row kSizes[] = {
  { "today", 9, 2 },
  { "planned", 530, 2 },
  { "planned, eight threads", 530, 8 },
};

} // namespace

TEST_GROUP(zmq_context){};

TEST(zmq_context, has_sockets_for_a_connection_to_every_pooler)
{
  auto context = net::MakeContext();
  const int most = context.get(zmq::ctxopt::max_sockets);
  for (const auto& row : kSizes) {
    const int needed = row.poolers * row.threads * kSocketsPerLink;
    CHECK_TEXT(most >= needed, row.name);
  }
}
