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

/// How many operations of a customer may begin, over all VMs.
struct quota
{
  double perSecond = 0;
  /// Operations that may begin at once after a rest.
  double burst = 0;

  [[nodiscard]] friend bool operator==(const quota&, const quota&) = default;
};

/// Whoever requests belong to, as operators declare it.
struct customer
{
  std::string name;
  /// None: as many as it likes.
  std::optional<quota> limit;
};

/// The customers of one version of the configuration, by their keys. A key that
/// two customers hold names neither: whose request it would be can't be told.
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

/// What stands for a key in logs: short, and no help to whoever wants the key.
[[nodiscard]] std::string
KeyFingerprint(std::string_view aKey);

} // namespace currantshed::customer

#endif
