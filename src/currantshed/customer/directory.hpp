#ifndef CURRANTSHED_CUSTOMER_DIRECTORY_HPP
#define CURRANTSHED_CUSTOMER_DIRECTORY_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/customer/fwd.hpp"

namespace currantshed::customer {

/// Rate limit on the operations of a customer, over all VMs.
struct quota
{
  double perSecond = 0;
  /// Operations that may start at once after an idle period.
  double burst = 0;

  [[nodiscard]] friend bool operator==(const quota&, const quota&) = default;
};

/// The owner of requests, as operators declare it.
struct customer
{
  std::string name;
  /// Empty: no limit.
  std::optional<quota> limit;
};

/// The customers of one configuration version, by name and by key. A key that
/// two customers hold identifies neither, because requests with it cannot be
/// attributed.
class directory
{
public:
  void Add(customer aCustomer, const std::vector<std::string>& aKeys);

  /// The customer that holds the key, or null.
  [[nodiscard]] std::shared_ptr<const customer> FindByKey(
    const std::string& aKey) const;

  /// The customer of that name, or null.
  [[nodiscard]] std::shared_ptr<const customer> FindByName(
    const std::string& aName) const;

  [[nodiscard]] std::size_t Size() const noexcept { return mByName.size(); }

private:
  using by_text =
    absl::flat_hash_map<std::string, std::shared_ptr<const customer>>;

  by_text mByName;
  by_text mByKey;
};

/// A short identifier of a key for logs, from which the key cannot be
/// recovered.
[[nodiscard]] std::string
KeyFingerprint(std::string_view aKey);

} // namespace currantshed::customer

#endif
