#ifndef CURRANTSHED_GROUP_DESCRIPTION_HPP
#define CURRANTSHED_GROUP_DESCRIPTION_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/group/fwd.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::group {

/// One database server of a group, as the platform's list gives it.
struct member
{
  upstream::server_id id;
  /// IP number.
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  /// Statements that the server runs at the same time.
  unsigned slots = 1;
  /// Connections that the server accepts in all.
  unsigned connections = 1;
  /// Marked as leaving: gets no new work.
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const member&, const member&) = default;
};

/// The servers of one group. The majority is counted over all of them,
/// leaving ones included.
struct description
{
  group_name name;
  std::vector<member> members;
  /// How long a transaction may be open in all, as operators declare it.
  std::chrono::milliseconds transactionLimit{ 30000 };

  [[nodiscard]] friend bool operator==(const description&,
                                       const description&) = default;
};

} // namespace currantshed::group

#endif
