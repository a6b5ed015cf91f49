#ifndef CURRANTSHED_SESSION_FWD_HPP
#define CURRANTSHED_SESSION_FWD_HPP

namespace currantshed::session {

enum class session_error;
enum class token_purpose : unsigned char;
class key_ring;
class position_vector;

} // namespace currantshed::session

#endif
