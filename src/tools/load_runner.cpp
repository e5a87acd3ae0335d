#include "tools/load_runner.h"

#include <cstdio>
#include <future>

#include <fmt/format.h>

#include "transport/endpoint.h"

namespace greengage::tools {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using transport::HttpClient;

namespace {

constexpr unsigned kTrafficThreads = 2;
constexpr milliseconds kResubmitDelay{ 20 };
// The entries answer at most 3 s after the deadline.
constexpr milliseconds kAnswerGrace{ 5000 };
constexpr milliseconds kMetricsTimeout{ 2000 };

std::string
EncodeJob(const PlannedJob& aJob,
          const state::JobId& aId,
          milliseconds aDeadline)
{
  std::string body = fmt::format(
    "{{\"organisation\":\"{}\",\"template\":\"{}\",\"job_id\":\"{}\","
    "\"deadline_ms\":{},\"urgency\":{},\"tasks\":[",
    aJob.organisation,
    aJob.templateName,
    aId.ToString(),
    aDeadline.count(),
    aJob.urgency);
  for (std::size_t i = 0; i < aJob.runTimes.size(); ++i) {
    fmt::format_to(std::back_inserter(body),
                   "{}{{\"run_time_ms\":{}}}",
                   i == 0 ? "" : ",",
                   aJob.runTimes[i].count());
  }
  return body + "]}";
}

}

LoadRunner::LoadRunner(const LoadSettings& aSettings,
                       const LoadTargets& aTargets)
  : settings_(aSettings)
  , targets_(aTargets)
  , traffic_(kTrafficThreads)
  , random_(std::random_device{}())
{
  for (const std::string& entry : aTargets.entries) {
    clients_.push_back(
      std::make_unique<HttpClient>(traffic_, *transport::ParseEndpoint(entry)));
  }
}

LoadRunner::~LoadRunner()
{
  control_.Stop();
  traffic_.Stop();
}

LoadResult
LoadRunner::Run()
{
  traffic_.Start();
  result_.plan = MakeLoadPlan(settings_);
  result_.replies.resize(result_.plan.size());
  result_.duration = settings_.duration;
  ids_.resize(result_.plan.size());
  CounterSums before = ReadCounters();
  start_ = std::chrono::steady_clock::now();
  for (std::size_t job = 0; job < result_.plan.size(); ++job) {
    expectedAnswers_ += result_.plan[job].resubmit ? 2 : 1;
    control_.After(
      std::chrono::duration_cast<milliseconds>(result_.plan[job].at),
      [this, job] { Submit(job); });
  }
  isDone_ = expectedAnswers_ == 0;
  control_.Every(milliseconds(1000), [this] { ShowProgress(); });
  control_.Start();
  {
    std::unique_lock lock(mutex_);
    finished_.wait(lock, [this] { return isDone_; });
  }
  control_.Stop();
  result_.counters = ReadCounters();
  for (auto& [name, value] : result_.counters) {
    value -= before[name];
  }
  return result_;
}

void
LoadRunner::Submit(std::size_t aJob)
{
  ids_[aJob] = state::JobId::Create(
    std::chrono::system_clock::now(), random_(), random_());
  std::size_t entry = aJob % clients_.size();
  Send(aJob, entry, false);
  if (result_.plan[aJob].resubmit) {
    result_.replies[aJob].resubmitted = true;
    std::size_t other = (entry + 1) % clients_.size();
    control_.After(kResubmitDelay,
                   [this, aJob, other] { Send(aJob, other, true); });
  }
}

void
LoadRunner::Send(std::size_t aJob, std::size_t aEntry, bool aIsResubmission)
{
  ++sent_;
  // Measured from the planned time, so that a delayed sender does not hide
  // waiting time.
  auto since = aIsResubmission ? std::chrono::steady_clock::now()
                               : start_ + result_.plan[aJob].at;
  clients_[aEntry]->Send(
    { "POST",
      "/v1/jobs",
      EncodeJob(result_.plan[aJob], ids_[aJob], settings_.deadline) },
    settings_.deadline + kAnswerGrace,
    [this, aJob, aIsResubmission, since](HttpClient::Result aResult) {
      auto latency = std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now() - since);
      JobReply reply;
      if (aResult) {
        reply = ParseJobReply(aResult->body, latency);
      }
      control_.Post([this, aJob, aIsResubmission, reply = std::move(reply)] {
        OnReply(aJob, aIsResubmission, reply);
      });
    });
}

void
LoadRunner::OnReply(std::size_t aJob, bool aIsResubmission, JobReply aReply)
{
  JobReplies& replies = result_.replies[aJob];
  (aIsResubmission ? replies.second : replies.first) = std::move(aReply);
  if (++answered_ == expectedAnswers_) {
    std::lock_guard lock(mutex_);
    isDone_ = true;
    finished_.notify_all();
  }
}

void
LoadRunner::ShowProgress()
{
  auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(
    std::chrono::steady_clock::now() - start_);
  fmt::print(stderr,
             "{} s: {} of {} submissions sent, {} answered\n",
             elapsed.count(),
             sent_,
             expectedAnswers_,
             answered_);
}

CounterSums
LoadRunner::ReadCounters()
{
  CounterSums sums;
  for (const std::string& address : targets_.metrics) {
    std::string text = Get(address, "/metrics");
    if (text.empty()) {
      fmt::print(stderr, "cannot read the metrics of {}\n", address);
    }
    AddCounters(text, sums);
  }
  return sums;
}

std::string
LoadRunner::Get(const std::string& aAddress, const std::string& aTarget)
{
  HttpClient client(traffic_, *transport::ParseEndpoint(aAddress));
  std::promise<std::string> body;
  client.Send({ "GET", aTarget, "" },
              kMetricsTimeout,
              [&body](HttpClient::Result aResult) {
                body.set_value(aResult && aResult->status == 200 ? aResult->body
                                                                 : "");
              });
  return body.get_future().get();
}

}
