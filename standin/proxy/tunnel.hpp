#ifndef CURRANTSHED_STANDIN_PROXY_TUNNEL_HPP
#define CURRANTSHED_STANDIN_PROXY_TUNNEL_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace currantshed::standin::proxy {

using tcp = boost::asio::ip::tcp;

/// Fault applied to the bytes forwarded by one tunnel.
enum class fault
{
  kNone,
  /// Each chunk is delayed.
  kDelay,
  /// Data from the target come at a limited rate, for all connections together.
  kPace,
  /// Nothing is forwarded, on existing or new connections, until the fault
  /// ends.
  kHold,
  /// The same, but for data from the target only.
  kHoldAnswers,
  /// Existing connections never forward anything again; new ones work.
  kSilence,
  /// Existing connections are reset; new ones work.
  kReset,
};

/// Finds a fault by name; empty if the name is unknown.
[[nodiscard]] std::optional<fault>
FindFault(std::string_view aName);

struct condition
{
  fault now = fault::kNone;
  /// For kDelay.
  std::chrono::milliseconds delay{ 0 };
  /// For kPace.
  std::chrono::nanoseconds timePerByte{ 0 };
};

/// The link that the connections of one tunnel share.
struct paced_link
{
  std::chrono::steady_clock::time_point freeAt{};
};

/// An accepted connection and its connection to the target.
class connection_pair final
  : public std::enable_shared_from_this<connection_pair>
{
public:
  connection_pair(boost::asio::io_context& aContext,
                  const condition& aCondition,
                  paced_link& aLink,
                  tcp::socket aClient);

  void Start(std::uint16_t aTarget);
  /// Stops forwarding and keeps both connections open.
  void Silence() noexcept { mIsSilent = true; }
  void Reset();
  [[nodiscard]] bool IsOpen() const noexcept { return mIsOpen; }

private:
  static constexpr std::size_t kChunkSize = 16384;

  struct direction
  {
    direction(boost::asio::io_context& aContext, bool aAnswers)
      : timer(aContext)
      , answers(aAnswers)
    {
    }

    std::array<char, kChunkSize> bytes{};
    boost::asio::steady_timer timer;
    bool answers;
    bool wasHeld = false;
  };

  void Read(tcp::socket& aFrom, tcp::socket& aTo, direction& aDirection);
  void Forward(tcp::socket& aFrom,
               tcp::socket& aTo,
               direction& aDirection,
               std::size_t aSize);
  [[nodiscard]] std::chrono::steady_clock::time_point ForwardAt(
    const direction& aDirection,
    std::size_t aSize);
  [[nodiscard]] bool IsHeld(const direction& aDirection) const noexcept;
  [[nodiscard]] static bool IsReset(tcp::socket& aFrom);
  void Close();

  const condition& mCondition;
  paced_link& mLink;
  tcp::socket mClient;
  tcp::socket mServer;
  direction mToTarget;
  direction mFromTarget;
  bool mIsSilent = false;
  bool mIsOpen = true;
};

/// Listens on one port and forwards connections to another, both on 127.0.0.1.
class tunnel
{
public:
  tunnel(boost::asio::io_context& aContext,
         std::uint16_t aPort,
         std::uint16_t aTarget);

  void SetCondition(const condition& aCondition);
  [[nodiscard]] std::uint16_t Port() const noexcept { return mPort; }

private:
  void Accept();

  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::uint16_t mPort;
  std::uint16_t mTarget;
  condition mCondition;
  paced_link mLink;
  std::vector<std::shared_ptr<connection_pair>> mConnections;
};

} // namespace currantshed::standin::proxy

#endif
