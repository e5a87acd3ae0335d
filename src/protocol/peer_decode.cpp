#include "protocol/peer_decode.h"

#include "protocol/dispatch_codec.h"
#include "protocol/wire_text.h"

namespace greengage::protocol {

namespace {

using namespace coordination;
using state::JobKey;
using state::JobOutcome;
using state::JobSpec;
using state::OwnershipToken;
using state::ProcessId;
using state::RefusalCode;
using state::TaskRecord;

// Year 2248. The nanoseconds of WallTime overflow in 2262; the difference
// allows durations to be added.
constexpr std::int64_t kLatestTimeMs = std::int64_t{ 1 } << 43;

// 104 days; far above every task timeout, and nanoseconds do not overflow.
constexpr std::uint64_t kMaxRunTimeUs = std::uint64_t{ 9'000'000'000'000 };

/** Thrown for values out of range; caught in DecodeMessage(). */
struct InvalidValue
{
  ProtocolError error;
};

[[noreturn]] void
Reject(std::string aField, std::string aMessage)
{
  throw InvalidValue{ { std::move(aField), std::move(aMessage) } };
}

template<class Enum>
Enum
ToEnum(unsigned aValue, Enum aLast, const char* aField)
{
  if (aValue > static_cast<unsigned>(aLast)) {
    Reject(aField, "value " + std::to_string(aValue) + " is not known");
  }
  return static_cast<Enum>(aValue);
}

ProcessId
Decode(wire::ProcessId::Reader aReader)
{
  return { aReader.getHigh(), aReader.getLow() };
}

OwnershipToken
Decode(wire::Token::Reader aReader)
{
  return { aReader.getEpoch(), aReader.getTerm() };
}

JobKey
Decode(wire::JobKey::Reader aReader)
{
  return { ToString(aReader.getOrganisation()),
           state::JobId::FromWords(aReader.getHigh(), aReader.getLow()) };
}

ProcessInfo
Decode(wire::ProcessInfo::Reader aReader)
{
  ProcessInfo info;
  info.id = Decode(aReader.getId());
  info.role = ToEnum(aReader.getRole(), ProcessRole::eAgent, "role");
  info.peerAddress = ToString(aReader.getPeerAddress());
  info.dataCentre = ToString(aReader.getDataCentre());
  info.rack = ToString(aReader.getRack());
  info.slots = aReader.getSlots();
  info.memoryMb = aReader.getMemoryMb();
  info.accelerators = aReader.getAccelerators();
  info.draining = aReader.getDraining();
  return info;
}

AgentInUse
Decode(wire::AgentInUse::Reader aReader)
{
  AgentInUse agent;
  agent.process = Decode(aReader.getProcess());
  auto goneSinceMs = aReader.getGoneSinceMs();
  if (goneSinceMs < 0 || goneSinceMs > kLatestTimeMs) {
    Reject("goneSinceMs", "time is out of range");
  }
  if (goneSinceMs != 0) {
    agent.lostSince = state::WallTime(std::chrono::milliseconds(goneSinceMs));
  }
  return agent;
}

JobSpec
Decode(wire::JobSpec::Reader aReader)
{
  JobSpec::Builder builder;
  builder.SetKey(Decode(aReader.getKey()))
    .SetTemplateName(ToString(aReader.getTemplateName()))
    .SetDeadline(std::chrono::milliseconds(aReader.getDeadlineMs()))
    .SetUrgency(aReader.getUrgency())
    .SetIdempotent(aReader.getIdempotent());
  for (auto payload : aReader.getPayloads()) {
    builder.AddPayload(ToString(payload));
  }
  auto spec = builder.Build();
  if (!spec) {
    Reject(spec.error().field, spec.error().message);
  }
  return *std::move(spec);
}

JobOutcome
Decode(wire::JobOutcome::Reader aReader)
{
  JobOutcome outcome;
  outcome.complete = aReader.getComplete();
  for (auto result : aReader.getResults()) {
    outcome.results.push_back(ToString(result));
  }
  outcome.code = ToEnum(aReader.getCode(), RefusalCode::eLast, "code");
  outcome.run = ToEnum(aReader.getRun(), state::RunState::eUnknown, "run");
  outcome.message = ToString(aReader.getMessage());
  outcome.retryAfter = std::chrono::milliseconds(aReader.getRetryAfterMs());
  return outcome;
}

TaskRecord
Decode(wire::TaskRecord::Reader aReader)
{
  TaskRecord record;
  record.key = Decode(aReader.getKey());
  record.task = aReader.getTask();
  record.attempt = aReader.getAttempt();
  record.taskState =
    ToEnum(aReader.getTaskState(), state::TaskState::eFailed, "taskState");
  record.code = ToEnum(aReader.getCode(), RefusalCode::eLast, "code");
  record.body = ToString(aReader.getBody());
  if (aReader.getRunTimeUs() > kMaxRunTimeUs) {
    Reject("runTimeUs", "duration is out of range");
  }
  record.runTime = std::chrono::microseconds(aReader.getRunTimeUs());
  return record;
}

TaskStart
Decode(wire::TaskStart::Reader aReader)
{
  TaskStart start;
  start.key = Decode(aReader.getKey());
  start.task = aReader.getTask();
  start.attempt = aReader.getAttempt();
  start.templateName = ToString(aReader.getTemplateName());
  start.payload = ToString(aReader.getPayload());
  start.timeout = std::chrono::milliseconds(aReader.getTimeoutMs());
  return start;
}

ConfigurationRecord
Decode(wire::ConfigurationRecord::Reader aReader)
{
  return { aReader.getOffset(), ToString(aReader.getData()) };
}

template<class List>
auto
DecodeList(List aList)
{
  std::vector<decltype(Decode(aList[0]))> values;
  values.reserve(aList.size());
  for (auto element : aList) {
    values.push_back(Decode(element));
  }
  return values;
}

/** Decodes the common fields of messages between owner and agent. */
template<class Message, class Reader>
Message
DecodeAgentHeader(Reader aReader)
{
  Message message;
  message.agent = Decode(aReader.getAgent());
  message.shard = aReader.getShard();
  message.token = Decode(aReader.getToken());
  return message;
}

StartTasks
DecodeStartTasks(wire::StartTasks::Reader aReader)
{
  auto message = DecodeAgentHeader<StartTasks>(aReader);
  message.tasks = DecodeList(aReader.getTasks());
  return message;
}

CancelTasks
DecodeCancelTasks(wire::CancelTasks::Reader aReader)
{
  auto message = DecodeAgentHeader<CancelTasks>(aReader);
  message.keys = DecodeList(aReader.getKeys());
  return message;
}

HistoryQuery
DecodeHistoryQuery(wire::HistoryQuery::Reader aReader)
{
  auto message = DecodeAgentHeader<HistoryQuery>(aReader);
  message.query = aReader.getQuery();
  message.keys = DecodeList(aReader.getKeys());
  return message;
}

HistoryReply
DecodeHistoryReply(wire::HistoryReply::Reader aReader)
{
  auto message = DecodeAgentHeader<HistoryReply>(aReader);
  message.query = aReader.getQuery();
  message.records = DecodeList(aReader.getRecords());
  return message;
}

LeaseRequest
DecodeLeaseRequest(wire::LeaseRequest::Reader aReader)
{
  LeaseRequest request;
  request.shard = aReader.getShard();
  request.token = Decode(aReader.getToken());
  request.sequence = aReader.getSequence();
  request.newAgents = DecodeList(aReader.getNewAgents());
  request.wantAgents = aReader.getWantAgents();
  request.release = aReader.getRelease();
  request.allAgents = aReader.getAllAgents();
  return request;
}

LeaseReply
DecodeLeaseReply(wire::LeaseReply::Reader aReader)
{
  LeaseReply reply;
  reply.member = Decode(aReader.getMember());
  reply.shard = aReader.getShard();
  reply.token = Decode(aReader.getToken());
  reply.sequence = aReader.getSequence();
  reply.granted = aReader.getGranted();
  reply.promised = Decode(aReader.getPromised());
  reply.olderGrantRemaining =
    std::chrono::milliseconds(aReader.getOlderGrantRemainingMs());
  reply.agents = DecodeList(aReader.getAgents());
  return reply;
}

std::optional<PeerMessage>
DecodeUnion(wire::Message::Reader aReader)
{
  switch (aReader.which()) {
    case wire::Message::HELLO:
      return Hello{ Decode(aReader.getHello()) };
    case wire::Message::SUBMIT_JOB: {
      auto submit = aReader.getSubmitJob();
      return SubmitJob{ submit.getSubmission(), Decode(submit.getSpec()) };
    }
    case wire::Message::JOB_ANSWER: {
      auto answer = aReader.getJobAnswer();
      return JobAnswer{ answer.getSubmission(),
                        Decode(answer.getKey()),
                        Decode(answer.getOutcome()) };
    }
    case wire::Message::QUERY_JOB: {
      auto query = aReader.getQueryJob();
      return QueryJob{ query.getSubmission(), Decode(query.getKey()) };
    }
    case wire::Message::CANCEL_JOB: {
      auto cancel = aReader.getCancelJob();
      return CancelJob{ cancel.getSubmission(), Decode(cancel.getKey()) };
    }
    case wire::Message::START_TASKS:
      return DecodeStartTasks(aReader.getStartTasks());
    case wire::Message::TASK_RESULTS: {
      auto results = aReader.getTaskResults();
      return TaskResults{ results.getShard(),
                          Decode(results.getAgent()),
                          DecodeList(results.getRecords()) };
    }
    case wire::Message::CANCEL_TASKS:
      return DecodeCancelTasks(aReader.getCancelTasks());
    case wire::Message::FENCE:
      return DecodeAgentHeader<Fence>(aReader.getFence());
    case wire::Message::FENCE_REPLY:
      return DecodeAgentHeader<FenceReply>(aReader.getFenceReply());
    case wire::Message::HISTORY_QUERY:
      return DecodeHistoryQuery(aReader.getHistoryQuery());
    case wire::Message::HISTORY_REPLY:
      return DecodeHistoryReply(aReader.getHistoryReply());
    case wire::Message::AGENT_STATUS: {
      auto status = aReader.getAgentStatus();
      return AgentStatus{ Decode(status.getProcess()),
                          status.getRunningTasks() };
    }
    case wire::Message::LEASE_REQUEST:
      return DecodeLeaseRequest(aReader.getLeaseRequest());
    case wire::Message::LEASE_REPLY:
      return DecodeLeaseReply(aReader.getLeaseReply());
    case wire::Message::OWNER_ANNOUNCEMENT: {
      auto announcement = aReader.getOwnerAnnouncement();
      return OwnerAnnouncement{ announcement.getShard(),
                                Decode(announcement.getToken()),
                                Decode(announcement.getOwner()) };
    }
    case wire::Message::CONFIGURATION_PULL:
      return ConfigurationPull{
        aReader.getConfigurationPull().getFromVersion()
      };
    case wire::Message::DRAIN_AGENT:
      return DrainAgent{ Decode(aReader.getDrainAgent()) };
    case wire::Message::DISPATCH_ORDERS: {
      auto orders = DecodeDispatchOrders(aReader.getDispatchOrders());
      if (!orders) {
        Reject(orders.error().field, orders.error().message);
      }
      return *std::move(orders);
    }
    case wire::Message::SERVER_REPORT: {
      auto report = DecodeServerReport(aReader.getServerReport());
      if (!report) {
        Reject(report.error().field, report.error().message);
      }
      return *std::move(report);
    }
    case wire::Message::CONFIGURATION_COPY: {
      auto copy = aReader.getConfigurationCopy();
      return ConfigurationCopy{ copy.getVersion(),
                                ToString(copy.getDocument()) };
    }
    case wire::Message::ENTRY_NEWS: {
      auto news = DecodeEntryNews(aReader.getEntryNews());
      if (!news) {
        Reject(news.error().field, news.error().message);
      }
      return *std::move(news);
    }
    case wire::Message::DOCUMENT_REQUEST: {
      auto request = aReader.getDocumentRequest();
      return DocumentRequest{ request.getVersion(), request.getOffset() };
    }
    case wire::Message::DOCUMENT_PART: {
      auto part = aReader.getDocumentPart();
      auto bytes = part.getBytes().asChars();
      return DocumentPart{ part.getVersion(),
                           part.getTotalBytes(),
                           part.getOffset(),
                           std::string(bytes.begin(), bytes.size()) };
    }
    case wire::Message::CONFIGURATION_RECORDS: {
      auto records = aReader.getConfigurationRecords();
      return ConfigurationRecords{ records.getVersion(),
                                   DecodeList(records.getRecords()) };
    }
  }
  return std::nullopt;
}

}

tl::expected<std::optional<PeerMessage>, ProtocolError>
DecodeMessage(wire::Message::Reader aReader)
{
  try {
    return DecodeUnion(aReader);
  } catch (const InvalidValue& invalid) {
    return tl::unexpected(invalid.error);
  }
}

}
