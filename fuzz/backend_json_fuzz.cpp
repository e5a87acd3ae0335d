#include <cstdlib>
#include <string>
#include <string_view>

#include "protocol/backend_json.h"
#include "protocol/json_reader.h"

// A result goes unchanged into the answer to the caller, so it must be JSON.
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
