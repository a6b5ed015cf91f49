#include "currantshed/proxy/connection_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

namespace currantshed::proxy {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Half-life of a customer's rate: long enough for several requests of a
// customer with one percent of the load, short enough to follow a change.
constexpr milliseconds kRateHalfLife{ 5000 };
// Callers often send several requests one after the other: just after one the
// customer counts as if it sent this many more per second. Without this, the
// connection of a customer with a low rate is closed between two of them.
constexpr double kBurstRate = 1.0;
constexpr milliseconds kBurstHalfLife{ 100 };
// A connection that was used within this time is likely to be used again.
constexpr milliseconds kRecentUse{ 5000 };
// Customers without requests for this long are forgotten.
constexpr milliseconds kForgetAfter{ 60000 };
constexpr milliseconds kForgetInterval{ 1000 };
constexpr std::size_t kMaxCustomers = 1024;
// Connections that a customer may take from others even if its share is less: a
// connection serves one statement at a time, so that its requests would wait
// for each other while slots are idle.
constexpr double kMinShare = 2.0;
// Divisor of the newest sample in a moving average.
constexpr int kMeanWeight = 8;
// Divisor by which the shortest opening time grows towards newer ones.
constexpr int kShortestWeight = 512;
// Connections opened at the same time: each opening takes one of the server's
// few execution slots.
constexpr unsigned kMaxOpening = 2;
// The same while statements wait for slots and a connection must be closed for
// each opening. Not zero, so that each customer is served.
constexpr unsigned kMaxOpeningScarce = 1;
// Openings that take this many times the shortest wait for slots themselves.
constexpr int kScarceFactor = 2;
constexpr milliseconds kMinOpening{ 5 };
constexpr milliseconds kOpeningTimeLifetime{ 2000 };
// Requests in a row that take a customer's connection as soon as it is returned
// before what waits is served in its own order.
constexpr unsigned kTurn = 8;

// Order in which connections are closed for another customer.
enum class closing_rank
{
  kRetiring,
  kAboveShare,
  // Its customer's only one, recently used.
  kLastInUse,
  // Recently used, and its customer's share is not exceeded.
  kWithinShare,
};

double
Decayed(double aRate, clock::duration aSince, milliseconds aHalfLife)
{
  return aRate * std::exp2(-duration<double>(aSince) / aHalfLife);
}

} // namespace

struct connection_shares::holdings
{
  // Connections that are kept, including those being opened.
  std::size_t held = 0;
  std::size_t busy = 0;
  std::size_t opening = 0;
};

void
connection_shares::Started(const std::string& aCustomer,
                           std::optional<double> aQuotaRate,
                           clock::duration aIdleFor,
                           clock::time_point aNow)
{
  // Each request raises the rate such that steady requests converge to it.
  const double step =
    std::numbers::ln2 / duration<double>(kRateHalfLife).count();
  auto& known = mCustomers[aCustomer];
  known.rate = Decayed(known.rate, aNow - known.usedAt, kRateHalfLife) + step;
  known.usedAt = aNow;
  known.quotaRate = aQuotaRate;
  known.backToBack =
    aIdleFor == clock::duration::zero() ? known.backToBack + 1 : 0;
  Forget(aNow);
}

void
connection_shares::Returned(clock::duration aHeldFor)
{
  mMeanHeld += (aHeldFor - mMeanHeld) / kMeanWeight;
}

void
connection_shares::Opened(const std::string& aCustomer,
                          clock::duration aOpeningTime,
                          clock::time_point aNow)
{
  const bool isFirst = mShortestOpening == clock::duration::max();
  mMeanOpening = isFirst
                   ? aOpeningTime
                   : mMeanOpening + (aOpeningTime - mMeanOpening) / kMeanWeight;
  mShortestOpening =
    isFirst ? aOpeningTime
            : std::min(aOpeningTime,
                       mShortestOpening +
                         (aOpeningTime - mShortestOpening) / kShortestWeight);
  mOpenedAt = aNow;
  const auto known = mCustomers.find(aCustomer);
  if (known != mCustomers.end()) {
    known->second.backToBack = 0;
  }
}

// Bounds the state: without this it would grow with each customer ever seen.
void
connection_shares::Forget(clock::time_point aNow)
{
  if (aNow - mForgottenAt >= kForgetInterval) {
    mForgottenAt = aNow;
    absl::erase_if(mCustomers, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.usedAt > kForgetAfter;
    });
  }
  if (mCustomers.size() > kMaxCustomers) {
    mCustomers.erase(std::min_element(mCustomers.begin(),
                                      mCustomers.end(),
                                      [](const auto& aOne, const auto& aTwo) {
                                        return aOne.second.usedAt <
                                               aTwo.second.usedAt;
                                      }));
  }
}

bool
connection_shares::IsTurnOver(std::string_view aCustomer) const
{
  const auto known = mCustomers.find(aCustomer);
  return known != mCustomers.end() && known->second.backToBack > 0 &&
         known->second.backToBack % kTurn == 0;
}

double
connection_shares::RateOf(std::string_view aCustomer,
                          clock::time_point aNow) const
{
  const auto known = mCustomers.find(aCustomer);
  if (known == mCustomers.end()) {
    return 0;
  }
  const auto since = aNow - known->second.usedAt;
  return Decayed(known->second.rate, since, kRateHalfLife) +
         Decayed(kBurstRate, since, kBurstHalfLife);
}

connection_shares::holdings
connection_shares::HoldingsOf(
  std::string_view aCustomer,
  absl::Span<const customer_connection> aConnections)
{
  holdings found;
  for (const auto& one : aConnections) {
    if (one.customer != aCustomer || one.isRetiring) {
      continue;
    }
    ++found.held;
    found.busy += one.isOpen && !one.isIdle ? 1 : 0;
    found.opening += one.isOpen ? 0 : 1;
  }
  return found;
}

// Whether statements wait for the server's slots. Those of other VMs are not
// seen, but they prolong openings.
bool
connection_shares::AreSlotsScarce(const server_occupancy& aServer,
                                  clock::time_point aNow) const
{
  if (aServer.slots > 0 && aServer.running >= aServer.slots) {
    return true;
  }
  return mShortestOpening != clock::duration::max() &&
         aNow - mOpenedAt < kOpeningTimeLifetime &&
         mMeanOpening > kScarceFactor * std::max<clock::duration>(
                                          mShortestOpening, kMinOpening);
}

// Whether one more connection would help the customer: a busy one is expected
// back later than a new one would be open, or more requests wait than its
// connections serve.
bool
connection_shares::NeedsAnother(const std::string& aCustomer,
                                const holdings& aOwn) const
{
  if (aOwn.busy == 0) {
    return true;
  }
  const auto known = mCustomers.find(aCustomer);
  const bool isSaturated =
    known != mCustomers.end() && known->second.backToBack > aOwn.busy;
  const auto busy = static_cast<clock::duration::rep>(aOwn.busy);
  return isSaturated || mMeanHeld / busy > mMeanOpening;
}

// Customers without a quota count like the mean of those that have one.
double
connection_shares::MeanQuotaRate() const
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [name, known] : mCustomers) {
    if (known.quotaRate && *known.quotaRate > 0) {
      sum += *known.quotaRate;
      ++count;
    }
  }
  return count == 0 ? 1.0 : sum / static_cast<double>(count);
}

double
connection_shares::WeightOf(std::string_view aCustomer, double aDefault) const
{
  const auto known = mCustomers.find(aCustomer);
  return known == mCustomers.end() ? aDefault
                                   : known->second.quotaRate.value_or(aDefault);
}

// The weight of all customers that have recent requests or connections.
double
connection_shares::TotalWeight(
  const std::string& aCustomer,
  absl::Span<const customer_connection> aConnections,
  double aDefault) const
{
  double total = mCustomers.contains(aCustomer) ? 0 : aDefault;
  for (const auto& [name, known] : mCustomers) {
    total += known.quotaRate.value_or(aDefault);
  }
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const auto& customer = aConnections[i].customer;
    const bool isCounted =
      customer == aCustomer || mCustomers.contains(customer) ||
      std::any_of(
        aConnections.begin(),
        aConnections.begin() + static_cast<std::ptrdiff_t>(i),
        [&customer](const auto& aOne) { return aOne.customer == customer; });
    total += isCounted ? 0 : aDefault;
  }
  return total;
}

// The idle connection of another customer to close. A customer without any may
// take one from everybody; one that has some takes what its share covers, a
// second one from a customer that uses its own less, what others hold further
// above theirs, and what they have not used recently.
std::optional<std::size_t>
connection_shares::Closes(const std::string& aCustomer,
                          const holdings& aOwn,
                          absl::Span<const customer_connection> aConnections,
                          std::size_t aLimit,
                          clock::time_point aNow) const
{
  const double defaultWeight = MeanQuotaRate();
  const double total = TotalWeight(aCustomer, aConnections, defaultWeight);
  const auto shareOf = [&](std::string_view aOf) {
    return total > 0 ? static_cast<double>(aLimit) *
                         WeightOf(aOf, defaultWeight) / total
                     : 0;
  };
  const double ownShare = shareOf(aCustomer);
  const double ownHeldAfter = static_cast<double>(aOwn.held) + 1;
  const double ownRateAfter = RateOf(aCustomer, aNow) / ownHeldAfter;
  using order = std::tuple<closing_rank, double, double, clock::time_point>;
  std::optional<order> best;
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const auto& one = aConnections[i];
    if (!one.isIdle || (one.customer == aCustomer && !one.isRetiring)) {
      continue;
    }
    const auto held =
      static_cast<double>(HoldingsOf(one.customer, aConnections).held);
    const double share = shareOf(one.customer);
    const bool isRecent = aNow - one.idleSince < kRecentUse;
    const auto rank = one.isRetiring ? closing_rank::kRetiring
                      : !isRecent    ? closing_rank::kAboveShare
                      : held - 1 < std::floor(share)
                        ? closing_rank::kWithinShare
                      : held <= 1 ? closing_rank::kLastInUse
                                  : closing_rank::kAboveShare;
    const double rate = RateOf(one.customer, aNow);
    const bool isCovered = ownHeldAfter <= ownShare ||
                           held - share >= ownHeldAfter - ownShare ||
                           (ownHeldAfter <= kMinShare && ownRateAfter > rate);
    const bool isAllowed = aOwn.held == 0 || one.isRetiring || !isRecent ||
                           (rank != closing_rank::kWithinShare && isCovered);
    const order candidate{
      rank, -std::ceil(held - share), rate, one.idleSince
    };
    if (isAllowed && (!best || candidate < *best)) {
      best = candidate;
      found = i;
    }
  }
  return found;
}

opening_decision
connection_shares::Decide(const std::string& aCustomer,
                          absl::Span<const customer_connection> aConnections,
                          const server_occupancy& aServer,
                          clock::time_point aNow) const
{
  const auto own = HoldingsOf(aCustomer, aConnections);
  if (own.opening > 0) {
    return {};
  }
  const auto opening = static_cast<std::size_t>(std::count_if(
    aConnections.begin(), aConnections.end(), [](const auto& aOne) {
      return !aOne.isOpen;
    }));
  const bool isScarce = AreSlotsScarce(aServer, aNow);
  std::size_t most = kMaxOpening;
  if (own.held > 0) {
    // Statements on the connections that exist already use all slots: one more
    // would add nothing.
    if (isScarce || !NeedsAnother(aCustomer, own)) {
      return {};
    }
    most = 1;
  } else if (aServer.hasRoom) {
    // After a restart all connections are opened at once: each lets another
    // customer in and closes nobody's.
    most = std::max(kMaxOpening, aServer.slots);
  } else if (isScarce) {
    most = kMaxOpeningScarce;
  }
  if (opening >= most) {
    return {};
  }
  if (aServer.hasRoom) {
    return { true, std::nullopt };
  }
  const auto closes = Closes(aCustomer, own, aConnections, aServer.limit, aNow);
  return { closes.has_value(), closes };
}

} // namespace currantshed::proxy
