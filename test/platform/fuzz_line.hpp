#ifndef CURRANTSHED_TEST_PLATFORM_FUZZ_LINE_HPP
#define CURRANTSHED_TEST_PLATFORM_FUZZ_LINE_HPP

#include <string_view>

namespace currantshed::test {

/// Reads a line in every way that the line protocol has, and ends the process
/// when what was read is not what a reader may rely on. Shared by the fuzzer
/// and by the test that plays its corpus.
void
CheckLine(std::string_view aLine);

} // namespace currantshed::test

#endif
