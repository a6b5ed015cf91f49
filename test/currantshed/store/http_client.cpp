#include "currantshed/store/http_client.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::store::client;
using currantshed::store::entry;
using currantshed::store::errc;
using currantshed::store::http_method;
using currantshed::store::http_request;
using currantshed::store::http_response;
using currantshed::store::listing;
using currantshed::store::MakeClient;
using currantshed::store::swap_outcome;
using currantshed::store::transport;

namespace {

constexpr auto kTimeout = 500ms;
constexpr char kKey[] = "currantshed/configuration";

struct sent_call
{
  http_request request;
  transport::callback done;
};

/// Records the requests for the test to answer.
class fake_transport final : public transport
{
public:
  explicit fake_transport(std::vector<sent_call>& aSent)
    : mSent(aSent)
  {
  }

  void Send(http_request aRequest, callback aDone) override
  {
    mSent.push_back({ std::move(aRequest), std::move(aDone) });
  }

private:
  std::vector<sent_call>& mSent;
};

http_response
Response(int aStatus, const std::string& aBody, std::uint64_t aIndex = 0)
{
  return http_response{ {}, aStatus, aIndex, aBody };
}

http_response
Failure(errc aError)
{
  return http_response{ aError, 0, 0, {} };
}

struct list_row
{
  const char* name;
  http_response vms;
  http_response groups;
  std::error_code error;
};

const list_row kListRows[] = {
  { "both", Response(200, "[]"), Response(200, "[]"), {} },
  { "first response lost",
    Failure(errc::kTimeout),
    Response(200, "[]"),
    errc::kTimeout },
  { "second response lost",
    Response(200, "[]"),
    Failure(errc::kUnreachable),
    errc::kUnreachable },
  { "both lost: the first error is reported",
    Failure(errc::kTimeout),
    Failure(errc::kUnreachable),
    errc::kTimeout },
};

} // namespace

TEST_GROUP(http_client)
{
  std::vector<sent_call> sent;
  std::unique_ptr<client> subject =
    MakeClient(std::make_unique<fake_transport>(sent), kTimeout);

  void WatchFrom(std::uint64_t aKnown)
  {
    subject->Watch(kKey, aKnown, 10s, [](auto, auto) {});
  }
};

TEST(http_client, a_swap_says_what_it_expects)
{
  auto outcome = swap_outcome::kUnknown;
  subject->Swap(
    kKey, "text", 7, [&outcome](auto aOutcome) { outcome = aOutcome; });
  CHECK(sent[0].request.method == http_method::kPut);
  STRCMP_EQUAL("/v1/kv/currantshed/configuration?cas=7",
               sent[0].request.target.c_str());
  STRCMP_EQUAL("text", sent[0].request.body.c_str());
  CHECK(sent[0].request.timeout == kTimeout);
  sent[0].done(Response(200, "true"));
  CHECK(outcome == swap_outcome::kApplied);
}

TEST(http_client, a_watch_waits_for_its_own_time_beside_the_timeout)
{
  WatchFrom(7);
  STRCMP_EQUAL("/v1/kv/currantshed/configuration?index=7&wait=10000ms",
               sent[0].request.target.c_str());
  CHECK(sent[0].request.timeout == 10s + kTimeout);
}

TEST(http_client, a_watch_on_an_absent_key_waits_on_the_stores_index)
{
  WatchFrom(0);
  STRCMP_EQUAL("/v1/kv/currantshed/configuration",
               sent[0].request.target.c_str());
  sent[0].done(Response(404, "", 33));
  WatchFrom(0);
  STRCMP_EQUAL("/v1/kv/currantshed/configuration?index=33&wait=10000ms",
               sent[1].request.target.c_str());
  sent[1].done(Response(200, R"([{"Value":"YWJj","ModifyIndex":34}])", 34));
  WatchFrom(0);
  STRCMP_EQUAL("/v1/kv/currantshed/configuration",
               sent[2].request.target.c_str());
}

TEST(http_client, a_list_needs_both_halves)
{
  for (const auto& row : kListRows) {
    sent.clear();
    int calls = 0;
    std::error_code error;
    subject->List([&](std::error_code aError, const listing&) {
      ++calls;
      error = aError;
    });
    CHECK_TEXT(sent.size() == 2, row.name);
    sent[0].done(row.vms);
    CHECK_TEXT(calls == 0, row.name);
    sent[1].done(row.groups);
    CHECK_TEXT(calls == 1, row.name);
    CHECK_TEXT(error == row.error, row.name);
  }
}
