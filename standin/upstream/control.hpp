#ifndef CURRANTSHED_STANDIN_UPSTREAM_CONTROL_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_CONTROL_HPP

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace currantshed::standin::postgres {

class server;

/// HTTP control interface for tests: sets faults and reports the server's
/// state. Injected faults don't affect it.
class control
{
public:
  control(boost::asio::io_context& aContext,
          server& aServer,
          const std::string& aAddress,
          std::uint16_t aPort);
  control(const control&) = delete;
  control& operator=(const control&) = delete;
  ~control();

  void Start();

private:
  class listener;

  std::unique_ptr<listener> mListener;
};

} // namespace currantshed::standin::postgres

#endif
