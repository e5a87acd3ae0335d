#include "protocol/dispatch_codec.h"

#include "protocol/dispatch_value_codec.h"

namespace greengage::protocol {

using namespace coordination;
using state::DispatchJobId;
using state::RunKey;
using state::TaskKey;

namespace {

/** Maximum number of crashes in a report; an agent retains fewer. */
constexpr unsigned kMaxCrashes = 64;
constexpr unsigned kMaxNewsItems = 1024;

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
