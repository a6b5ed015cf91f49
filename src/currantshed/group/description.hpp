#ifndef CURRANTSHED_GROUP_DESCRIPTION_HPP
#define CURRANTSHED_GROUP_DESCRIPTION_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/group/fwd.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::group {

/// Database server of a group, as listed by the platform.
struct member
{
  upstream::server_id id;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  /// Number of statements that the server runs concurrently.
  unsigned slots = 1;
  /// Total number of connections that the server accepts.
  unsigned connections = 1;
  /// Marked as leaving; gets no new work.
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const member&, const member&) = default;
};

/// Servers of one group. A majority is counted over all of them, including
/// those marked as leaving.
struct description
{
  group_name name;
  std::vector<member> members;
  /// Maximum time that a transaction may be open, as declared by operators.
  std::chrono::milliseconds transactionLimit{ 30000 };

  [[nodiscard]] friend bool operator==(const description&,
                                       const description&) = default;
};

} // namespace currantshed::group

#endif
