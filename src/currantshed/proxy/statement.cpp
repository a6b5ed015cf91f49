#include "currantshed/proxy/statement.hpp"

namespace currantshed::proxy {

std::string_view
NameOf(failure_code aCode)
{
  switch (aCode) {
    case failure_code::kBusy:
      return "busy";
    case failure_code::kAborted:
      return "aborted";
    case failure_code::kLagging:
      return "lagging";
    case failure_code::kReadOnly:
      return "read_only";
    case failure_code::kMisrouted:
      return "wrong_server";
    case failure_code::kTooManyConnections:
      return "server_full";
    case failure_code::kInDoubt:
      return "in_doubt";
    case failure_code::kTimeout:
      return "timeout";
    case failure_code::kFailed:
      return "server_failed";
    case failure_code::kMalformed:
      return "malformed";
    case failure_code::kNoDatabase:
      return "no_database";
    case failure_code::kNoStatement:
      return "no_statement";
    case failure_code::kNotAuthorized:
      return "not_authorized";
    case failure_code::kOther:
      break;
  }
  return "other";
}

} // namespace currantshed::proxy
