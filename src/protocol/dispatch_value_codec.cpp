#include "protocol/dispatch_value_codec.h"

#include "coordination/dispatch/late_starts.h"

namespace greengage::protocol {

using namespace coordination;
using state::ResourceAmount;
using state::RunKey;
using state::TaskKey;

namespace {

/** Maximum number of suspects of a crash; an agent reports at most 256. */
constexpr unsigned kMaxSuspects = 1024;

}

void
Encode(const ResourceAmount& aAmount, wire::ResourceAmount::Builder aBuilder)
{
  aBuilder.setCpuMillicores(aAmount.cpuMillicores);
  aBuilder.setMemoryMb(aAmount.memoryMb);
  aBuilder.setGpus(aAmount.gpus);
}

ResourceAmount
Decode(wire::ResourceAmount::Reader aReader)
{
  return { aReader.getCpuMillicores(),
           aReader.getMemoryMb(),
           aReader.getGpus() };
}

void
Encode(const TaskKey& aTask, wire::TaskKey::Builder aBuilder)
{
  EncodeJobId(aTask.job, aBuilder);
  aBuilder.setStep(aTask.step);
  aBuilder.setIndex(aTask.index);
}

TaskKey
Decode(wire::TaskKey::Reader aReader)
{
  return { DecodeJobId(aReader), aReader.getStep(), aReader.getIndex() };
}

void
Encode(const RunKey& aKey, wire::RunKey::Builder aBuilder)
{
  EncodeJobId(aKey.task.job, aBuilder);
  aBuilder.setStep(aKey.task.step);
  aBuilder.setIndex(aKey.task.index);
  aBuilder.setRun(aKey.run);
}

RunKey
Decode(wire::RunKey::Reader aReader)
{
  return { { DecodeJobId(aReader), aReader.getStep(), aReader.getIndex() },
           aReader.getRun() };
}

std::vector<RunKey>
DecodeKeys(::capnp::List<wire::RunKey>::Reader aReader)
{
  std::vector<RunKey> keys;
  for (auto key : aReader) {
    keys.push_back(Decode(key));
  }
  return keys;
}

void
Encode(const RunBatch& aBatch, wire::RunBatch::Builder aBuilder)
{
  EncodeJobId(aBatch.job, aBuilder);
  aBuilder.setStep(aBatch.step);
  Encode(aBatch.need, aBuilder.initNeed());
  aBuilder.setLimitMs(aBatch.limitMs);
  aBuilder.setPayload(ToText(aBatch.payload));
  auto runs = aBuilder.initRuns(static_cast<unsigned>(aBatch.runs.size()));
  for (unsigned i = 0; i < aBatch.runs.size(); ++i) {
    runs[i].setIndex(aBatch.runs[i].index);
    runs[i].setRun(aBatch.runs[i].run);
    runs[i].setCrashes(aBatch.runs[i].crashes);
  }
  if (!aBatch.queue.empty()) {
    aBuilder.setQueue(ToText(aBatch.queue));
  }
}

RunBatch
Decode(wire::RunBatch::Reader aReader)
{
  RunBatch batch;
  batch.job = DecodeJobId(aReader);
  batch.step = aReader.getStep();
  batch.need = Decode(aReader.getNeed());
  batch.limitMs = aReader.getLimitMs();
  batch.payload = ToString(aReader.getPayload());
  for (auto run : aReader.getRuns()) {
    batch.runs.push_back({ run.getIndex(), run.getRun(), run.getCrashes() });
  }
  batch.queue = ToString(aReader.getQueue());
  return batch;
}

void
Encode(const ServerCrash& aCrash, wire::ServerCrash::Builder aBuilder)
{
  aBuilder.setNumber(aCrash.number);
  aBuilder.setAgeMs(aCrash.ageMs);
  auto suspects =
    aBuilder.initSuspects(static_cast<unsigned>(aCrash.suspects.size()));
  for (unsigned i = 0; i < aCrash.suspects.size(); ++i) {
    const CrashSuspect& suspect = aCrash.suspects[i];
    Encode(suspect.task, suspects[i].initTask());
    suspects[i].setQueue(ToText(suspect.queue));
  }
}

tl::expected<ServerCrash, ProtocolError>
Decode(wire::ServerCrash::Reader aReader)
{
  if (aReader.getSuspects().size() > kMaxSuspects) {
    return tl::unexpected(ProtocolError{ "crashes", "too many suspects" });
  }
  ServerCrash crash{ aReader.getNumber(), aReader.getAgeMs(), {} };
  for (auto suspect : aReader.getSuspects()) {
    crash.suspects.push_back(
      { Decode(suspect.getTask()), ToString(suspect.getQueue()) });
  }
  return crash;
}

void
Encode(const state::EvacuationState& aState,
       wire::EvacuationNotice::Builder aBuilder)
{
  aBuilder.setRevision(aState.revision);
  auto dataCentres =
    aBuilder.initDataCentres(static_cast<unsigned>(aState.dataCentres.size()));
  unsigned i = 0;
  for (const std::string& dataCentre : aState.dataCentres) {
    dataCentres.set(i++, ToText(dataCentre));
  }
}

void
Encode(const TaskHolds& aHolds, wire::TaskHolds::Builder aBuilder)
{
  aBuilder.setNumber(aHolds.number);
  auto tasks = aBuilder.initTasks(static_cast<unsigned>(aHolds.tasks.size()));
  for (unsigned i = 0; i < aHolds.tasks.size(); ++i) {
    Encode(aHolds.tasks[i].task, tasks[i].initTask());
    tasks[i].setLeftMs(aHolds.tasks[i].leftMs);
  }
}

tl::expected<TaskHolds, ProtocolError>
Decode(wire::TaskHolds::Reader aReader)
{
  if (aReader.getTasks().size() > kMaxHeldTasks) {
    return tl::unexpected(ProtocolError{ "holds", "too many tasks" });
  }
  TaskHolds holds{ aReader.getNumber(), {} };
  for (auto held : aReader.getTasks()) {
    holds.tasks.push_back({ Decode(held.getTask()), held.getLeftMs() });
  }
  return holds;
}

void
Encode(const ServerDescription& aDescription,
       wire::ServerDescription::Builder aBuilder)
{
  aBuilder.setId(ToText(aDescription.id));
  aBuilder.setService(ToText(aDescription.service));
  auto labels =
    aBuilder.initLabels(static_cast<unsigned>(aDescription.labels.size()));
  for (unsigned i = 0; i < aDescription.labels.size(); ++i) {
    labels.set(i, ToText(aDescription.labels[i]));
  }
  Encode(aDescription.capacity, aBuilder.initCapacity());
}

ServerDescription
Decode(wire::ServerDescription::Reader aReader)
{
  ServerDescription description{ ToString(aReader.getId()),
                                 ToString(aReader.getService()),
                                 {},
                                 Decode(aReader.getCapacity()) };
  for (auto label : aReader.getLabels()) {
    description.labels.push_back(ToString(label));
  }
  return description;
}

}
