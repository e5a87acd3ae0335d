#include <cstdlib>
#include <string_view>

#include "protocol/configuration_json.h"
#include "protocol/log_record_json.h"

// Aborts if a decoded organisation violates its weight limits, or if a decoded
// log record cannot be decoded again after encoding.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  using namespace greengage;
  std::string_view body(reinterpret_cast<const char*>(aData), aSize);
  for (auto kind : { state::ConfigurationKind::eTemplate,
                     state::ConfigurationKind::eOrganisation }) {
    auto change = protocol::DecodePublication({ kind, "name" }, "id", body);
    if (!change) {
      continue;
    }
    const auto* limits =
      std::get_if<state::OrganisationParameters>(&change->document);
    if (limits && !(limits->Weight() >= state::kMinWeight &&
                    limits->Weight() <= state::kMaxWeight)) {
      std::abort();
    }
  }
  auto record = protocol::DecodeLogContent(body);
  if (record) {
    std::string encoded = protocol::EncodeLogContent(*record);
    if (!protocol::DecodeLogContent(encoded)) {
      std::abort();
    }
  }
  return 0;
}
