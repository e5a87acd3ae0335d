#include <cmath>
#include <cstdlib>
#include <span>
#include <string>

#include "coordination/dispatch/dispatched_job.h"
#include "platform/caller_codec.h"
#include "platform/json_fields.h"
#include "platform/node_settings.h"
#include "platform/operator_codec.h"
#include "platform/server_codec.h"
#include "platform/store_client.h"
#include "platform/task_name.h"
#include "protocol/peer_codec.h"
#include "transport/endpoint.h"

namespace {

using namespace greengage;

class FixedClock final : public state::Clock
{
public:
  state::MonotonicTime MonotonicNow() const override
  {
    return state::MonotonicTime(std::chrono::hours(1));
  }
  state::WallTime WallNow() const override { return {}; }
};

void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

/**
 * Steps depend on earlier ones only, and the times computed from the job and
 * any queue of the configuration do not overflow.
 */
void
CheckJob(const daemon::CallerRequest& aRequest,
         const std::vector<state::WorkQueue>& aQueues)
{
  const auto& steps = aRequest.job.steps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (std::uint32_t earlier : steps[i].after) {
      Require(earlier < i);
    }
  }
  static const FixedClock clock;
  static const coordination::RunTimeModel model(clock);
  auto now = clock.MonotonicNow();
  for (const state::WorkQueue& queue : aQueues) {
    auto job = coordination::MakeDispatchedJob(
      aRequest.job,
      queue,
      model,
      now,
      coordination::TimeLimit(queue, aRequest.callerTimeout));
    Require(job.deadline >= now && job.objectiveAt >= now &&
            job.usefulUntil >= now && job.latestStart <= job.deadline);
  }
}

/** Returns the message as another process receives it. */
template<class Message>
Message
Transfer(const Message& aMessage)
{
  std::string frame = protocol::EncodeFrame({ aMessage });
  auto messages = protocol::DecodeFrame(std::as_bytes(std::span(frame)));
  Require(messages && messages->size() == 1);
  return std::get<Message>(messages->front());
}

/** The server is told to start tasks with the spec of their job. */
void
CheckSpec(const daemon::CallerRequest& aRequest)
{
  coordination::RunBatch batch;
  batch.payload = aRequest.job.payload;
  auto orders = Transfer(coordination::DispatchOrders{ { batch } });
  coordination::StartRunCall call;
  call.payload = orders.starts.at(0).payload;
  auto body = platform::ParseObject(platform::EncodeStart(call).body);
  Require(body &&
          platform::FieldReader(*body).String("spec") == aRequest.job.payload);
}

/**
 * Numbers that only increase leave room for later ones, and entries learn the
 * id, the service and the labels unchanged.
 */
void
CheckNotice(const daemon::ServerNotice& aNotice)
{
  const auto* announcement =
    std::get_if<coordination::ServerAnnouncement>(&aNotice);
  if (!announcement) {
    return;
  }
  Require(!announcement->description.id.empty());
  Require(!announcement->description.service.empty());
  Require(announcement->sequence <= platform::kMaxCount);
  Require(announcement->born <= platform::kMaxCount);
  coordination::ServerReport report;
  report.description = announcement->description;
  Require(Transfer(report) == report);
}

void
CheckLists(const coordination::RenewAnswer& aAnswer)
{
  for (const auto& run : aAnswer.running) {
    Require(run.percent <= 100);
  }
  for (const auto& end : aAnswer.ended) {
    Require(end.number <= platform::kMaxCount);
  }
}

/** Returns the queues of the configuration; empty if it is malformed. */
std::vector<state::WorkQueue>
DecodeQueues(const std::string& aText)
{
  auto configuration = platform::DecodeConfiguration(aText);
  if (!configuration) {
    return {};
  }
  Require(configuration->version <= platform::kMaxCount);
  for (const state::WorkQueue& queue : configuration->queues) {
    Require(std::isfinite(queue.objectiveStretch));
  }
  return std::move(configuration->queues);
}

}

// Decodes untrusted bytes with the decoders of the platform's interfaces.
// Aborts if a decoded value breaks one of the rules above, or if a decoded
// text, task name or address changes when it is encoded and decoded again.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  std::string text(reinterpret_cast<const char*>(aData), aSize);
  auto queues = DecodeQueues(text);
  transport::HttpRequest submission{ "POST", "/p/00000000000000aa", text };
  auto request = platform::DecodeCallerRequest(submission);
  if (request) {
    CheckJob(*request, queues);
    CheckSpec(*request);
  }
  transport::HttpRequest notice{ "POST", "/-/instances/i-1/heartbeat", text };
  if (auto decoded = platform::DecodeNotice(notice)) {
    CheckNotice(*decoded);
  }
  notice.target = text;
  (void)platform::DecodeNotice(notice);
  (void)platform::DecodeCallerRequest(notice);
  transport::HttpResponse answer{ 200, text };
  (void)platform::DecodeStartAnswer(answer);
  if (auto lists = platform::DecodeRenewAnswer(answer)) {
    CheckLists(*lists);
  }
  (void)platform::DecodeNodeSettings(text);
  (void)platform::DecodeNewest(text, "config");
  (void)platform::DecodeKeyedPage(text);
  auto task = platform::DecodeTaskName(text);
  if (task) {
    Require(platform::DecodeTaskName(platform::EncodeTaskName(*task)) == task);
  }
  auto endpoint = transport::ParseEndpoint(text);
  if (endpoint) {
    Require(transport::ParseEndpoint(transport::ToString(*endpoint)) ==
            endpoint);
  }
  return 0;
}
