#ifndef CURRANTSHED_TEST_PROXY_NULL_HOST_HPP
#define CURRANTSHED_TEST_PROXY_NULL_HOST_HPP

#include <string>
#include <string_view>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::test {

/// A host that nothing is made of.
class null_host final : public proxy::engine_host
{
public:
  void NeedsConfirmation(const std::string&) override {}
  void LeadershipDenied(const std::string&, position::term_id) override {}
  void NeedsTokens(const std::string& /*aCustomer*/,
                   unsigned /*aCount*/) override
  {
  }
  void Decided(const proxy::decision&) override {}
  void ReachabilityChanged(const proxy::server&,
                           bool,
                           std::string_view) override
  {
  }
};

} // namespace currantshed::test

#endif
