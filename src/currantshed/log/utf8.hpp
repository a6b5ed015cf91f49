#ifndef CURRANTSHED_LOG_UTF8_HPP
#define CURRANTSHED_LOG_UTF8_HPP

#include <string>
#include <string_view>

namespace currantshed::log {

/// Returns the text with each byte that is not part of valid UTF-8 (RFC 3629)
/// replaced by the replacement character U+FFFD.
[[nodiscard]] std::string
ToValidUtf8(std::string_view aText);

} // namespace currantshed::log

#endif
