#include <cstdlib>
#include <string>
#include <string_view>

#include "protocol/backend_json.h"
#include "protocol/json_reader.h"

// Aborts if a decoded result is not JSON, because the response to the caller
// contains it unchanged, or if a decoded capacity has no slots.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  using namespace greengage::protocol;
  std::string_view body(reinterpret_cast<const char*>(aData), aSize);
  auto result = DecodeBackendResult(body);
  if (result && !ParseJson(*result)) {
    std::abort();
  }
  auto capacity = DecodeBackendCapacity(body);
  if (capacity && capacity->slots == 0) {
    std::abort();
  }
  return 0;
}
