// The platform's metadata store, as PROTOCOL.md describes it.
#ifndef REVIEW_STANDINS_STORE_HPP
#define REVIEW_STANDINS_STORE_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <boost/json.hpp>

#include "http.hpp"
#include "record.hpp"

namespace review {

namespace json = boost::json;

std::string
Base64(const std::string& aBytes);
std::string
Unbase64(const std::string& aText);

/// Items, leases, watches and a history of 20 s. Each answer takes 4 ms. The
/// calls' rates are far below the limits and are not counted.
class store
{
public:
  store(asio::io_context& aContext, record& aRecord)
    : mContext(aContext)
    , mRecord(aRecord)
    , mTimer(aContext)
  {
    Expire();
  }

  /// Writes a key as the operator or a server does.
  std::uint64_t Put(const std::string& aKey,
                    const std::string& aValue,
                    std::uint64_t aLease = 0)
  {
    const auto before = mItems.find(aKey);
    const auto at = ++mRevision;
    const auto created = before == mItems.end() ? at : before->second.created;
    mItems[aKey] = { Base64(aValue), at, created, aLease };
    Append({ clock_type::now(), at, aKey, false, ToJson(aKey) });
    return at;
  }

  [[nodiscard]] std::string Value(const std::string& aKey) const
  {
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? std::string()
                                 : Unbase64(found->second.value);
  }

  void Handle(const http_request& aRequest, http_reply aReply)
  {
    auto timer = std::make_shared<asio::steady_timer>(mContext, kAnswerTime);
    timer->async_wait([this, timer, aRequest, reply = std::move(aReply)](
                        beast::error_code) { Run(aRequest, reply); });
  }

private:
  static constexpr milliseconds kAnswerTime{ 4 };
  static constexpr std::chrono::seconds kHistory{ 20 };

  struct item
  {
    std::string value;
    std::uint64_t changed = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };

  struct event
  {
    time_point at;
    std::uint64_t revision = 0;
    std::string key;
    bool removed = false;
    std::string text;
  };

  struct lease
  {
    milliseconds ttl{ 0 };
    time_point until;
  };

  struct watcher
  {
    std::string prefix;
    std::uint64_t after = 0;
    time_point until;
    http_reply reply;
  };

  [[nodiscard]] std::string ToJson(const std::string& aKey) const
  {
    const auto& one = mItems.at(aKey);
    return R"({"key":")" + aKey + R"(","value":")" + one.value +
           R"(","revision":)" + std::to_string(one.changed) + R"(,"created":)" +
           std::to_string(one.created) + R"(,"lease_id":)" +
           std::to_string(one.lease) + "}";
  }

  void Append(event aEvent)
  {
    mHistory.push_back(std::move(aEvent));
    Notify();
  }

  void Remove(const std::string& aKey)
  {
    if (mItems.erase(aKey) == 0) {
      return;
    }
    const auto at = ++mRevision;
    Append({ clock_type::now(),
             at,
             aKey,
             true,
             R"({"key":")" + aKey + R"(","revision":)" + std::to_string(at) +
               R"(,"deleted":true})" });
  }

  // Answers the watch if it has events or its time is over.
  [[nodiscard]] bool TryAnswer(const watcher& aWatcher)
  {
    if (aWatcher.after < mForgotten) {
      aWatcher.reply(410, "{}");
      return true;
    }
    std::string events;
    for (const auto& one : mHistory) {
      if (one.revision > aWatcher.after &&
          one.key.starts_with(aWatcher.prefix)) {
        events += (events.empty() ? "" : ",") + one.text;
      }
    }
    if (events.empty() && clock_type::now() < aWatcher.until) {
      return false;
    }
    std::string body = R"({"events":[)" + events + R"(],"store_revision":)" +
                       std::to_string(mRevision) + "}";
    if (body.size() > 100000) {
      mRecord.Line("store: a watch of " + aWatcher.prefix + " after revision " +
                   std::to_string(aWatcher.after) + " is answered with " +
                   std::to_string(body.size()) + " bytes");
    }
    aWatcher.reply(200, std::move(body));
    return true;
  }

  void Notify()
  {
    for (auto one = mWatchers.begin(); one != mWatchers.end();) {
      one = TryAnswer(*one) ? mWatchers.erase(one) : std::next(one);
    }
  }

  // Ends leases and watches, and forgets old history.
  void Expire()
  {
    const auto now = clock_type::now();
    for (auto one = mLeases.begin(); one != mLeases.end();) {
      const auto id = one->first;
      const bool isOver = now >= one->second.until;
      ++one;
      if (isOver) {
        EndLease(id);
      }
    }
    while (!mHistory.empty() && mHistory.front().at < now - kHistory) {
      mForgotten = mHistory.front().revision;
      mHistory.pop_front();
    }
    Notify();
    mTimer.expires_after(milliseconds{ 5 });
    mTimer.async_wait([this](beast::error_code aError) {
      if (!aError) {
        Expire();
      }
    });
  }

  void EndLease(std::uint64_t aId)
  {
    mLeases.erase(aId);
    std::vector<std::string> held;
    for (const auto& [key, one] : mItems) {
      if (one.lease == aId) {
        held.push_back(key);
      }
    }
    for (const auto& key : held) {
      Remove(key);
    }
  }

  void Run(const http_request& aRequest, const http_reply& aReply)
  {
    const auto text = [&](const char* aName) {
      const auto found = aRequest.query.find(aName);
      return found == aRequest.query.end() ? std::string() : found->second;
    };
    const auto number = [&](const char* aName) {
      const auto value = text(aName);
      return value.empty() ? std::uint64_t{ 0 } : std::stoull(value);
    };
    const auto& path = aRequest.path;
    if (path == "/kv-key") {
      const auto key = text("key");
      if (!mItems.contains(key)) {
        aReply(404, "{}");
        return;
      }
      auto body = ToJson(key);
      body.pop_back();
      aReply(200,
             body + R"(,"store_revision":)" + std::to_string(mRevision) + "}");
    } else if (path == "/kv-range") {
      Range(text("prefix"), text("after"), aReply);
    } else if (path == "/kv-watch") {
      watcher made{ text("prefix"),
                    number("after"),
                    clock_type::now() + milliseconds{ number("wait_ms") },
                    aReply };
      if (!TryAnswer(made)) {
        mWatchers.push_back(std::move(made));
      }
    } else if (path == "/kv-txn") {
      Commit(json::parse(aRequest.body).as_object(), aReply);
    } else if (path == "/kv-lease") {
      const auto ttl =
        json::parse(aRequest.body).at("ttl_ms").to_number<long>();
      const auto id = ++mLastLease;
      mLeases[id] = { milliseconds{ ttl },
                      clock_type::now() + milliseconds{ ttl } };
      aReply(200,
             R"({"lease_id":)" + std::to_string(id) + R"(,"ttl_ms":)" +
               std::to_string(ttl) + "}");
    } else if (path.starts_with("/kv-keep/")) {
      const auto found = mLeases.find(std::stoull(path.substr(9)));
      if (found == mLeases.end()) {
        aReply(404, "{}");
        return;
      }
      found->second.until = clock_type::now() + found->second.ttl;
      aReply(200,
             R"({"ttl_ms":)" + std::to_string(found->second.ttl.count()) + "}");
    } else if (path.starts_with("/kv-lease-end/")) {
      EndLease(std::stoull(path.substr(14)));
      aReply(200, "{}");
    } else {
      aReply(404, "{}");
    }
  }

  void Range(const std::string& aPrefix,
             const std::string& aAfter,
             const http_reply& aReply)
  {
    constexpr std::size_t kMaxItems = 500;
    constexpr std::size_t kMaxBytes = 1000000;
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    for (const auto& [key, one] : mItems) {
      if (!key.starts_with(aPrefix) || key <= aAfter) {
        continue;
      }
      if (count >= kMaxItems || items.size() >= kMaxBytes) {
        hasMore = true;
        break;
      }
      items += (items.empty() ? "" : ",") + ToJson(key);
      ++count;
    }
    aReply(200,
           R"({"items":[)" + items + R"(],"has_more":)" +
             (hasMore ? "true" : "false") + R"(,"store_revision":)" +
             std::to_string(mRevision) + "}");
  }

  void Commit(const json::object& aWhat, const http_reply& aReply)
  {
    for (const auto& one : aWhat.at("expected_rev").as_array()) {
      const auto found =
        mItems.find(json::value_to<std::string>(one.at("key")));
      const auto changed = found == mItems.end() ? 0 : found->second.changed;
      if (changed != one.at("revision").to_number<std::uint64_t>()) {
        aReply(412, R"({"items":[]})");
        return;
      }
    }
    for (const auto& one : aWhat.at("puts").as_array()) {
      const auto id = one.at("lease_id").to_number<std::uint64_t>();
      if (id != 0 && !mLeases.contains(id)) {
        aReply(404, "{}");
        return;
      }
    }
    for (const auto& one : aWhat.at("puts").as_array()) {
      const auto key = json::value_to<std::string>(one.at("key"));
      const auto value = Unbase64(json::value_to<std::string>(one.at("value")));
      mRecord.Line("store: put " + key + " " + value);
      Put(key, value, one.at("lease_id").to_number<std::uint64_t>());
    }
    for (const auto& one : aWhat.at("remove").as_array()) {
      Remove(json::value_to<std::string>(one));
    }
    aReply(200, R"({"revision":)" + std::to_string(mRevision) + "}");
  }

  asio::io_context& mContext;
  record& mRecord;
  asio::steady_timer mTimer;
  std::map<std::string, item> mItems;
  std::map<std::uint64_t, lease> mLeases;
  std::deque<event> mHistory;
  std::list<watcher> mWatchers;
  std::uint64_t mRevision = 1;
  std::uint64_t mForgotten = 0;
  std::uint64_t mLastLease = 0;
};

inline std::string
Base64(const std::string& aBytes)
{
  static const char* const kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((aBytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                     : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool isPadding = i + j > aBytes.size();
      out.push_back(isPadding ? '=' : kLetters[group >> (18U - 6U * j) & 63U]);
    }
  }
  return out;
}

inline std::string
Unbase64(const std::string& aText)
{
  std::string out;
  unsigned group = 0;
  unsigned bits = 0;
  for (const char letter : aText) {
    unsigned value = 0;
    if (letter >= 'A' && letter <= 'Z') {
      value = static_cast<unsigned>(letter - 'A');
    } else if (letter >= 'a' && letter <= 'z') {
      value = static_cast<unsigned>(letter - 'a') + 26;
    } else if (letter >= '0' && letter <= '9') {
      value = static_cast<unsigned>(letter - '0') + 52;
    } else if (letter == '+') {
      value = 62;
    } else if (letter == '/') {
      value = 63;
    } else {
      continue;
    }
    group = group << 6U | value;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(static_cast<char>(group >> bits & 255U));
    }
  }
  return out;
}

} // namespace review

#endif
