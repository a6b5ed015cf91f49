#include "currantshed/proxy/connection.hpp"

#include <chrono>
#include <utility>

namespace currantshed::proxy {

namespace {

// Statements take some 10 ms to 100 ms; a lost answer never arrives.
constexpr std::chrono::milliseconds kAnswerOverdue{ 200 };
// Callers that do not pause send the next statement within a round trip.
constexpr std::chrono::milliseconds kCallerPause{ 30 };

} // namespace

connection::connection(upstream::server_id aServer,
                       std::string aService,
                       std::string aVia,
                       std::string aCustomer,
                       connection_listener& aListener,
                       clock::time_point aNow)
  : server(std::move(aServer))
  , service(std::move(aService))
  , via(std::move(aVia))
  , customer(std::move(aCustomer))
  , idleSince(aNow)
  , mListener(aListener)
  , mCreatedAt(aNow)
{
}

void
connection::Attach(std::unique_ptr<upstream_link> aLink)
{
  mLink = std::move(aLink);
}

void
connection::Send(const std::vector<command>& aCommands,
                 const pending_command& aPending)
{
  for (std::size_t i = 0; i < aCommands.size(); ++i) {
    mPending.push_back(aPending);
  }
  mLink->Send(aCommands);
}

std::vector<command>
connection::SessionSetup(const session_values& aValues)
{
  std::vector<command> commands;
  if (HasValues(aValues)) {
    return commands;
  }
  // Single session values can't be removed: they are reset all at once.
  bool reset = false;
  for (const auto& [name, value] : mValues) {
    reset = reset || !aValues.contains(name);
  }
  if (reset) {
    commands.push_back({ .kind = command_kind::kReset });
    mValues.clear();
    mPrepared.clear();
  }
  for (const auto& [name, value] : aValues) {
    const auto found = mValues.find(name);
    if (found == mValues.end() || found->second != value) {
      commands.push_back(
        { .kind = command_kind::kSet, .name = name, .argument = value });
    }
  }
  mValues = aValues;
  return commands;
}

std::vector<command>
connection::Prepare(const prepared_statement& aWhat)
{
  if (!mPrepared.insert(aWhat.sharedName).second) {
    return {};
  }
  return { { .kind = command_kind::kPrepare,
             .name = aWhat.sharedName,
             .argument = aWhat.shape,
             .writes = aWhat.writes } };
}

bool
connection::HasValues(const session_values& aValues) const
{
  return mValues == aValues;
}

bool
connection::HasWork() const noexcept
{
  return !mPending.empty() && mPending.front().sentFor != purpose::kControl;
}

clock::time_point
connection::OldestPendingAt() const noexcept
{
  return mPending.empty() ? clock::time_point::max() : mPending.front().sentAt;
}

bool
connection::IsStalled(clock::time_point aNow) const noexcept
{
  if (!mPending.empty()) {
    return aNow > mPending.front().sentAt + kAnswerOverdue;
  }
  return user != nullptr && aNow > mAnsweredAt + kCallerPause;
}

void
connection::Opened(const std::optional<position::log_position>& aAt,
                   clock::time_point aNow)
{
  mIsOpen = true;
  idleSince = aNow;
  mListener.Opened(*this, aAt, aNow);
}

void
connection::Answered(answer aAnswer, clock::time_point aNow)
{
  if (mPending.empty()) {
    mListener.Ended(*this, link_close_reason::kMalformed, aNow);
    return;
  }
  const auto pending = mPending.front();
  mPending.pop_front();
  mAnsweredAt = aNow;
  mListener.Answered(*this, pending, std::move(aAnswer), aNow);
}

void
connection::Ended(link_close_reason aWhy, clock::time_point aNow)
{
  mIsOpen = false;
  mListener.Ended(*this, aWhy, aNow);
}

} // namespace currantshed::proxy
