#include "test/platform/fuzz_entry.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <system_error>

#include "platform/server_entry.hpp"

namespace currantshed::test {

namespace {

void
Require(bool aCondition, const char* aWhat, std::string_view aText)
{
  if (!aCondition) {
    std::cerr << aWhat << ": " << aText << '\n';
    std::abort();
  }
}

// Blanks and ends of lines would add fields or lines to a command.
bool
IsWord(const std::string& aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aLetter) {
           return aLetter > ' ' && aLetter <= '~';
         });
}

} // namespace

void
CheckEntry(std::string_view aText)
{
  const auto end = aText.find('\n');
  const auto id = aText.substr(0, end);
  const auto value =
    end == std::string_view::npos ? std::string_view{} : aText.substr(end + 1);
  proxy::server before;
  before.id = "before";
  auto read = before;
  if (platform::ReadServerEntry(id, value, read)) {
    Require(read == before, "a rejected entry modified its output", aText);
    return;
  }
  Require(read.id == id, "the id has changed", aText);
  Require(IsWord(read.id) && IsWord(read.service) && IsWord(read.failureDomain),
          "a name is not a single word",
          aText);
  Require(!read.address.empty() && read.port != 0, "no address or port", aText);
  Require(read.startedAt.time_since_epoch().count() >= 0,
          "the start time is negative",
          aText);
}

} // namespace currantshed::test
