#include "currantshed/upstream/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::upstream;

namespace {

struct message_row
{
  const char* name;
  const char* text;
  bool wasOpen;
  errc expected;
};

constexpr message_row kMessages[] = {
  { "refused by the operating system",
    "connection to server at \"127.0.0.1\", port 1 failed: Connection refused",
    false,
    errc::kConnectFailed },
  { "refused by the server",
    "connection to server at \"127.0.0.1\", port 1 failed: FATAL:  sorry, too "
    "many clients already",
    false,
    errc::kTooManyConnections },
  { "no text", "", false, errc::kConnectFailed },
  { "an open connection", "too many", true, errc::kConnectionLost },
};

} // namespace

TEST_GROUP(upstream_errors){};

TEST(upstream_errors, from_libpq)
{
  for (const auto& row : kMessages) {
    CHECK_TEXT(ClassifyConnectionError(row.text, row.wasOpen) == row.expected,
               row.name);
  }
}
