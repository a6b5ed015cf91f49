#include "currantshed/http/fetcher.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <curl/curl.h>

namespace currantshed::http {
namespace {

constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxConcurrentTransfers = 64;
constexpr int kPollMs = 100;

/// One transfer. Must not move in memory because libcurl keeps a pointer to it.
struct transfer
{
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle{
    curl_easy_init(),
    &curl_easy_cleanup
  };
  fetch_result result;
};

std::size_t
Receive(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  auto& body = static_cast<transfer*>(aTarget)->result.body;
  const std::size_t bytes = aSize * aCount;
  if (body.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

void
Prepare(transfer& aTransfer,
        const std::string& aUrl,
        std::chrono::milliseconds aTimeout)
{
  CURL* const handle = aTransfer.handle.get();
  curl_easy_setopt(handle, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
    handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Receive);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
}

void
Finish(CURL* aHandle, CURLcode aCode)
{
  char* pointer = nullptr;
  curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &pointer);
  auto& result = static_cast<transfer*>(static_cast<void*>(pointer))->result;
  if (aCode != CURLE_OK) {
    result.error = curl_easy_strerror(aCode);
    result.body.clear();
    return;
  }
  curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &result.status);
}

class curl_fetcher : public fetcher
{
public:
  std::vector<fetch_result> Fetch(const std::vector<std::string>& aUrls,
                                  std::chrono::milliseconds aTimeout) override
  {
    std::vector<fetch_result> all;
    all.reserve(aUrls.size());
    for (std::size_t first = 0; first < aUrls.size();
         first += kMaxConcurrentTransfers) {
      const std::size_t last =
        std::min(first + kMaxConcurrentTransfers, aUrls.size());
      FetchBatch(aUrls, first, last, aTimeout, all);
    }
    return all;
  }

private:
  void FetchBatch(const std::vector<std::string>& aUrls,
                  std::size_t aFirst,
                  std::size_t aLast,
                  std::chrono::milliseconds aTimeout,
                  std::vector<fetch_result>& aAll)
  {
    std::vector<transfer> transfers(aLast - aFirst);
    for (std::size_t i = aFirst; i < aLast; ++i) {
      auto& one = transfers[i - aFirst];
      Prepare(one, aUrls[i], aTimeout);
      curl_multi_add_handle(mMulti.get(), one.handle.get());
    }
    RunTransfers();
    for (auto& one : transfers) {
      curl_multi_remove_handle(mMulti.get(), one.handle.get());
      aAll.push_back(std::move(one.result));
    }
  }

  /// Runs all transfers to completion.
  void RunTransfers()
  {
    int running = 1;
    while (running > 0) {
      if (curl_multi_perform(mMulti.get(), &running) != CURLM_OK) {
        break;
      }
      CollectFinished();
      if (running > 0) {
        curl_multi_poll(mMulti.get(), nullptr, 0, kPollMs, nullptr);
      }
    }
  }

  void CollectFinished()
  {
    int left = 0;
    while (const auto* message = curl_multi_info_read(mMulti.get(), &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> mMulti{
    curl_multi_init(),
    &curl_multi_cleanup
  };
};

} // namespace

std::unique_ptr<fetcher>
MakeCurlFetcher()
{
  return std::make_unique<curl_fetcher>();
}

std::string
MakeUrl(const std::string& aAddress,
        std::uint16_t aPort,
        const std::string& aPath)
{
  const bool isV6 = aAddress.find(':') != std::string::npos;
  const std::string host = isV6 ? absl::StrCat("[", aAddress, "]") : aAddress;
  return absl::StrCat("http://", host, ":", aPort, aPath);
}

} // namespace currantshed::http
