#include "coordination/execution/spec_fingerprint.h"

#include <memory>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace greengage::coordination {

SpecFingerprint
SpecFingerprint::Of(const state::JobSpec& aSpec)
{
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> hash(
    XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(hash.get());
  auto add = [&](const std::string& aText) {
    std::uint64_t size = aText.size();
    XXH3_128bits_update(hash.get(), &size, sizeof(size));
    XXH3_128bits_update(hash.get(), aText.data(), aText.size());
  };
  add(aSpec.TemplateName());
  for (const std::string& payload : aSpec.Payloads()) {
    add(payload);
  }
  std::int64_t numbers[] = { aSpec.Deadline().count(),
                             aSpec.Urgency(),
                             aSpec.Idempotent() ? 1 : 0 };
  XXH3_128bits_update(hash.get(), numbers, sizeof(numbers));
  XXH128_hash_t value = XXH3_128bits_digest(hash.get());
  return { value.high64, value.low64 };
}

}
