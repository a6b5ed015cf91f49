#include "currantshed/pooler/view_publisher.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

constexpr clock::time_point kStart{ 100s };
constexpr std::uint64_t kFirst = 1000;

wire::view
ViewOf(std::uint64_t aConfiguration)
{
  wire::view view;
  view.groups = { "claimsbook-1" };
  view.owners = 3;
  view.configurationVersion = aConfiguration;
  view.declaration = aConfiguration == 0 ? "" : "classes: []";
  return view;
}

struct subscribe_row
{
  const char* name;
  /// Version of the configuration in the current view.
  std::uint64_t present;
  /// Version reported by the gateway.
  std::uint64_t told;
  bool getsDeclaration;
};

constexpr subscribe_row kSubscribeRows[] = {
  { "a new gateway gets the declaration", 4, 0, true },
  { "one with an older declaration gets it", 4, 3, true },
  { "one with the same version does not", 4, 4, false },
  { "one with a newer version does not", 4, 5, false },
  { "there is none yet", 0, 0, false },
};

} // namespace

TEST_GROUP(view_publisher){};

TEST(view_publisher, declaration_goes_to_those_who_lack_it)
{
  for (const auto& row : kSubscribeRows) {
    pooler::view_publisher publisher(kFirst);
    CHECK_TEXT(publisher.SetView(ViewOf(row.present)).empty(), row.name);
    const auto sent = publisher.Subscribe("gateway", { 0, row.told }, kStart);
    CHECK_EQUAL_TEXT(1, sent.size(), row.name);
    STRCMP_EQUAL_TEXT("gateway", sent[0].peer.c_str(), row.name);
    CHECK_EQUAL_TEXT(kFirst + 1, sent[0].view.version, row.name);
    CHECK_EQUAL_TEXT(
      row.getsDeclaration, !sent[0].view.declaration.empty(), row.name);
  }
}

TEST(view_publisher, a_subscriber_hears_of_each_change_once)
{
  pooler::view_publisher publisher(kFirst);
  CHECK(publisher.Subscribe("gateway", { 0, 0 }, kStart).empty());
  CHECK_EQUAL(1, publisher.SetView(ViewOf(3)).size());
  CHECK(publisher.SetView(ViewOf(3)).empty());
  const auto second = publisher.SetView(ViewOf(4));
  CHECK_EQUAL(1, second.size());
  CHECK_EQUAL(kFirst + 2, second[0].view.version);
  STRCMP_EQUAL("classes: []", second[0].view.declaration.c_str());
}

TEST(view_publisher, a_lost_declaration_comes_with_the_next_subscription)
{
  pooler::view_publisher publisher(kFirst);
  (void)publisher.SetView(ViewOf(3));
  (void)publisher.Subscribe("gateway", { 0, 0 }, kStart);
  const auto again = publisher.Subscribe("gateway", { 0, 0 }, kStart + 1s);
  CHECK_EQUAL(1, again.size());
  CHECK_FALSE(again[0].view.declaration.empty());
}

TEST(view_publisher, a_subscription_ends_unless_renewed)
{
  pooler::view_publisher publisher(kFirst);
  (void)publisher.Subscribe("stays", { 0, 0 }, kStart + 1s);
  (void)publisher.Subscribe("goes", { 0, 0 }, kStart);
  publisher.RemoveExpired(kStart + pooler::kSubscriptionTtl + 1s);
  CHECK_EQUAL(1, publisher.Subscribers());
  const auto sent = publisher.SetView(ViewOf(1));
  CHECK_EQUAL(1, sent.size());
  STRCMP_EQUAL("stays", sent[0].peer.c_str());
}

TEST(view_publisher, subscribers_are_bounded)
{
  pooler::view_publisher publisher(kFirst);
  for (std::size_t peer = 0; peer <= pooler::kMaxSubscribers; ++peer) {
    (void)publisher.Subscribe(std::to_string(peer), { 0, 0 }, kStart);
  }
  CHECK_EQUAL(pooler::kMaxSubscribers, publisher.Subscribers());
}
