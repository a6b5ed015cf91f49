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

/// What happens to the bytes of one way through the proxy.
enum class fault
{
  kNone,
  /// Each piece arrives later.
  kDelay,
  /// Nothing is passed on, on old connections and new ones, until the fault
  /// ends.
  kHold,
  /// The same for what comes back only.
  kHoldAnswers,
  /// The connections of now pass on nothing any more, for good; new ones work.
  kSilence,
  /// The connections of now are reset; new ones work.
  kReset,
};

/// The fault of that name, none for an unknown one.
[[nodiscard]] std::optional<fault>
FaultNamed(std::string_view aName);

struct condition
{
  fault now = fault::kNone;
  std::chrono::milliseconds delay{ 0 };
};

/// One connection and the one beyond the proxy that belongs to it.
class pair final : public std::enable_shared_from_this<pair>
{
public:
  pair(boost::asio::io_context& aContext,
       const condition& aCondition,
       tcp::socket aNear);

  void Start(std::uint16_t aTarget);
  /// Passes on nothing any more, and keeps both connections open.
  void Silence() noexcept { mIsSilent = true; }
  void Reset();
  [[nodiscard]] bool IsOpen() const noexcept { return mIsOpen; }

private:
  static constexpr std::size_t kPiece = 16384;

  struct direction
  {
    direction(boost::asio::io_context& aContext, bool aAnswers)
      : timer(aContext)
      , answers(aAnswers)
    {
    }

    std::array<char, kPiece> bytes{};
    boost::asio::steady_timer timer;
    bool answers;
  };

  void Read(tcp::socket& aFrom, tcp::socket& aTo, direction& aWay);
  void PassOn(tcp::socket& aFrom,
              tcp::socket& aTo,
              direction& aWay,
              std::size_t aSize);
  [[nodiscard]] bool IsHeld(const direction& aWay) const noexcept;
  void Close();

  const condition& mCondition;
  tcp::socket mNear;
  tcp::socket mFar;
  direction mThere;
  direction mBack;
  bool mIsSilent = false;
  bool mIsOpen = true;
};

/// Listens on one port and passes connections on to another, on 127.0.0.1.
class tunnel
{
public:
  tunnel(boost::asio::io_context& aContext,
         std::uint16_t aPort,
         std::uint16_t aTarget);

  void Put(const condition& aCondition);
  [[nodiscard]] std::uint16_t Port() const noexcept { return mPort; }

private:
  void Accept();

  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::uint16_t mPort;
  std::uint16_t mTarget;
  condition mCondition;
  std::vector<std::shared_ptr<pair>> mPairs;
};

} // namespace currantshed::standin::proxy

#endif
