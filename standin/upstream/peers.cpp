#include "standin/upstream/peers.hpp"

#include <charconv>
#include <string>
#include <system_error>

namespace currantshed::standin::postgres {

namespace {

std::optional<primary_address>
ReadAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  primary_address address{ std::string(aText.substr(0, colon)), 0 };
  const char* last = aText.data() + aText.size();
  const auto [end, error] =
    std::from_chars(aText.data() + colon + 1, last, address.port);
  if (error != std::errc{} || end != last || address.address.empty()) {
    return std::nullopt;
  }
  return address;
}

} // namespace

std::optional<primary_address>
FindPeer(std::string_view aPeers, std::string_view aId)
{
  while (!aPeers.empty()) {
    const auto comma = aPeers.find(',');
    const auto peer = aPeers.substr(0, comma);
    aPeers.remove_prefix(comma == std::string_view::npos ? aPeers.size()
                                                         : comma + 1);
    const auto equals = peer.find('=');
    if (equals != std::string_view::npos && peer.substr(0, equals) == aId) {
      return ReadAddress(peer.substr(equals + 1));
    }
  }
  return std::nullopt;
}

} // namespace currantshed::standin::postgres
