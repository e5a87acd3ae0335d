#include <cstdlib>
#include <string_view>

#include "protocol/caller_json.h"

// Aborts if a decoded job request violates the limits of JobSpec.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  using namespace greengage;
  std::string_view body(reinterpret_cast<const char*>(aData), aSize);
  auto spec = protocol::DecodeJobRequest(
    body, [] { return state::JobId::FromWords(0x7000, 1ULL << 63); });
  if (spec &&
      (spec->TaskCount() == 0 || spec->TaskCount() > state::kMaxTasksPerJob ||
       spec->Urgency() > state::kMaxUrgency)) {
    std::abort();
  }
  return 0;
}
