#include "standin/upstream/faults.hpp"

#include <charconv>
#include <cstdint>
#include <system_error>
#include <utility>

namespace currantshed::standin::postgres {

namespace {

constexpr std::string_view kVmPrefix = "vm:";
// Longest delay accepted; no test runs for an hour.
constexpr std::chrono::milliseconds kLongest = std::chrono::hours(1);

bool
ReadTime(std::string_view aText, std::chrono::milliseconds& aTime)
{
  std::int64_t count = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, count);
  if (error != std::errc{} || end != last || count < 0 ||
      count > kLongest.count()) {
    return false;
  }
  aTime = std::chrono::milliseconds(count);
  return true;
}

} // namespace

bool
faults::CutsReplication() const noexcept
{
  return cutAll || cutReplication;
}

bool
faults::CutsVm(const std::string& aVm) const
{
  return cutAll || cutVms.contains(aVm);
}

bool
faults::Set(std::string_view aName, std::string_view aValue)
{
  if (aName == "cut") {
    return SetCut(aValue);
  }
  if (aName == "lag_ms") {
    return ReadTime(aValue, lag);
  }
  if (aName == "late_answer_ms") {
    return ReadTime(aValue, lateAnswer);
  }
  if (aName == "store_delay_ms") {
    return ReadTime(aValue, storeDelay);
  }
  return false;
}

// Reads a comma-separated list of cuts, which replaces the previous one.
bool
faults::SetCut(std::string_view aValue)
{
  faults made;
  while (!aValue.empty()) {
    const auto comma = aValue.find(',');
    const auto part = aValue.substr(0, comma);
    aValue.remove_prefix(comma == std::string_view::npos ? aValue.size()
                                                         : comma + 1);
    if (part == "all") {
      made.cutAll = true;
    } else if (part == "replication") {
      made.cutReplication = true;
    } else if (part.starts_with(kVmPrefix) && part.size() > kVmPrefix.size()) {
      made.cutVms.emplace(part.substr(kVmPrefix.size()));
    } else if (part != "none") {
      return false;
    }
  }
  cutAll = made.cutAll;
  cutReplication = made.cutReplication;
  cutVms = std::move(made.cutVms);
  return true;
}

} // namespace currantshed::standin::postgres
