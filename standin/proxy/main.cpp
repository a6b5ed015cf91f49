#include <algorithm>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <sstream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/streambuf.hpp>

#include "currantshed/settings/parser.hpp"
#include "standin/proxy/tunnel.hpp"

namespace {

using boost::asio::ip::tcp;
using currantshed::standin::proxy::FindFault;
using currantshed::standin::proxy::tunnel;

struct options
{
  std::uint16_t control = 0;
  std::uint16_t first = 0;
  std::uint16_t target = 0;
  unsigned targets = 1;
  unsigned fan = 1;
};

/// The tunnels of one process and the control port, which takes one command per
/// connection: "PORT FAULT [AMOUNT]". The amount is a delay in milliseconds, or
/// a rate in kilobits a second.
class proxy
{
public:
  proxy(boost::asio::io_context& aContext, const options& aOptions)
    : mAcceptor(aContext,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                              aOptions.control))
  {
    for (unsigned number = 0; number < aOptions.fan * aOptions.targets;
         ++number) {
      mTunnels.emplace_back(aContext,
                            static_cast<std::uint16_t>(aOptions.first + number),
                            static_cast<std::uint16_t>(
                              aOptions.target + number % aOptions.targets));
    }
    Accept();
  }

private:
  struct order
  {
    explicit order(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }

    tcp::socket socket;
    boost::asio::streambuf line;
  };

  void Accept()
  {
    mAcceptor.async_accept(
      [this](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        const auto made = std::make_shared<order>(std::move(aSocket));
        boost::asio::async_read_until(
          made->socket,
          made->line,
          '\n',
          [this, made](const boost::system::error_code& aEnd, std::size_t) {
            if (!aEnd) {
              Carry(*made);
            }
          });
        Accept();
      });
  }

  void Carry(order& aOrder)
  {
    std::istream in(&aOrder.line);
    std::uint16_t port = 0;
    std::string name;
    long amount = 0;
    in >> port >> name >> amount;
    const auto what = FindFault(name);
    const auto found =
      std::find_if(mTunnels.begin(), mTunnels.end(), [port](const auto& aOne) {
        return aOne.Port() == port;
      });
    if (!what || found == mTunnels.end() || amount < 0) {
      std::cerr << "unknown fault or port: " << port << ' ' << name << '\n';
      return;
    }
    constexpr long kNanosecondsPerByte = 8'000'000;
    found->SetCondition({ *what,
                          std::chrono::milliseconds{ amount },
                          std::chrono::nanoseconds{ kNanosecondsPerByte /
                                                    std::max(amount, 1L) } });
    std::cout << port << ' ' << name << ' ' << amount << '\n' << std::flush;
  }

  tcp::acceptor mAcceptor;
  std::list<tunnel> mTunnels;
};

} // namespace

int
main(int aCount, char** aValues)
{
  options chosen;
  currantshed::settings::parser parser(
    "currantshed-standin-proxy",
    "Forwards connections to ports of 127.0.0.1, and delays, paces, holds, "
    "silences or resets them on command.");
  parser.Port(chosen.control, "control", "Control port for faults", true);
  parser.Port(chosen.first, "first", "First port to listen on", true);
  parser.Port(chosen.target, "target", "First port to forward to", true);
  parser.Count(
    chosen.targets, "targets", "Number of ports to forward to", 1, 64);
  parser.Count(chosen.fan, "fan", "Listening ports for each target", 1, 16);
  const auto parsed = parser.Parse(aCount, aValues);
  if (parsed.end == currantshed::settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  try {
    boost::asio::io_context context;
    const proxy made(context, chosen);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
  } catch (const std::exception& failure) {
    std::cerr << "currantshed-standin-proxy: " << failure.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
