#include <cstdlib>
#include <string>

#include "platform/caller_codec.h"
#include "platform/node_settings.h"
#include "platform/operator_codec.h"
#include "platform/server_codec.h"
#include "platform/store_client.h"
#include "platform/task_name.h"

// Foreign bytes on any interface of the platform are refused or decode into
// values that keep their own rules.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  using namespace greengage;
  std::string text(reinterpret_cast<const char*>(aData), aSize);
  transport::HttpRequest submission{ "POST", "/p/00000000000000aa", text };
  auto request = platform::DecodeFrontRequest(submission);
  if (request && !request->unsupported) {
    for (std::size_t i = 0; i < request->job.steps.size(); ++i) {
      for (std::uint32_t earlier : request->job.steps[i].after) {
        if (earlier >= i) {
          std::abort();
        }
      }
    }
  }
  transport::HttpRequest notice{ "POST", "/-/instances/i-1/heartbeat", text };
  (void)platform::DecodeNotice(notice);
  transport::HttpResponse answer{ 200, text };
  (void)platform::DecodeStartAnswer(answer);
  (void)platform::DecodeRenewAnswer(answer);
  (void)platform::DecodeConfiguration(text);
  (void)platform::DecodeNodeSettings(text);
  (void)platform::DecodeNewest(text, "config");
  (void)platform::DecodeKeyedPage(text);
  auto task = platform::DecodeTaskName(text);
  if (task &&
      platform::DecodeTaskName(platform::EncodeTaskName(*task)) != task) {
    std::abort();
  }
  return 0;
}
