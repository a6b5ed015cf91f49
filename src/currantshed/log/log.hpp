#ifndef CURRANTSHED_LOG_LOG_HPP
#define CURRANTSHED_LOG_LOG_HPP

#include <climits>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include <absl/types/span.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/log/fwd.hpp"

namespace currantshed::log {

/// Severity of a log line, lowest first.
enum class level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// Identifies the process in every log line.
struct identity
{
  std::string program;
  std::string vm;
  std::string failureDomain;
};

/// An unknown value; its field is omitted.
struct unknown
{};

/// The value of one field.
using value = std::variant<std::string, std::int64_t, double, bool, unknown>;

/// One field of a line, in addition to the fixed ones. Must not contain
/// statement texts or parameter values.
struct field
{
  std::string_view name;
  value content;
};

/// Sets the identity of the process and the minimum level. Called once by
/// long-running programs, before the first line. From then on lines go to
/// standard output, are rate-limited, and are dropped and counted rather than
/// block the caller. Without this call, as in command-line tools, lines carry
/// no identity and go to standard error.
void
Start(const identity& aIdentity, level aMinLevel);

/// Whether lines of this level are written.
[[nodiscard]] bool
IsLevelEnabled(level aLevel);

/// Writes one JSON object on one line. The fixed fields come first (time,
/// level, event, program, vm, failure_domain), then the given ones; a given
/// field cannot replace a fixed one. Thread-safe.
void
Write(level aLevel,
      std::string_view aEvent,
      std::initializer_list<field> aFields = {});

/// A line has fewer bytes than this, so that it is written at once and whole: a
/// pipe that is reported as writable accepts this many without blocking.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

/// Formats one line without a line terminator. The result is always valid JSON:
/// bytes that are not UTF-8 become the replacement character, and a non-finite
/// number becomes null. Long texts are cut; if the line is still too long, the
/// given fields are replaced by their number.
[[nodiscard]] std::string
FormatLine(clock::wall_time aNow,
           const identity& aIdentity,
           level aLevel,
           std::string_view aEvent,
           absl::Span<const field> aFields);

} // namespace currantshed::log

#endif
