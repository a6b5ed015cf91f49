#include "currantshed/upstream/pq_handle.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace currantshed::upstream {

namespace {

// A path that cannot exist, which keeps libpq from reading the password file in
// the home directory.
constexpr const char* kNoPasswordFile = "/dev/null/none";
constexpr const char* kDatabase = "currantshed";
constexpr const char* kReadOnlyOption = "-c default_transaction_read_only=on";

bool
HasZeroByte(const std::string& aText)
{
  return aText.find('\0') != std::string::npos;
}

} // namespace

pq_handle
StartConnect(const endpoint& aEndpoint)
{
  const std::string port = std::to_string(aEndpoint.port);
  const std::array<const char*, 12> names = { "hostaddr",
                                              "port",
                                              "user",
                                              "dbname",
                                              "application_name",
                                              "options",
                                              "client_encoding",
                                              "sslmode",
                                              "gssencmode",
                                              "passfile",
                                              "connect_timeout",
                                              nullptr };
  const std::array<const char*, 12> values = { aEndpoint.address.c_str(),
                                               port.c_str(),
                                               kDatabase,
                                               kDatabase,
                                               aEndpoint.vm.c_str(),
                                               aEndpoint.readOnly
                                                 ? kReadOnlyOption
                                                 : "",
                                               "UTF8",
                                               "disable",
                                               "disable",
                                               kNoPasswordFile,
                                               "0",
                                               nullptr };
  return pq_handle(PQconnectStartParams(names.data(), values.data(), 0));
}

bool
CanBeSent(const statement& aStatement)
{
  return !HasZeroByte(aStatement.sql) &&
         std::none_of(
           aStatement.parameters.begin(),
           aStatement.parameters.end(),
           [](const cell& aCell) { return aCell && HasZeroByte(*aCell); });
}

bool
Send(PGconn* aConnection, const statement& aStatement)
{
  std::vector<const char*> values;
  values.reserve(aStatement.parameters.size());
  for (const auto& parameter : aStatement.parameters) {
    values.push_back(parameter ? parameter->c_str() : nullptr);
  }
  return PQsendQueryParams(aConnection,
                           aStatement.sql.c_str(),
                           static_cast<int>(values.size()),
                           nullptr,
                           values.data(),
                           nullptr,
                           nullptr,
                           0) == 1;
}

} // namespace currantshed::upstream
