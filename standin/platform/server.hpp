#ifndef CURRANTSHED_STANDIN_PLATFORM_SERVER_HPP
#define CURRANTSHED_STANDIN_PLATFORM_SERVER_HPP

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>

#include "standin/platform/service.hpp"

namespace currantshed::standin {

/// Serves the platform's interface on a port until the event loop stops, and
/// applies injected faults. False, with the error in aFault, if it cannot
/// listen on the port.
[[nodiscard]] bool
StartServer(boost::asio::io_context& aLoop,
            service& aService,
            const std::string& aAddress,
            std::uint16_t aPort,
            std::string& aFault);

} // namespace currantshed::standin

#endif
