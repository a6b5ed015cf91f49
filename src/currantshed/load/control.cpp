#include "currantshed/load/control.hpp"

#include <charconv>
#include <cstdint>
#include <memory>
#include <thread>
#include <utility>

#include <boost/json.hpp>
#include <curl/curl.h>

#include "currantshed/load/tables.hpp"

namespace currantshed::load {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

constexpr long kTimeoutMs = 10000;
constexpr long kHttpOk = 200;
constexpr milliseconds kRetryInterval{ 50 };

std::size_t
Collect(const char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::string
UrlOf(const shape_upstream& aServer, const std::string& aTarget)
{
  std::string url = "http://" + aServer.address;
  url.append(":").append(std::to_string(aServer.controlPort));
  return url.append(aTarget);
}

/// The body of a response with status 200; none otherwise.
std::optional<std::string>
Call(const std::string& aUrl, bool aPost)
{
  const curl_handle handle(curl_easy_init(), curl_easy_cleanup);
  std::string body;
  curl_easy_setopt(handle.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, Collect);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
  if (aPost) {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, "");
  }
  if (curl_easy_perform(handle.get()) != CURLE_OK) {
    return std::nullopt;
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status != kHttpOk) {
    return std::nullopt;
  }
  return body;
}

std::string
Escaped(const std::string& aText)
{
  const curl_handle handle(curl_easy_init(), curl_easy_cleanup);
  char* const text = curl_easy_escape(
    handle.get(), aText.c_str(), static_cast<int>(aText.size()));
  std::string escaped = text;
  curl_free(text);
  return escaped;
}

struct server_state
{
  std::uint64_t term = 0;
  bool primary = false;
};

server_state
StateOf(const shape_upstream& aServer)
{
  const auto body = Call(UrlOf(aServer, "/state"), false);
  boost::system::error_code fault;
  const json::value state = json::parse(body.value_or("{}"), fault);
  const json::object* const object = fault ? nullptr : state.if_object();
  if (object == nullptr || !object->contains("term")) {
    return {};
  }
  return { json::value_to<std::uint64_t>(object->at("term")),
           object->at("role") == "primary" };
}

/// The rows of a query's response as text; none if it cannot be parsed.
std::optional<std::vector<std::vector<std::string>>>
Dump(const shape_upstream& aServer, const std::string& aSql)
{
  const auto body = Call(UrlOf(aServer, "/dump?sql=" + Escaped(aSql)), false);
  boost::system::error_code fault;
  const json::value dump = json::parse(body.value_or("null"), fault);
  if (fault || !dump.is_object()) {
    return std::nullopt;
  }
  std::vector<std::vector<std::string>> rows;
  for (const json::value& row : dump.at("rows").as_array()) {
    auto& cells = rows.emplace_back();
    for (const json::value& cell : row.as_array()) {
      cells.push_back(cell.is_null() ? "" : json::value_to<std::string>(cell));
    }
  }
  return rows;
}

std::optional<group_contents>
HoldingOf(const shape_upstream& aServer)
{
  const auto changes = Dump(aServer, DumpChanges());
  const auto tags = Dump(aServer, DumpTags());
  if (!changes || !tags) {
    return std::nullopt;
  }
  group_contents held;
  held.group = aServer.group;
  for (const auto& row : *changes) {
    const std::string& digits = row.at(1);
    std::from_chars(
      digits.data(), digits.data() + digits.size(), held.changes[row.at(0)]);
  }
  for (const auto& row : *tags) {
    held.tags.push_back({ aServer.group, row.at(0), row.at(1) });
  }
  return held;
}

} // namespace

control::control(std::vector<shape_upstream> aServers)
  : mServers(std::move(aServers))
{
}

std::optional<shape_upstream>
control::Primary(const std::string& aGroup) const
{
  std::optional<shape_upstream> primary;
  std::uint64_t term = 0;
  for (const shape_upstream& server : mServers) {
    if (server.group != aGroup) {
      continue;
    }
    const server_state state = StateOf(server);
    if (state.primary && state.term > term) {
      primary = server;
      term = state.term;
    }
  }
  return primary;
}

bool
control::Fault(const shape_upstream& aServer, const std::string& aQuery) const
{
  return Call(UrlOf(aServer, "/fault?" + aQuery), true).has_value();
}

std::optional<group_contents>
control::ReadContents(const std::string& aGroup, milliseconds aTimeout) const
{
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  while (std::chrono::steady_clock::now() < until) {
    const auto primary = Primary(aGroup);
    auto held = primary ? HoldingOf(*primary) : std::nullopt;
    if (held) {
      return held;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return std::nullopt;
}

} // namespace currantshed::load
