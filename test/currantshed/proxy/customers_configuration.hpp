#ifndef CURRANTSHED_TEST_PROXY_CUSTOMERS_CONFIGURATION_HPP
#define CURRANTSHED_TEST_PROXY_CUSTOMERS_CONFIGURATION_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/configuration.hpp"

namespace currantshed::test {

/// A customer as declared by the operators.
struct declared
{
  const char* customer;
  std::vector<std::string> keys;
  std::optional<customer::quota> limit = std::nullopt;
};

/// One group with a database for customers, "claims", and a public one, "open".
inline std::shared_ptr<proxy::configuration>
CustomersConfiguration(std::uint64_t aVersion,
                       const std::vector<declared>& aCustomers)
{
  auto made = std::make_shared<proxy::configuration>();
  made->version = aVersion;
  made->services["claims"] = { "claims", 9 };
  proxy::route route;
  route.name = "claims";
  route.database = route.name;
  route.service = "claims";
  route.policy = proxy::read_policy::kPrimary;
  made->routes[route.name] = std::make_shared<proxy::route>(route);
  route.database = "open";
  route.isPublic = true;
  made->routes[route.database] = std::make_shared<proxy::route>(route);
  auto customers = std::make_shared<customer::directory>();
  for (const auto& one : aCustomers) {
    customers->Add({ one.customer, one.limit }, one.keys);
  }
  made->customers = std::move(customers);
  return made;
}

} // namespace currantshed::test

#endif
