// Whose requests are, and whether they may run.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

const failure kUnknownKeyFailure{ failure_code::kNotAuthorized,
                                  "no customer has this key" };
const failure kStaleKeysFailure{
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
engine::RequiresCustomer(const route& aRoute) const
{
  return mConfiguration->customers != nullptr && !aRoute.isPublic;
}

// The customer that the session's key belongs to now; null where nobody is told
// apart, or where no customer has it.
std::shared_ptr<const customer::customer>
engine::CustomerOf(const session& aSession, const route& aRoute) const
{
  if (aSession.IsRelay() || !RequiresCustomer(aRoute)) {
    return nullptr;
  }
  return mConfiguration->customers->FindByKey(aSession.key);
}

session_admission
engine::Admits(const std::string& aDatabase,
               const std::string& aKey,
               clock::time_point aAskedAt,
               clock::time_point aNow) const
{
  const auto route = mConfiguration->routes.find(aDatabase);
  if (route == mConfiguration->routes.end()) {
    return session_admission::kNoDatabase;
  }
  if (!RequiresCustomer(*route->second)) {
    return session_admission::kGranted;
  }
  if (mConfiguration->customers->FindByKey(aKey) == nullptr) {
    return mFreshness.Covers(aAskedAt) ? session_admission::kUnknownKey
                                       : session_admission::kKeyNotYetKnown;
  }
  return mFreshness.Holds(aNow) ? session_admission::kGranted
                                : session_admission::kKeysStale;
}

// Why the session's next statement may not run; none when it may. Asked when
// the statement comes, and again before anything is sent to a server: it may
// have waited, or the process may have stood still in between. A VM that sends
// its work through this one has asked already.
std::optional<failure>
engine::AuthorizationFailure(const session& aSession,
                             const route& aRoute,
                             clock::time_point aNow) const
{
  if (aSession.IsRelay() || !RequiresCustomer(aRoute)) {
    return std::nullopt;
  }
  const auto owner = CustomerOf(aSession, aRoute);
  if (owner == nullptr) {
    return kUnknownKeyFailure;
  }
  // A key that has passed to another customer ends what the first one began:
  // its server has the first one's name.
  const auto* begun = aSession.transaction ? &aSession.transaction->customer
                      : aSession.current   ? &aSession.current->customer
                                           : nullptr;
  if (begun != nullptr && *begun != owner->name) {
    return failure{ failure_code::kAborted,
                    "the key has passed to another customer" };
  }
  return mFreshness.Holds(aNow) ? std::nullopt
                                : std::optional(kStaleKeysFailure);
}

bool
engine::IsOfCustomer(const session& aSession) const
{
  const auto route = RouteOf(aSession);
  return route != nullptr && !aSession.IsRelay() && RequiresCustomer(*route);
}

void
engine::CloseIdleCustomerSessions()
{
  CloseIdleSessions(true);
}

// Sessions whose key was taken away, or those of all customers, end once they
// rest. A caller that has sent something is answered first.
void
engine::CloseIdleSessions(bool aAll)
{
  if (mConfiguration->customers == nullptr) {
    return;
  }
  std::vector<session*> ended;
  for (const auto& [id, one] : mSessions) {
    const bool isIdle = !one->current && !one->transaction &&
                        one->backlog.empty() && !one->client.HasUnread();
    if (isIdle && IsOfCustomer(*one) &&
        (aAll || CustomerOf(*one, *RouteOf(*one)) == nullptr)) {
      ended.push_back(one.get());
    }
  }
  for (auto* one : ended) {
    one->client.Close();
  }
}

} // namespace currantshed::proxy
