#include "currantshed/proxy/connection.hpp"

#include <chrono>
#include <utility>

namespace currantshed::proxy {

namespace {

// Statements take some 10 ms to 100 ms; a lost answer never arrives.
constexpr std::chrono::milliseconds kOverdue{ 200 };
// Callers that do not pause send the next statement within a round trip.
constexpr std::chrono::milliseconds kPause{ 30 };

} // namespace

connection::connection(upstream::server_id aServer,
                       std::string aService,
                       std::string aVia,
                       std::string aCustomer,
                       connection_events& aEvents,
                       clock::time_point aNow)
  : server(std::move(aServer))
  , service(std::move(aService))
  , via(std::move(aVia))
  , customer(std::move(aCustomer))
  , idleSince(aNow)
  , mEvents(aEvents)
  , mMadeAt(aNow)
{
}

void
connection::Attach(std::unique_ptr<upstream_link> aLink)
{
  mLink = std::move(aLink);
}

void
connection::Send(const std::vector<command>& aCommands,
                 const expected_answer& aExpected)
{
  for (std::size_t i = 0; i < aCommands.size(); ++i) {
    mExpected.push_back(aExpected);
  }
  mLink->Send(aCommands);
}

std::vector<command>
connection::Prelude(const session_values& aValues)
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

clock::time_point
connection::OldestSent() const noexcept
{
  return mExpected.empty() ? clock::time_point::max()
                           : mExpected.front().sentAt;
}

bool
connection::IsHeldUp(clock::time_point aNow) const noexcept
{
  if (!mExpected.empty()) {
    return aNow > mExpected.front().sentAt + kOverdue;
  }
  return user != nullptr && aNow > mAnsweredAt + kPause;
}

void
connection::Opened(const std::optional<position::log_position>& aAt,
                   clock::time_point aNow)
{
  mIsOpen = true;
  idleSince = aNow;
  mEvents.Opened(*this, aAt, aNow);
}

void
connection::Answered(answer aAnswer, clock::time_point aNow)
{
  if (mExpected.empty()) {
    mEvents.Ended(*this, link_end::kMalformed, aNow);
    return;
  }
  const auto expected = mExpected.front();
  mExpected.pop_front();
  mAnsweredAt = aNow;
  mEvents.Answered(*this, expected, std::move(aAnswer), aNow);
}

void
connection::Ended(link_end aWhy, clock::time_point aNow)
{
  mIsOpen = false;
  mEvents.Ended(*this, aWhy, aNow);
}

} // namespace currantshed::proxy
