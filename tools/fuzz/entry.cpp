#include <cstddef>
#include <cstdint>
#include <string_view>

#include "test/platform/fuzz_entry.hpp"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  currantshed::test::CheckEntry(
    { reinterpret_cast<const char*>(aData), aSize });
  return 0;
}
