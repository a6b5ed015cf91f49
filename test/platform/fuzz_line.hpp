#ifndef CURRANTSHED_TEST_PLATFORM_FUZZ_LINE_HPP
#define CURRANTSHED_TEST_PLATFORM_FUZZ_LINE_HPP

#include <string_view>

namespace currantshed::test {

/// Parses a line with every parser of the line protocol and aborts the process
/// if a result violates a guarantee to its readers. Shared by the fuzzer and by
/// the test that replays its corpus.
void
CheckLine(std::string_view aLine);

} // namespace currantshed::test

#endif
