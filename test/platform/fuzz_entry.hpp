#ifndef CURRANTSHED_TEST_PLATFORM_FUZZ_ENTRY_HPP
#define CURRANTSHED_TEST_PLATFORM_FUZZ_ENTRY_HPP

#include <string_view>

namespace currantshed::test {

/// Reads an entry of the list of servers, the id before the first end of line
/// and the value after it, and ends the process when what was read is not what
/// a reader may rely on. Shared by the fuzzer and by the test that plays its
/// corpus.
void
CheckEntry(std::string_view aText);

} // namespace currantshed::test

#endif
