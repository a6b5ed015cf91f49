#ifndef CURRANTSHED_LOG_LOG_HPP
#define CURRANTSHED_LOG_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "currantshed/clock/time.hpp"
#include "currantshed/log/fwd.hpp"

namespace currantshed::log {

/// How much a line matters, lowest first.
enum class level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// What every line of one process says about the process.
struct identity
{
  std::string program;
  std::string vm;
  std::string failureDomain;
};

/// What is not known: its field is left out.
struct unknown
{};

/// The content of one field.
using value = std::variant<std::string, std::int64_t, double, bool, unknown>;

/// One field of a line, beside the fixed ones. Statement texts and values of
/// parameters never go into a field.
struct field
{
  std::string_view name;
  value content;
};

/// Names the process and the lowest level that is written; called once,
/// before the first line, by programs that run for long. From then on lines go
/// to standard output, bounded in number, and are left out and counted rather
/// than waited for. Lines written before have no identity and go to standard
/// error, as do those of tools, which never call this.
void
Start(const identity& aSelf, level aLowest);

/// Whether lines of this level are written.
[[nodiscard]] bool
IsLevelEnabled(level aLevel);

/// Writes one JSON object on one line. The fixed
/// fields come first (time, level, event, program, vm, failure_domain), then
/// the given ones; a given field can't replace a fixed one. Safe for use by
/// several threads.
void
Write(level aLevel,
      std::string_view aEvent,
      std::initializer_list<field> aFields = {});

/// The text of one line, without its end. Always valid JSON: bytes that are
/// not UTF-8 become the replacement character, and a number that is not
/// finite becomes null.
[[nodiscard]] std::string
FormatLine(clock::wall_time aNow,
           const identity& aSelf,
           level aLevel,
           std::string_view aEvent,
           std::initializer_list<field> aFields);

} // namespace currantshed::log

#endif
