#ifndef CURRANTSHED_TEST_PLATFORM_FUZZ_ENTRY_HPP
#define CURRANTSHED_TEST_PLATFORM_FUZZ_ENTRY_HPP

#include <string_view>

namespace currantshed::test {

/// Parses an entry of the list of servers and aborts the process if the result
/// violates a guarantee to its readers. The text holds the id, an end of line,
/// and the value. Shared by the fuzzer and by the test that replays its corpus.
void
CheckEntry(std::string_view aText);

} // namespace currantshed::test

#endif
