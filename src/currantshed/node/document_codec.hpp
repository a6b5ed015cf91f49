#ifndef CURRANTSHED_NODE_DOCUMENT_CODEC_HPP
#define CURRANTSHED_NODE_DOCUMENT_CODEC_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/actions.hpp"
#include "currantshed/proxy/configuration.hpp"

namespace currantshed::node {

/// Names the keys that operators and servers write to the store, and parses
/// their values. A value that cannot be parsed yields null or nullopt together
/// with the reason, either a text or an error of entry_errc.
class document_codec
{
public:
  virtual ~document_codec() = default;

  /// Key of the operators' configuration.
  [[nodiscard]] virtual std::string ConfigurationKey() const = 0;
  /// Prefix of the servers' keys.
  [[nodiscard]] virtual std::string ServersPrefix() const = 0;

  [[nodiscard]] virtual std::shared_ptr<const proxy::configuration>
  ReadConfiguration(std::string_view aValue, std::string& aError) const = 0;

  [[nodiscard]] virtual std::optional<proxy::server> ReadServer(
    std::string_view aKey,
    std::string_view aValue,
    std::error_code& aError) const = 0;
};

using lead::promotion_outcome;

/// A VM's right to change the primary of a group.
struct promotion_right
{
  /// The VM that holds the failover lock.
  std::string holder;
  /// Fencing token: increases whenever the holder changes.
  std::uint64_t epoch = 0;
};

/// Orders the platform to promote servers. An order never waits behind another
/// one.
class promoter
{
public:
  using callback = std::function<void(promotion_outcome, clock::time_point)>;
  /// How long the order may be in progress if it is written now; zero if the
  /// VM has lost the right to it.
  using guard = std::function<std::chrono::milliseconds()>;

  virtual ~promoter() = default;

  virtual void Promote(const std::string& aService,
                       const upstream::server_id& aServer,
                       const promotion_right& aRight,
                       guard aTimeLeft,
                       callback aDone) = 0;
};

} // namespace currantshed::node

#endif
