#ifndef CURRANTSHED_TEST_STORE_SLOW_VIEW_HPP
#define CURRANTSHED_TEST_STORE_SLOW_VIEW_HPP

#include <chrono>
#include <system_error>

#include "currantshed/store/prefix_view.hpp"

#include "test/currantshed/store/slow_store.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;

/// A byte of a value on a link of 10 Mbit/s, in base64.
inline constexpr std::chrono::nanoseconds kSlowLinkTimePerByte{ 1067 };
inline constexpr std::chrono::milliseconds kViewStep{ 5 };

/// A view of one key over a slow link.
struct slow_view
{
  explicit slow_view(std::chrono::milliseconds aBound)
    : view(store,
           "a/",
           { .pauseAfterChange = 300ms,
             .timePerByte = kSlowLinkTimePerByte,
             .changeBound = aBound,
             .skipsVersions = true },
           { [](clock::time_point) {}, [](bool, std::error_code) {} })
  {
    store.timePerByte = kSlowLinkTimePerByte;
  }

  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += kViewStep) {
      view.Tick(store.now, 0.5);
      store.Answer();
    }
  }

  slow_store store;
  store::prefix_view view;
};

} // namespace currantshed::test

#endif
