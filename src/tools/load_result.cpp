#include "tools/load_result.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace greengage::tools {

namespace json = boost::json;

namespace {

using std::chrono::microseconds;

std::string
ReadText(const json::object& aObject, const char* aField)
{
  const json::value* value = aObject.if_contains(aField);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

double
ToMilliseconds(microseconds aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

/** Computes the mean and the percentiles (nearest rank) in ms. */
json::object
Summarise(std::vector<microseconds> aTimes)
{
  json::object summary;
  summary["count"] = aTimes.size();
  if (aTimes.empty()) {
    return summary;
  }
  std::sort(aTimes.begin(), aTimes.end());
  double sum = 0;
  for (microseconds time : aTimes) {
    sum += ToMilliseconds(time);
  }
  summary["mean_ms"] = sum / static_cast<double>(aTimes.size());
  const std::pair<const char*, double> percentiles[] = {
    { "p50_ms", 0.50 }, { "p90_ms", 0.90 }, { "p99_ms", 0.99 }, { "max_ms", 1 }
  };
  for (const auto& [name, share] : percentiles) {
    auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(aTimes.size())));
    summary[name] = ToMilliseconds(aTimes[std::max<std::size_t>(rank, 1) - 1]);
  }
  return summary;
}

/** Summarises one organisation, or all if the name is empty. */
json::object
SummariseOrganisation(const LoadResult& aResult,
                      const std::vector<microseconds>& aIdeal,
                      const std::string& aOrganisation)
{
  std::vector<microseconds> latencies;
  std::vector<microseconds> ideals;
  std::map<std::string, std::size_t> codes;
  std::map<std::string, std::size_t> runs;
  std::size_t offered = 0;
  std::size_t completed = 0;
  for (std::size_t i = 0; i < aResult.plan.size(); ++i) {
    const PlannedJob& job = aResult.plan[i];
    if (!aOrganisation.empty() && job.organisation != aOrganisation) {
      continue;
    }
    const JobReply& reply = aResult.replies[i].first;
    offered += job.runTimes.size();
    ++codes[reply.code];
    ++runs[reply.run];
    if (reply.complete) {
      completed += job.runTimes.size();
      latencies.push_back(reply.latency);
      ideals.push_back(aIdeal[i]);
    }
  }
  json::object figures;
  figures["offered_tasks"] = offered;
  figures["completed_tasks"] = completed;
  figures["kept_share"] = offered == 0 ? 0.0
                                       : static_cast<double>(completed) /
                                           static_cast<double>(offered);
  figures["latency"] = Summarise(latencies);
  // Covers the same jobs as `latency`, so that the two can be compared.
  figures["ideal"] = Summarise(ideals);
  json::object codesJson;
  for (const auto& [code, count] : codes) {
    codesJson[code] = count;
  }
  json::object runsJson;
  for (const auto& [run, count] : runs) {
    runsJson[run] = count;
  }
  figures["codes"] = std::move(codesJson);
  figures["runs"] = std::move(runsJson);
  return figures;
}

json::object
SummariseWaste(const CounterSums& aCounters)
{
  auto value = [&](const char* aName) {
    auto found = aCounters.find(aName);
    return found == aCounters.end() ? 0.0 : found->second;
  };
  double started = value("greengage_tasks_started_total");
  double refused = value("greengage_starts_refused_total");
  double late = value("greengage_late_answers_total");
  json::object waste;
  waste["tasks_started"] = started;
  waste["starts_refused"] = refused;
  waste["late_answers"] = late;
  waste["wasted_per_task_started"] =
    started == 0 ? 0.0 : (refused + late) / started;
  return waste;
}

std::string
CheckReply(const PlannedJob& aJob, const JobReply& aReply)
{
  if (aReply.code == "malformed") {
    return "an answer is malformed: " + aReply.body;
  }
  std::size_t expected = aReply.complete ? aJob.runTimes.size() : 0;
  if (aReply.results != expected) {
    return fmt::format("an answer ({}) has {} results, the job has {} tasks",
                       aReply.code,
                       aReply.results,
                       aJob.runTimes.size());
  }
  return "";
}

}

JobReply
ParseJobReply(const std::string& aBody, microseconds aLatency)
{
  JobReply reply;
  reply.answered = true;
  reply.latency = aLatency;
  reply.code = "malformed";
  reply.body = aBody;
  json::error_code error;
  json::value value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return reply;
  }
  const json::object& object = value.get_object();
  if (const json::value* results = object.if_contains("results")) {
    reply.results = results->is_array() ? results->get_array().size() : 0;
  }
  std::string status = ReadText(object, "status");
  reply.complete = status == "complete";
  if (reply.complete) {
    reply.code = "none";
    reply.run = "ran";
  } else if (status == "failed") {
    reply.code = ReadText(object, "code");
    reply.run = ReadText(object, "run");
  }
  return reply;
}

void
AddCounters(const std::string& aText, CounterSums& aSums)
{
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    std::size_t space = line.rfind(' ');
    if (line.starts_with('#') || space == std::string::npos) {
      continue;
    }
    std::string family = line.substr(0, line.find_first_of("{ "));
    if (family.ends_with("_total")) {
      aSums[family] += std::strtod(line.c_str() + space, nullptr);
    }
  }
}

std::vector<std::string>
FindViolations(const LoadResult& aResult)
{
  std::vector<std::string> violations;
  for (std::size_t i = 0; i < aResult.plan.size(); ++i) {
    const JobReplies& replies = aResult.replies[i];
    for (const JobReply* reply : { &replies.first, &replies.second }) {
      std::string violation = CheckReply(aResult.plan[i], *reply);
      if (!violation.empty()) {
        violations.push_back(std::move(violation));
      }
    }
    if (replies.first.complete && replies.second.complete &&
        replies.first.body != replies.second.body) {
      violations.push_back("two answers to one job differ: " +
                           replies.first.body + " / " + replies.second.body);
    }
  }
  return violations;
}

std::string
EncodeLoadResult(const LoadResult& aResult)
{
  auto ideal = IdealResponseTimes(aResult.plan, aResult.servers);
  json::object body;
  body["label"] = aResult.label;
  body["duration_ms"] = aResult.duration.count();
  body["jobs"] = aResult.plan.size();
  body["resubmitted"] =
    std::count_if(aResult.replies.begin(),
                  aResult.replies.end(),
                  [](const auto& aReplies) { return aReplies.resubmitted; });
  body["all"] = SummariseOrganisation(aResult, ideal, "");
  std::map<std::string, bool> names;
  for (const PlannedJob& job : aResult.plan) {
    names[job.organisation] = true;
  }
  json::object organisations;
  for (const auto& [name, used] : names) {
    organisations[name] = SummariseOrganisation(aResult, ideal, name);
  }
  body["organisations"] = std::move(organisations);
  if (!aResult.counters.empty()) {
    body["messages"] = SummariseWaste(aResult.counters);
  }
  json::array violations;
  for (const std::string& violation : FindViolations(aResult)) {
    violations.push_back(json::value(violation));
  }
  body["violations"] = std::move(violations);
  return json::serialize(body) + "\n";
}

}
