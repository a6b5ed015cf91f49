#ifndef CURRANTSHED_TEST_PROXY_IDLE_LINK_HPP
#define CURRANTSHED_TEST_PROXY_IDLE_LINK_HPP

#include <vector>

#include "currantshed/proxy/upstream_link.hpp"

namespace currantshed::test {

/// A link whose server never answers.
class idle_link final : public proxy::upstream_link
{
public:
  void Send(const std::vector<proxy::command>&) override {}
};

} // namespace currantshed::test

#endif
