#include "protocol/dispatch_codec.h"

#include "coordination/dispatch/late_starts.h"
#include "coordination/evacuation/evacuation_records.h"
#include "protocol/wire_text.h"

namespace greengage::protocol {

using namespace coordination;
using state::DispatchJobId;
using state::ResourceAmount;
using state::RunKey;
using state::TaskKey;

namespace {

/** Maximum number of crashes in a report; an agent retains fewer. */
constexpr unsigned kMaxCrashes = 64;
constexpr unsigned kMaxNewsItems = 1024;
/** Maximum number of suspects of a crash; an agent reports at most 256. */
constexpr unsigned kMaxSuspects = 1024;

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

/** Sets the ID of a message that has it in two fields. */
template<class Builder>
void
EncodeJobId(const DispatchJobId& aJob, Builder aBuilder)
{
  aBuilder.setJob(aJob.Number());
  aBuilder.setJobUpperCase(aJob.UpperCase());
}

template<class Reader>
DispatchJobId
DecodeJobId(Reader aReader)
{
  return { aReader.getJob(), aReader.getJobUpperCase() };
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

template<class Init>
void
EncodeKeys(const std::vector<RunKey>& aKeys, const Init& aInit)
{
  if (aKeys.empty()) {
    return;
  }
  auto keys = aInit(static_cast<unsigned>(aKeys.size()));
  for (unsigned i = 0; i < aKeys.size(); ++i) {
    Encode(aKeys[i], keys[i]);
  }
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

/** Decodes the evacuations in a message, if it has any. */
template<class Reader>
tl::expected<std::optional<state::EvacuationState>, ProtocolError>
DecodeEvacuation(Reader aMessage)
{
  if (!aMessage.hasEvacuation()) {
    return std::nullopt;
  }
  auto notice = aMessage.getEvacuation();
  if (notice.getDataCentres().size() > kMaxEvacuatedDataCentres) {
    return tl::unexpected(ProtocolError{ "evacuation", "too many" });
  }
  state::EvacuationState state{ notice.getRevision(), {} };
  for (auto dataCentre : notice.getDataCentres()) {
    state.dataCentres.insert(ToString(dataCentre));
  }
  return state;
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

void
EncodeDispatchOrders(const DispatchOrders& aOrders,
                     wire::DispatchOrders::Builder aBuilder)
{
  // Empty lists stay null, so that a keep-alive message takes few bytes.
  if (!aOrders.starts.empty()) {
    auto starts =
      aBuilder.initStarts(static_cast<unsigned>(aOrders.starts.size()));
    for (unsigned i = 0; i < aOrders.starts.size(); ++i) {
      Encode(aOrders.starts[i], starts[i]);
    }
  }
  EncodeKeys(aOrders.stops,
             [&](unsigned aSize) { return aBuilder.initStops(aSize); });
  EncodeKeys(aOrders.checks,
             [&](unsigned aSize) { return aBuilder.initChecks(aSize); });
  aBuilder.setReportPeriodMs(aOrders.reportPeriodMs);
  aBuilder.setConfirmedAtMs(aOrders.confirmedAtMs);
  if (aOrders.evacuation) {
    Encode(*aOrders.evacuation, aBuilder.initEvacuation());
  }
}

tl::expected<DispatchOrders, ProtocolError>
DecodeDispatchOrders(wire::DispatchOrders::Reader aReader)
{
  DispatchOrders orders;
  for (auto batch : aReader.getStarts()) {
    orders.starts.push_back(Decode(batch));
  }
  orders.stops = DecodeKeys(aReader.getStops());
  orders.checks = DecodeKeys(aReader.getChecks());
  orders.reportPeriodMs = aReader.getReportPeriodMs();
  orders.confirmedAtMs = aReader.getConfirmedAtMs();
  auto evacuation = DecodeEvacuation(aReader);
  if (!evacuation) {
    return tl::unexpected(evacuation.error());
  }
  orders.evacuation = *std::move(evacuation);
  return orders;
}

void
EncodeServerReport(const ServerReport& aReport,
                   wire::ServerReport::Builder aBuilder)
{
  if (aReport.description) {
    Encode(*aReport.description, aBuilder.initDescription());
  }
  aBuilder.setSentAtMs(aReport.sentAtMs);
  aBuilder.setIsReleased(aReport.isReleased);
  aBuilder.setCondition(static_cast<std::uint8_t>(aReport.condition));
  Encode(aReport.usedByOthers, aBuilder.initUsedByOthers());
  if (!aReport.ends.empty()) {
    auto ends = aBuilder.initEnds(static_cast<unsigned>(aReport.ends.size()));
    for (unsigned i = 0; i < aReport.ends.size(); ++i) {
      const RunEnd& end = aReport.ends[i];
      Encode(end.run, ends[i].initRun());
      ends[i].setKind(static_cast<std::uint8_t>(end.kind));
      ends[i].setRunTimeMs(end.runTimeMs);
    }
  }
  if (!aReport.forecasts.empty()) {
    auto forecasts =
      aBuilder.initForecasts(static_cast<unsigned>(aReport.forecasts.size()));
    for (unsigned i = 0; i < aReport.forecasts.size(); ++i) {
      Encode(aReport.forecasts[i].run, forecasts[i].initRun());
      forecasts[i].setRunTimeMs(aReport.forecasts[i].runTimeMs);
    }
  }
  if (!aReport.uncertainStarts.empty()) {
    auto starts = aBuilder.initUncertainStarts(
      static_cast<unsigned>(aReport.uncertainStarts.size()));
    for (unsigned i = 0; i < aReport.uncertainStarts.size(); ++i) {
      Encode(aReport.uncertainStarts[i].run, starts[i].initRun());
      starts[i].setIsFinal(aReport.uncertainStarts[i].isFinal);
    }
  }
  if (!aReport.crashes.empty()) {
    auto crashes =
      aBuilder.initCrashes(static_cast<unsigned>(aReport.crashes.size()));
    for (unsigned i = 0; i < aReport.crashes.size(); ++i) {
      Encode(aReport.crashes[i], crashes[i]);
    }
  }
  if (aReport.evacuation) {
    Encode(*aReport.evacuation, aBuilder.initEvacuation());
  }
  if (aReport.holds) {
    Encode(*aReport.holds, aBuilder.initHolds());
  }
}

tl::expected<ServerReport, ProtocolError>
DecodeServerReport(wire::ServerReport::Reader aReader)
{
  ServerReport report;
  if (aReader.hasDescription()) {
    report.description = Decode(aReader.getDescription());
  }
  if (aReader.getCondition() >
      static_cast<std::uint8_t>(ServerCondition::eUnreliable)) {
    return tl::unexpected(ProtocolError{ "condition", "is not known" });
  }
  report.condition = static_cast<ServerCondition>(aReader.getCondition());
  report.usedByOthers = Decode(aReader.getUsedByOthers());
  report.sentAtMs = aReader.getSentAtMs();
  report.isReleased = aReader.getIsReleased();
  auto evacuation = DecodeEvacuation(aReader);
  if (!evacuation) {
    return tl::unexpected(evacuation.error());
  }
  report.evacuation = *std::move(evacuation);
  for (auto end : aReader.getEnds()) {
    if (end.getKind() > static_cast<std::uint8_t>(RunEndKind::eUnanswered)) {
      return tl::unexpected(ProtocolError{ "ends", "kind is not known" });
    }
    report.ends.push_back({ Decode(end.getRun()),
                            static_cast<RunEndKind>(end.getKind()),
                            end.getRunTimeMs() });
  }
  for (auto forecast : aReader.getForecasts()) {
    report.forecasts.push_back(
      { Decode(forecast.getRun()), forecast.getRunTimeMs() });
  }
  for (auto start : aReader.getUncertainStarts()) {
    report.uncertainStarts.push_back(
      { Decode(start.getRun()), start.getIsFinal() });
  }
  if (aReader.getCrashes().size() > kMaxCrashes) {
    return tl::unexpected(ProtocolError{ "crashes", "too many" });
  }
  for (auto reader : aReader.getCrashes()) {
    auto crash = Decode(reader);
    if (!crash) {
      return tl::unexpected(crash.error());
    }
    report.crashes.push_back(*std::move(crash));
  }
  if (aReader.hasHolds()) {
    auto holds = Decode(aReader.getHolds());
    if (!holds) {
      return tl::unexpected(holds.error());
    }
    report.holds = *std::move(holds);
  }
  return report;
}

void
EncodeEntryNews(const EntryNews& aNews, wire::EntryNews::Builder aBuilder)
{
  auto crashes =
    aBuilder.initCrashes(static_cast<unsigned>(aNews.crashes.size()));
  for (unsigned i = 0; i < aNews.crashes.size(); ++i) {
    auto agent = crashes[i].initAgent();
    agent.setHigh(aNews.crashes[i].agent.high);
    agent.setLow(aNews.crashes[i].agent.low);
    Encode(aNews.crashes[i].crash, crashes[i].initCrash());
  }
  auto jobs = aBuilder.initCancelledJobs(
    static_cast<unsigned>(aNews.cancelledJobs.size()));
  for (unsigned i = 0; i < aNews.cancelledJobs.size(); ++i) {
    EncodeJobId(aNews.cancelledJobs[i].job, jobs[i]);
    jobs[i].setAgeMs(aNews.cancelledJobs[i].ageMs);
  }
  if (aNews.evacuation) {
    Encode(*aNews.evacuation, aBuilder.initEvacuation());
  }
  aBuilder.setConfirmNumber(aNews.confirmNumber);
  aBuilder.setConfirmedNumber(aNews.confirmedNumber);
  if (aNews.catchUpRequest) {
    auto request = aBuilder.initCatchUpRequest();
    request.setNumber(aNews.catchUpRequest->number);
    request.setAfter(aNews.catchUpRequest->after);
    request.setOwnOnly(aNews.catchUpRequest->ownOnly);
  }
  if (aNews.catchUpPage) {
    auto page = aBuilder.initCatchUpPage();
    page.setNumber(aNews.catchUpPage->number);
    page.setLast(aNews.catchUpPage->last);
    page.setHasMore(aNews.catchUpPage->hasMore);
    page.setIsComplete(aNews.catchUpPage->isComplete);
  }
  auto holds = aBuilder.initHolds(static_cast<unsigned>(aNews.holds.size()));
  for (unsigned i = 0; i < aNews.holds.size(); ++i) {
    auto reporter = holds[i].initReporter();
    reporter.setHigh(aNews.holds[i].reporter.high);
    reporter.setLow(aNews.holds[i].reporter.low);
    Encode(aNews.holds[i].holds, holds[i].initHolds());
  }
}

tl::expected<EntryNews, ProtocolError>
DecodeEntryNews(wire::EntryNews::Reader aReader)
{
  if (aReader.getCrashes().size() > kMaxNewsItems) {
    return tl::unexpected(ProtocolError{ "crashes", "too many" });
  }
  if (aReader.getCancelledJobs().size() > kMaxNewsItems) {
    return tl::unexpected(ProtocolError{ "cancelledJobs", "too many" });
  }
  if (aReader.getHolds().size() > kMaxNewsItems) {
    return tl::unexpected(ProtocolError{ "holds", "too many" });
  }
  EntryNews news;
  auto evacuation = DecodeEvacuation(aReader);
  if (!evacuation) {
    return tl::unexpected(evacuation.error());
  }
  news.evacuation = *std::move(evacuation);
  for (auto job : aReader.getCancelledJobs()) {
    news.cancelledJobs.push_back({ DecodeJobId(job), job.getAgeMs() });
  }
  news.confirmNumber = aReader.getConfirmNumber();
  news.confirmedNumber = aReader.getConfirmedNumber();
  if (aReader.hasCatchUpRequest()) {
    auto request = aReader.getCatchUpRequest();
    news.catchUpRequest = { request.getNumber(),
                            request.getAfter(),
                            request.getOwnOnly() };
  }
  if (aReader.hasCatchUpPage()) {
    auto page = aReader.getCatchUpPage();
    news.catchUpPage = {
      page.getNumber(), page.getLast(), page.getHasMore(), page.getIsComplete()
    };
  }
  for (auto item : aReader.getCrashes()) {
    auto crash = Decode(item.getCrash());
    if (!crash) {
      return tl::unexpected(crash.error());
    }
    auto agent = item.getAgent();
    news.crashes.push_back(
      { { agent.getHigh(), agent.getLow() }, *std::move(crash) });
  }
  for (auto item : aReader.getHolds()) {
    auto holds = Decode(item.getHolds());
    if (!holds) {
      return tl::unexpected(holds.error());
    }
    auto reporter = item.getReporter();
    news.holds.push_back(
      { { reporter.getHigh(), reporter.getLow() }, *std::move(holds) });
  }
  return news;
}

}
