#include "protocol/peer_encode.h"

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
using state::TaskRecord;

template<class Duration>
std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(aDuration.count());
}

std::int64_t
ToEpochMilliseconds(state::WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

void
Encode(const ProcessId& aId, wire::ProcessId::Builder aBuilder)
{
  aBuilder.setHigh(aId.high);
  aBuilder.setLow(aId.low);
}

void
Encode(const OwnershipToken& aToken, wire::Token::Builder aBuilder)
{
  aBuilder.setEpoch(aToken.epoch);
  aBuilder.setTerm(aToken.term);
}

void
Encode(const JobKey& aKey, wire::JobKey::Builder aBuilder)
{
  aBuilder.setOrganisation(ToText(aKey.organisation));
  aBuilder.setHigh(aKey.id.High());
  aBuilder.setLow(aKey.id.Low());
}

void
Encode(const ProcessInfo& aInfo, wire::ProcessInfo::Builder aBuilder)
{
  Encode(aInfo.id, aBuilder.initId());
  aBuilder.setRole(static_cast<std::uint8_t>(aInfo.role));
  aBuilder.setPeerAddress(ToText(aInfo.peerAddress));
  aBuilder.setDataCentre(ToText(aInfo.dataCentre));
  aBuilder.setRack(ToText(aInfo.rack));
  aBuilder.setSlots(aInfo.slots);
  aBuilder.setMemoryMb(aInfo.memoryMb);
  aBuilder.setAccelerators(aInfo.accelerators);
  aBuilder.setDraining(aInfo.draining);
}

void
Encode(const AgentInUse& aAgent, wire::AgentInUse::Builder aBuilder)
{
  Encode(aAgent.process, aBuilder.initProcess());
  aBuilder.setGoneSinceMs(
    aAgent.lostSince ? ToEpochMilliseconds(*aAgent.lostSince) : 0);
}

void
Encode(const JobSpec& aSpec, wire::JobSpec::Builder aBuilder)
{
  Encode(aSpec.Key(), aBuilder.initKey());
  aBuilder.setTemplateName(ToText(aSpec.TemplateName()));
  auto payloads =
    aBuilder.initPayloads(static_cast<unsigned>(aSpec.TaskCount()));
  for (unsigned i = 0; i < aSpec.TaskCount(); ++i) {
    payloads.set(i, ToText(aSpec.Payloads()[i]));
  }
  aBuilder.setDeadlineMs(ToMilliseconds(aSpec.Deadline()));
  aBuilder.setUrgency(aSpec.Urgency());
  aBuilder.setIdempotent(aSpec.Idempotent());
}

void
Encode(const JobOutcome& aOutcome, wire::JobOutcome::Builder aBuilder)
{
  aBuilder.setComplete(aOutcome.complete);
  auto results =
    aBuilder.initResults(static_cast<unsigned>(aOutcome.results.size()));
  for (unsigned i = 0; i < aOutcome.results.size(); ++i) {
    results.set(i, ToText(aOutcome.results[i]));
  }
  aBuilder.setCode(static_cast<std::uint16_t>(aOutcome.code));
  aBuilder.setRun(static_cast<std::uint8_t>(aOutcome.run));
  aBuilder.setMessage(ToText(aOutcome.message));
  aBuilder.setRetryAfterMs(ToMilliseconds(aOutcome.retryAfter));
}

void
Encode(const TaskRecord& aRecord, wire::TaskRecord::Builder aBuilder)
{
  Encode(aRecord.key, aBuilder.initKey());
  aBuilder.setTask(aRecord.task);
  aBuilder.setAttempt(aRecord.attempt);
  aBuilder.setTaskState(static_cast<std::uint8_t>(aRecord.taskState));
  aBuilder.setCode(static_cast<std::uint16_t>(aRecord.code));
  aBuilder.setBody(ToText(aRecord.body));
  aBuilder.setRunTimeUs(static_cast<std::uint64_t>(aRecord.runTime.count()));
}

void
Encode(const TaskStart& aStart, wire::TaskStart::Builder aBuilder)
{
  Encode(aStart.key, aBuilder.initKey());
  aBuilder.setTask(aStart.task);
  aBuilder.setAttempt(aStart.attempt);
  aBuilder.setTemplateName(ToText(aStart.templateName));
  aBuilder.setPayload(ToText(aStart.payload));
  aBuilder.setTimeoutMs(ToMilliseconds(aStart.timeout));
}

void
Encode(const ConfigurationRecord& aRecord,
       wire::ConfigurationRecord::Builder aBuilder)
{
  aBuilder.setOffset(aRecord.offset);
  aBuilder.setData(ToText(aRecord.data));
}

/** Encodes a vector into the list that aInit creates. */
template<class Value, class Init>
void
EncodeList(const std::vector<Value>& aValues, Init aInit)
{
  auto list = aInit(static_cast<unsigned>(aValues.size()));
  for (unsigned i = 0; i < aValues.size(); ++i) {
    Encode(aValues[i], list[i]);
  }
}

void
EncodeReference(std::uint64_t aSubmission,
                const JobKey& aKey,
                wire::JobReference::Builder aBuilder)
{
  aBuilder.setSubmission(aSubmission);
  Encode(aKey, aBuilder.initKey());
}

/** Encodes the common fields of messages between owner and agent. */
template<class Message, class Builder>
void
EncodeAgentHeader(const Message& aMessage, Builder aBuilder)
{
  Encode(aMessage.agent, aBuilder.initAgent());
  aBuilder.setShard(aMessage.shard);
  Encode(aMessage.token, aBuilder.initToken());
}

struct MessageEncoder
{
  wire::Message::Builder builder;

  void operator()(const Hello& aMessage)
  {
    Encode(aMessage.process, builder.initHello());
  }

  void operator()(const SubmitJob& aMessage)
  {
    auto submit = builder.initSubmitJob();
    submit.setSubmission(aMessage.submission);
    Encode(aMessage.spec, submit.initSpec());
  }

  void operator()(const JobAnswer& aMessage)
  {
    auto answer = builder.initJobAnswer();
    answer.setSubmission(aMessage.submission);
    Encode(aMessage.key, answer.initKey());
    Encode(aMessage.outcome, answer.initOutcome());
  }

  void operator()(const QueryJob& aMessage)
  {
    EncodeReference(aMessage.submission, aMessage.key, builder.initQueryJob());
  }

  void operator()(const CancelJob& aMessage)
  {
    EncodeReference(aMessage.submission, aMessage.key, builder.initCancelJob());
  }

  void operator()(const StartTasks& aMessage)
  {
    auto start = builder.initStartTasks();
    EncodeAgentHeader(aMessage, start);
    EncodeList(aMessage.tasks,
               [&](unsigned aSize) { return start.initTasks(aSize); });
  }

  void operator()(const TaskResults& aMessage)
  {
    auto results = builder.initTaskResults();
    results.setShard(aMessage.shard);
    Encode(aMessage.agent, results.initAgent());
    EncodeList(aMessage.records,
               [&](unsigned aSize) { return results.initRecords(aSize); });
  }

  void operator()(const CancelTasks& aMessage)
  {
    auto cancel = builder.initCancelTasks();
    EncodeAgentHeader(aMessage, cancel);
    EncodeList(aMessage.keys,
               [&](unsigned aSize) { return cancel.initKeys(aSize); });
  }

  void operator()(const Fence& aMessage)
  {
    EncodeAgentHeader(aMessage, builder.initFence());
  }

  void operator()(const FenceReply& aMessage)
  {
    EncodeAgentHeader(aMessage, builder.initFenceReply());
  }

  void operator()(const HistoryQuery& aMessage)
  {
    auto query = builder.initHistoryQuery();
    EncodeAgentHeader(aMessage, query);
    query.setQuery(aMessage.query);
    EncodeList(aMessage.keys,
               [&](unsigned aSize) { return query.initKeys(aSize); });
  }

  void operator()(const HistoryReply& aMessage)
  {
    auto reply = builder.initHistoryReply();
    EncodeAgentHeader(aMessage, reply);
    reply.setQuery(aMessage.query);
    EncodeList(aMessage.records,
               [&](unsigned aSize) { return reply.initRecords(aSize); });
  }

  void operator()(const AgentStatus& aMessage)
  {
    auto status = builder.initAgentStatus();
    Encode(aMessage.process, status.initProcess());
    status.setRunningTasks(aMessage.runningTasks);
  }

  void operator()(const LeaseRequest& aMessage)
  {
    auto request = builder.initLeaseRequest();
    request.setShard(aMessage.shard);
    Encode(aMessage.token, request.initToken());
    request.setSequence(aMessage.sequence);
    EncodeList(aMessage.newAgents,
               [&](unsigned aSize) { return request.initNewAgents(aSize); });
    request.setWantAgents(aMessage.wantAgents);
    request.setRelease(aMessage.release);
    request.setAllAgents(aMessage.allAgents);
  }

  void operator()(const LeaseReply& aMessage)
  {
    auto reply = builder.initLeaseReply();
    Encode(aMessage.member, reply.initMember());
    reply.setShard(aMessage.shard);
    Encode(aMessage.token, reply.initToken());
    reply.setSequence(aMessage.sequence);
    reply.setGranted(aMessage.granted);
    Encode(aMessage.promised, reply.initPromised());
    reply.setOlderGrantRemainingMs(
      ToMilliseconds(aMessage.olderGrantRemaining));
    EncodeList(aMessage.agents,
               [&](unsigned aSize) { return reply.initAgents(aSize); });
  }

  void operator()(const OwnerAnnouncement& aMessage)
  {
    auto announcement = builder.initOwnerAnnouncement();
    announcement.setShard(aMessage.shard);
    Encode(aMessage.token, announcement.initToken());
    Encode(aMessage.owner, announcement.initOwner());
  }

  void operator()(const ConfigurationPull& aMessage)
  {
    builder.initConfigurationPull().setFromVersion(aMessage.fromVersion);
  }

  void operator()(const DrainAgent& aMessage)
  {
    Encode(aMessage.agent, builder.initDrainAgent());
  }

  void operator()(const DispatchOrders& aMessage)
  {
    EncodeDispatchOrders(aMessage, builder.initDispatchOrders());
  }

  void operator()(const ServerReport& aMessage)
  {
    EncodeServerReport(aMessage, builder.initServerReport());
  }

  void operator()(const ConfigurationCopy& aMessage)
  {
    auto copy = builder.initConfigurationCopy();
    copy.setVersion(aMessage.version);
    copy.setDocument(ToText(aMessage.document));
  }

  void operator()(const EntryNews& aMessage)
  {
    EncodeEntryNews(aMessage, builder.initEntryNews());
  }

  void operator()(const DocumentRequest& aMessage)
  {
    auto request = builder.initDocumentRequest();
    request.setVersion(aMessage.version);
    request.setOffset(aMessage.offset);
  }

  void operator()(const DocumentPart& aMessage)
  {
    auto part = builder.initDocumentPart();
    part.setVersion(aMessage.version);
    part.setTotalBytes(aMessage.totalBytes);
    part.setOffset(aMessage.offset);
    part.setBytes({ reinterpret_cast<const capnp::byte*>(aMessage.bytes.data()),
                    aMessage.bytes.size() });
  }

  void operator()(const ConfigurationRecords& aMessage)
  {
    auto records = builder.initConfigurationRecords();
    records.setVersion(aMessage.version);
    EncodeList(aMessage.records,
               [&](unsigned aSize) { return records.initRecords(aSize); });
  }
};

}

void
EncodeMessage(const PeerMessage& aMessage, wire::Message::Builder aBuilder)
{
  std::visit(MessageEncoder{ aBuilder }, aMessage);
}

}
