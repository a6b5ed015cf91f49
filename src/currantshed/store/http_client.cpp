#include "currantshed/store/http_client.hpp"

#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "currantshed/store/consul_responses.hpp"

namespace currantshed::store {

namespace {

constexpr char kVmsTarget[] = "/v1/catalog/service/currantshed";
constexpr char kGroupsTarget[] = "/v1/catalog/service/upstream";

/// Combines the two responses that make up a listing.
struct listing_request
{
  listing value;
  std::error_code error;
  int pending = 2;
  client::listing_callback done;

  /// Records the result of one response, and calls back after the second.
  void OnResponse(std::error_code aError)
  {
    if (!error) {
      error = aError;
    }
    if (--pending > 0) {
      return;
    }
    if (error) {
      value = listing{};
    }
    done(error, std::move(value));
  }
};

class http_client final : public client
{
public:
  http_client(std::unique_ptr<transport> aTransport,
              std::chrono::milliseconds aTimeout)
    : mTimeout(aTimeout)
    , mTransport(std::move(aTransport))
  {
  }

  void Get(std::string aKey, entry_callback aDone) override
  {
    auto target = KeyTarget(aKey);
    Read(std::move(aKey), std::move(target), mTimeout, std::move(aDone));
  }

  void Watch(std::string aKey,
             index aKnown,
             std::chrono::milliseconds aMaxWait,
             entry_callback aDone) override
  {
    auto target = KeyTarget(aKey);
    if (const index known = aKnown != 0 ? aKnown : AbsentIndex(aKey)) {
      absl::StrAppend(
        &target, "?index=", known, "&wait=", aMaxWait.count(), "ms");
    }
    Read(std::move(aKey),
         std::move(target),
         mTimeout + aMaxWait,
         std::move(aDone));
  }

  void Swap(std::string aKey,
            std::string aValue,
            index aExpected,
            swap_callback aDone) override
  {
    http_request request;
    request.method = http_method::kPut;
    request.target = absl::StrCat(KeyTarget(aKey), "?cas=", aExpected);
    request.body = std::move(aValue);
    request.timeout = mTimeout;
    mTransport->Send(std::move(request),
                     [done = std::move(aDone)](const http_response& aResponse) {
                       done(ReadSwap(aResponse));
                     });
  }

  void List(listing_callback aDone) override
  {
    auto call = std::make_shared<listing_request>();
    call->done = std::move(aDone);
    mTransport->Send(ReadRequest(kVmsTarget, mTimeout),
                     [call](const http_response& aResponse) {
                       call->OnResponse(ReadVms(aResponse, call->value.vms));
                     });
    mTransport->Send(ReadRequest(kGroupsTarget, mTimeout),
                     [call](const http_response& aResponse) {
                       call->OnResponse(
                         ReadGroups(aResponse, call->value.groups));
                     });
  }

private:
  static http_request ReadRequest(std::string aTarget,
                                  std::chrono::milliseconds aTimeout)
  {
    http_request request;
    request.target = std::move(aTarget);
    request.timeout = aTimeout;
    return request;
  }

  void Read(std::string aKey,
            std::string aTarget,
            std::chrono::milliseconds aTimeout,
            entry_callback aDone)
  {
    mTransport->Send(ReadRequest(std::move(aTarget), aTimeout),
                     [this, key = std::move(aKey), done = std::move(aDone)](
                       const http_response& aResponse) {
                       entry found;
                       const auto failure = ReadEntry(aResponse, found);
                       if (!failure) {
                         RecordAbsentIndex(key, found, aResponse.index);
                       }
                       done(failure, std::move(found));
                     });
  }

  /// A key that does not exist has no version to wait on, so the store's index
  /// in the last response is used instead.
  void RecordAbsentIndex(const std::string& aKey,
                         const entry& aFound,
                         index aIndex)
  {
    if (aFound.version != 0) {
      mAbsentIndexes.erase(aKey);
      return;
    }
    mAbsentIndexes[aKey] = aIndex;
  }

  [[nodiscard]] index AbsentIndex(const std::string& aKey) const
  {
    const auto found = mAbsentIndexes.find(aKey);
    return found == mAbsentIndexes.end() ? 0 : found->second;
  }

  std::chrono::milliseconds mTimeout;
  absl::flat_hash_map<std::string, index> mAbsentIndexes;
  /// Declared last, so that it is destroyed first and no callback runs on
  /// destroyed members.
  std::unique_ptr<transport> mTransport;
};

} // namespace

std::unique_ptr<client>
MakeClient(std::unique_ptr<transport> aTransport,
           std::chrono::milliseconds aTimeout)
{
  return std::make_unique<http_client>(std::move(aTransport), aTimeout);
}

std::unique_ptr<client>
MakeHttpClient(boost::asio::io_context& aLoop,
               std::string aBaseUrl,
               std::chrono::milliseconds aTimeout)
{
  return MakeClient(MakeCurlTransport(aLoop, std::move(aBaseUrl)), aTimeout);
}

} // namespace currantshed::store
