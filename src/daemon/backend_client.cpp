#include "daemon/backend_client.h"

#include <utility>

#include "protocol/backend_json.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using coordination::BackendResult;
using coordination::TaskStart;
using state::RefusalCode;
using state::TaskState;
using transport::HttpClient;
using transport::TransportErrorKind;

namespace {

constexpr std::chrono::milliseconds kCapacityTimeout{ 1000 };
constexpr std::chrono::milliseconds kRetryDelay{ 200 };

BackendResult
ToBackendResult(const HttpClient::Result& aResult)
{
  if (aResult) {
    if (aResult->status != 200) {
      return { TaskState::eFailed,
               RefusalCode::eTaskFailed,
               "the backend server answered with status " +
                 std::to_string(aResult->status) };
    }
    auto body = protocol::DecodeBackendResult(aResult->body);
    if (!body) {
      return { TaskState::eFailed,
               RefusalCode::eTaskFailed,
               "the answer of the backend server is malformed: " +
                 body.error().message };
    }
    return { TaskState::eSucceeded, RefusalCode::eNone, *std::move(body) };
  }
  switch (aResult.error().kind) {
    case TransportErrorKind::eConnectionRefused:
    case TransportErrorKind::eNotConnected:
      return { TaskState::eNotStarted,
               RefusalCode::eBackendUnreachable,
               aResult.error().message };
    case TransportErrorKind::eTimeout:
      return { TaskState::eFailed,
               RefusalCode::eTaskTimeout,
               "the task exceeded its timeout" };
    case TransportErrorKind::eAborted:
      return { TaskState::eFailed,
               RefusalCode::eCancelled,
               "the task was cancelled" };
    default:
      return { TaskState::eFailed,
               RefusalCode::eOutcomeUnknown,
               "the connection to the backend server was lost: " +
                 aResult.error().message };
  }
}

}

BackendClient::BackendClient(transport::TrafficPool& aTraffic,
                             transport::ControlThread& aControl,
                             const boost::asio::ip::tcp::endpoint& aServer)
  : control_(aControl)
  , address_(transport::ToString(aServer))
  , client_(aTraffic, aServer)
{
}

void
BackendClient::ReadCapacity(CapacityDone aDone)
{
  client_.Send(
    { "GET", "/capacity", "" },
    kCapacityTimeout,
    [this, done = std::move(aDone)](HttpClient::Result aResult) {
      std::optional<BackendCapacity> capacity;
      if (aResult && aResult->status == 200) {
        auto decoded = protocol::DecodeBackendCapacity(aResult->body);
        if (decoded) {
          capacity = BackendCapacity{ decoded->slots,
                                      decoded->memoryMb,
                                      decoded->accelerators };
        }
      }
      std::string reason = aResult ? "the answer to GET /capacity is not valid"
                                   : aResult.error().message;
      control_.Post([this, done, capacity, reason] {
        if (capacity) {
          done(*capacity);
          return;
        }
        if (!std::exchange(unreachableLogged_, true)) {
          transport::LogEvent(transport::events::kBackendUnreachable,
                              "backend={} reason={}",
                              address_,
                              transport::QuoteValue(reason));
        }
        control_.After(kRetryDelay, [this, done] { ReadCapacity(done); });
      });
    });
}

void
BackendClient::Run(const TaskStart& aTask, TaskDone aDone)
{
  auto abort = client_.Send(
    { "POST", "/run", protocol::EncodeBackendTask(aTask) },
    aTask.timeout,
    [this, aTask, done = std::move(aDone)](HttpClient::Result aResult) {
      control_.Post([this, aTask, done, result = ToBackendResult(aResult)] {
        running_.erase(AttemptKey{ aTask.key, aTask.task, aTask.attempt });
        done(aTask, result);
      });
    });
  running_.emplace(AttemptKey{ aTask.key, aTask.task, aTask.attempt },
                   std::move(abort));
}

void
BackendClient::Abort(const state::JobKey& aKey,
                     std::uint32_t aTask,
                     std::uint32_t aAttempt)
{
  auto found = running_.find(AttemptKey{ aKey, aTask, aAttempt });
  if (found != running_.end()) {
    found->second();
  }
}

}
