// Customers: admission of their sessions and authorization of their requests.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

const failure kKeyNotKnown{ failure_code::kNotAuthorized,
                            "no customer has this key" };
const failure kKeysTooOld{
  failure_code::kBusy,
  "this VM can't tell which keys are in force; retry"
};

} // namespace

void
engine::SetFreshness(const customer::freshness& aFreshness)
{
  mFreshness = aFreshness;
}

bool
engine::TellsCustomersApart(const route& aRoute) const
{
  return mConfiguration->customers != nullptr && !aRoute.isPublic;
}

// The customer that the session's key currently belongs to; null when none is
// required or no customer has the key.
std::shared_ptr<const customer::customer>
engine::OwnerOf(const session& aSession, const route& aRoute) const
{
  if (aSession.IsRelay() || !TellsCustomersApart(aRoute)) {
    return nullptr;
  }
  return mConfiguration->customers->Find(aSession.key);
}

entry
engine::Admits(const std::string& aDatabase,
               const std::string& aKey,
               clock::time_point aAskedAt,
               clock::time_point aNow) const
{
  const auto route = mConfiguration->routes.find(aDatabase);
  if (route == mConfiguration->routes.end()) {
    return entry::kNoDatabase;
  }
  if (!TellsCustomersApart(*route->second)) {
    return entry::kGranted;
  }
  if (mConfiguration->customers->Find(aKey) == nullptr) {
    return mFreshness.Covers(aAskedAt) ? entry::kUnknownKey
                                       : entry::kKeyMayBeNew;
  }
  return mFreshness.Holds(aNow) ? entry::kGranted : entry::kKeysOld;
}

// Why the session's next statement is not authorized; empty when it is. Checked
// when the statement arrives and again before anything is sent to a server,
// since the statement may have been queued or the process suspended in between.
// For a relayed statement the requesting VM has checked already.
std::optional<failure>
engine::WhyNotEntitled(const session& aSession,
                       const route& aRoute,
                       clock::time_point aNow) const
{
  if (aSession.IsRelay() || !TellsCustomersApart(aRoute)) {
    return std::nullopt;
  }
  const auto owner = OwnerOf(aSession, aRoute);
  if (owner == nullptr) {
    return kKeyNotKnown;
  }
  // When the key has passed to another customer, what the former customer began
  // is aborted: the server runs it under that customer's name.
  const auto* begun = aSession.transaction ? &aSession.transaction->customer
                      : aSession.current   ? &aSession.current->customer
                                           : nullptr;
  if (begun != nullptr && *begun != owner->name) {
    return failure{ failure_code::kAborted,
                    "the key has passed to another customer" };
  }
  return mFreshness.Holds(aNow) ? std::nullopt : std::optional(kKeysTooOld);
}

bool
engine::IsOfCustomer(const session& aSession) const
{
  const auto route = RouteOf(aSession);
  return route != nullptr && !aSession.IsRelay() && TellsCustomersApart(*route);
}

void
engine::EndRestingOfCustomers()
{
  EndResting(true);
}

// Closes idle sessions whose key was revoked, or those of all customers. A
// client that has sent a request gets its answer first.
void
engine::EndResting(bool aAll)
{
  if (mConfiguration->customers == nullptr) {
    return;
  }
  std::vector<session*> ended;
  for (const auto& [id, one] : mSessions) {
    const bool rests = !one->current && !one->transaction &&
                       one->backlog.empty() && !one->farEnd.HasUnread();
    if (rests && IsOfCustomer(*one) &&
        (aAll || OwnerOf(*one, *RouteOf(*one)) == nullptr)) {
      ended.push_back(one.get());
    }
  }
  for (auto* one : ended) {
    one->farEnd.Close();
  }
}

} // namespace currantshed::proxy
