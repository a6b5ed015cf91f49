#ifndef CURRANTSHED_NODE_DOCUMENT_CODEC_HPP
#define CURRANTSHED_NODE_DOCUMENT_CODEC_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/configuration.hpp"

namespace currantshed::node {

/// Where operators and servers write in the store, and how. What can't be read
/// is null or none, with the reason: a text, or an error of entry_errc.
class document_codec
{
public:
  virtual ~document_codec() = default;

  /// The key of the operators' configuration.
  [[nodiscard]] virtual std::string ConfigurationKey() const = 0;
  /// What the keys of servers begin with.
  [[nodiscard]] virtual std::string ServersPrefix() const = 0;

  [[nodiscard]] virtual std::shared_ptr<const proxy::configuration>
  ReadConfiguration(std::string_view aValue, std::string& aWhyNot) const = 0;

  [[nodiscard]] virtual std::optional<proxy::server> ReadServer(
    std::string_view aKey,
    std::string_view aValue,
    std::error_code& aWhyNot) const = 0;
};

/// How the platform took an order to promote a server.
enum class promotion_outcome
{
  /// The server will lead.
  kAccepted,
  /// The platform can't promote this server.
  kRejected,
  /// Too many orders; nothing was done.
  kRetryLater,
  /// No answer came: the order may have been taken.
  kUnknown,
};

/// A VM's right to change the primary of a group.
struct promotion_right
{
  /// The VM that holds the duty.
  std::string holder;
  /// Fencing token: goes up whenever the holder changes.
  std::uint64_t epoch = 0;
};

/// Orders the platform to promote servers.
class promoter
{
public:
  using callback = std::function<void(promotion_outcome, clock::time_point)>;

  virtual ~promoter() = default;

  virtual void Promote(const std::string& aService,
                       const upstream::server_id& aServer,
                       const promotion_right& aRight,
                       callback aDone) = 0;
};

} // namespace currantshed::node

#endif
