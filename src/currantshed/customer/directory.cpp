#include "currantshed/customer/directory.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace currantshed::customer {

void
directory::Add(customer aCustomer, const std::vector<std::string>& aKeys)
{
  auto name = aCustomer.name;
  auto shared = std::make_shared<const customer>(std::move(aCustomer));
  for (const auto& key : aKeys) {
    const auto [place, added] = mByKey.try_emplace(key, shared);
    if (!added && place->second != shared) {
      place->second = nullptr;
    }
  }
  mByName.insert_or_assign(std::move(name), std::move(shared));
}

std::shared_ptr<const customer>
directory::FindByKey(const std::string& aKey) const
{
  const auto found = mByKey.find(aKey);
  return found == mByKey.end() ? nullptr : found->second;
}

std::shared_ptr<const customer>
directory::FindByName(const std::string& aName) const
{
  const auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : found->second;
}

std::string
KeyFingerprint(std::string_view aKey)
{
  constexpr unsigned kKeptBits = 24;
  const auto hash = XXH3_64bits(aKey.data(), aKey.size());
  return absl::StrCat(absl::Hex(hash >> (64U - kKeptBits), absl::kZeroPad6));
}

} // namespace currantshed::customer
