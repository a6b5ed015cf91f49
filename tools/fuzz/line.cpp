#include <cstddef>
#include <cstdint>
#include <string_view>

#include "test/platform/fuzz_line.hpp"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  currantshed::test::CheckLine({ reinterpret_cast<const char*>(aData), aSize });
  return 0;
}
