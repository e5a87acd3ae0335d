#include "soak/soak_fleet.h"

#include <csignal>
#include <fstream>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <fmt/format.h>

namespace greengage::testing_support {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr unsigned kEntries = 2;
constexpr unsigned kServers = 3;
constexpr unsigned kCallers = 6;
constexpr double kWorkMs = 60;
/** Deadline of the users' callers and their delay before a retry. */
constexpr unsigned kDeadlineMs = 1500;
constexpr std::chrono::milliseconds kRetryDelay{ 1300 };
constexpr unsigned kAttempts = 3;
/** The first server is in a data centre of its own. */
constexpr const char* kDataCentre = "bole";
constexpr const char* kEvacuatedDataCentre = "mulu";
/**
 * Bound on the time from the acknowledgement of an evacuation until it is in
 * force, and the longest extension for outages of the store.
 */
constexpr std::chrono::milliseconds kEvacuationTime{ 5000 };
constexpr std::chrono::milliseconds kMaxEvacuationStretch{ 6000 };
/** The platform sends SIGKILL 6 s after its stop signal. */
constexpr std::chrono::milliseconds kStopTimeout{ 6000 };

std::string
Configuration(unsigned aVersion)
{
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"q","host":"","pathPrefix":"/p/",
        "timeoutMs":5000,"targetRuntimeMs":600,"priority":0,"service":"portal",
        "maxAttempts":2,"stretch":1.6}}]}})",
    aVersion);
}

std::string
Address(unsigned aPort)
{
  return fmt::format("127.0.0.1:{}", aPort);
}

unsigned
RandomBelow(std::mt19937_64& aRandom, unsigned aBelow)
{
  return static_cast<unsigned>(aRandom() % aBelow);
}

}

SoakFleet::SoakFleet(std::uint64_t aSeed)
  : seed_(aSeed)
  , nextJob_((static_cast<std::uint64_t>(::getpid()) << 32) + 1)
{
  traffic_.Start();
  store_.Publish(Configuration(configurationVersion_));
  std::string store = store_.Start();
  for (unsigned i = 0; i < kEntries; ++i) {
    controlPorts_.push_back(ReservePort());
  }
  for (unsigned i = 0; i < kEntries; ++i) {
    proxies_.push_back(std::make_unique<LoopbackProxy>(traffic_, store));
    unsigned callerPort = ReservePort();
    std::string listen =
      fmt::format(R"("front":"{}","readyAddr":"{}","control":"{}")",
                  Address(callerPort),
                  Address(ReservePort()),
                  Address(controlPorts_[i]));
    std::string path =
      WriteSettings(kDataCentre, listen, "", proxies_.back()->Start());
    proxies_.push_back(
      std::make_unique<LoopbackProxy>(traffic_, Address(callerPort)));
    callerAddresses_.push_back(proxies_.back()->Start());
    processes_.push_back(std::make_unique<ManagedProcess>(
      ManagedProcess{ "greengage-platform-entry", path, nullptr, {} }));
  }
  for (unsigned i = 0; i < kServers; ++i) {
    FakeServerOptions options;
    options.workMs = kWorkMs;
    options.startedAt = 1000 * (i + 1);
    options.runStarted = [this, i](const state::RunKey& aRun) {
      checker_.OnRunStarted(i, aRun);
    };
    options.runEnded = [this, i](const state::RunKey& aRun,
                                 coordination::RunEndKind aKind) {
      checker_.OnRunEnded(i, aRun, aKind);
    };
    options.startOrdered = [this](const std::string& aTask,
                                  const std::string& aSpec) {
      checker_.OnStartOrdered(aTask, aSpec);
      // Expired leases on other servers must not be counted as running runs.
      AdvanceServers();
    };
    servers_.push_back(
      std::make_unique<FakeServerProcess>(traffic_, std::move(options)));
    proxies_.push_back(
      std::make_unique<LoopbackProxy>(traffic_, servers_.back()->Start()));
    announceAddresses_.push_back(Address(ReservePort()));
    std::string path =
      WriteSettings(i == 0 ? kEvacuatedDataCentre : kDataCentre,
                    fmt::format(R"("control":"{}")", announceAddresses_.back()),
                    proxies_.back()->Start(),
                    store);
    processes_.push_back(std::make_unique<ManagedProcess>(
      ManagedProcess{ "greengage-platform-agent", path, nullptr, {} }));
  }
  for (auto& managed : processes_) {
    StartProcess(*managed);
  }
  for (unsigned i = 0; i < kServers; ++i) {
    announcers_.emplace_back([this, i] { AnnounceRepeatedly(i); });
  }
}

SoakFleet::~SoakFleet()
{
  isAnnouncing_ = false;
  for (std::thread& thread : announcers_) {
    thread.join();
  }
  processes_.clear();
  for (auto& proxy : proxies_) {
    proxy->Stop();
  }
  traffic_.Stop();
  for (const std::string& path : files_) {
    std::remove(path.c_str());
  }
}

std::string
SoakFleet::WriteSettings(const std::string& aDataCentre,
                         const std::string& aListen,
                         const std::string& aServer,
                         const std::string& aStore)
{
  std::string path =
    fmt::format("/tmp/greengage_soak_{}_{}.json", ::getpid(), files_.size());
  files_.push_back(path);
  unsigned internalPort = ReservePort();
  std::ofstream(path) << fmt::format(
    R"({{"zone":"{}","ip":"127.0.0.1","listen":{{{}}},
        "internalPortRange":[{},{}],"seeds":["{}","{}"],
        "bounds":{{"maxHoldMs":1000}},"app":"{}",
        "platform":{{"address":"{}"}}}})",
    aDataCentre,
    aListen,
    internalPort,
    internalPort,
    Address(controlPorts_[0]),
    Address(controlPorts_[1]),
    aServer,
    aStore);
  return path;
}

void
SoakFleet::StartProcess(ManagedProcess& aProcess)
{
  if (aProcess.process) {
    aProcess.earlierLogs += aProcess.process->Output();
  }
  aProcess.process = std::make_unique<ChildProcess>(
    aProcess.program,
    std::vector<std::string>{ "--settings", aProcess.settingsPath });
}

void
SoakFleet::AdvanceServers()
{
  for (auto& server : servers_) {
    server->Advance();
  }
}

void
SoakFleet::AnnounceRepeatedly(unsigned aServer)
{
  while (isAnnouncing_) {
    servers_[aServer]->Announce(announceAddresses_[aServer], false);
    AdvanceServers();
    std::this_thread::sleep_for(100ms);
  }
}

int
SoakFleet::Submit(unsigned aEntry,
                  const state::DispatchJobId& aJob,
                  unsigned aTasks)
{
  // U+0000 and characters that JSON escapes must reach the servers too.
  std::string spec = fmt::format("a{}\"{}\n", '\0', aJob.ToString());
  checker_.OnSubmitted(aJob, spec);
  return CallHttp(callerAddresses_[aEntry],
                  "POST",
                  "/p/" + aJob.ToString(),
                  fmt::format(R"({{"spec":{},"bestEffort":true,"steps":[{{
               "count":{},"cpu":1000,"memMb":64,"estimateMs":60}}]}})",
                              boost::json::serialize(boost::json::string(spec)),
                              aTasks),
                  std::chrono::milliseconds(kDeadlineMs),
                  fmt::format("X-Deadline-Ms: {}\r\n", kDeadlineMs))
    .status;
}

state::DispatchJobId
SoakFleet::NextJobId()
{
  // Multiplication by an odd number maps different counts to different IDs.
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15;
  std::uint64_t number = nextJob_++ * kSpread;
  return { number, static_cast<std::uint16_t>(number >> 7) };
}

void
SoakFleet::RunCaller(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (isCalling_) {
    state::DispatchJobId job = NextJobId();
    unsigned tasks = 1 + RandomBelow(random, 4);
    bool rejected = false;
    for (unsigned attempt = 0; attempt < kAttempts; ++attempt) {
      auto sentAt = Clock::now();
      int status = Submit(RandomBelow(random, kEntries), job, tasks);
      if (status == 200) {
        checker_.OnCompleted(job, tasks);
      }
      rejected = attempt == 0 && (status == 429 || status == 503);
      if (status != 0 && status != 502 && status != 504) {
        break;
      }
      // An attempt without an answer is over when its deadline has passed.
      auto attemptEnd = status == 0
                          ? sentAt + std::chrono::milliseconds(kDeadlineMs)
                          : Clock::now();
      std::this_thread::sleep_until(attemptEnd + kRetryDelay);
    }
    if (rejected) {
      checker_.OnRejected(job);
    }
    SleepRandomly(random, 5, 60);
  }
}

unsigned
SoakFleet::ReservePort()
{
  return ports_.emplace_back().Number();
}

void
SoakFleet::SleepRandomly(std::mt19937_64& aRandom,
                         unsigned aFromMs,
                         unsigned aToMs)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds(aFromMs + RandomBelow(aRandom, aToMs - aFromMs)));
}

void
SoakFleet::InjectProcessFaults(ManagedProcess& aProcess, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (isInjectingFaults_) {
    SleepRandomly(random, 300, 2500);
    if (aProcess.process->HasEnded()) {
      checker_.AddViolation(aProcess.program + " exited unexpectedly");
      StartProcess(aProcess);
    }
    switch (RandomBelow(random, 4)) {
      case 0:
        aProcess.process->Signal(SIGSTOP);
        SleepRandomly(random, 100, 1600);
        aProcess.process->Signal(SIGCONT);
        break;
      case 1:
        aProcess.process->Signal(SIGKILL);
        SleepRandomly(random, 50, 600);
        StartProcess(aProcess);
        break;
      case 2:
        aProcess.process->Signal(SIGHUP);
        aProcess.process->Signal(SIGTERM);
        if (RandomBelow(random, 3) == 0) {
          aProcess.process->Signal(SIGSTOP);
          SleepRandomly(random, 50, 400);
          aProcess.process->Signal(SIGCONT);
        }
        if (!aProcess.process->EndsCleanly(kStopTimeout)) {
          checker_.AddViolation(aProcess.program +
                                " did not exit cleanly on SIGTERM");
        }
        StartProcess(aProcess);
        break;
      default:
        aProcess.process->Signal(SIGHUP);
        break;
    }
  }
}

void
SoakFleet::InjectProxyFaults(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (isInjectingFaults_) {
    SleepRandomly(random, 100, 900);
    LoopbackProxy& proxy =
      *proxies_[RandomBelow(random, static_cast<unsigned>(proxies_.size()))];
    switch (RandomBelow(random, 4)) {
      case 0:
        proxy.SetFault(
          { std::chrono::milliseconds(10 + RandomBelow(random, 150)) });
        break;
      case 1:
        proxy.SetFault({ 0ms, true, RandomBelow(random, 2) == 0 });
        break;
      case 2:
        proxy.SetFault({ 0ms, false, true });
        break;
      default:
        proxy.ResetConnections();
        break;
    }
    SleepRandomly(random, 100, 1200);
    proxy.SetFault({});
  }
}

void
SoakFleet::InjectStoreFaults(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (isInjectingFaults_) {
    SleepRandomly(random, 200, 1500);
    store_.Publish(Configuration(++configurationVersion_));
    SleepRandomly(random, 200, 1500);
    store_.SetAvailable(false);
    SleepRandomly(random, 200, 2500);
    store_.SetAvailable(true);
  }
}

void
SoakFleet::AwaitEvacuationBound()
{
  constexpr std::chrono::milliseconds kStep{ 10 };
  auto deadline = Clock::now() + kEvacuationTime;
  auto latest = deadline + kMaxEvacuationStretch;
  while (Clock::now() < std::min(deadline, latest)) {
    std::this_thread::sleep_for(kStep);
    deadline += store_.IsAvailable() ? 0ms : kStep;
  }
}

void
SoakFleet::PlayEvacuations(std::uint64_t aSeed)
{
  const std::string key = std::string("evacuate/") + kEvacuatedDataCentre;
  std::mt19937_64 random(aSeed);
  do {
    store_.Put(key, "{}");
    AwaitEvacuationBound();
    checker_.SetEvacuatedServer(0);
    SleepRandomly(random, 500, 3000);
    checker_.SetEvacuatedServer(std::nullopt);
    store_.Put(key, "");
    SleepRandomly(random, 500, 3000);
  } while (isInjectingFaults_);
}

void
SoakFleet::Run(std::chrono::milliseconds aTime)
{
  std::mt19937_64 random(seed_);
  std::vector<std::thread> callers;
  std::vector<std::thread> faults;
  for (unsigned i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, seed = random()] { RunCaller(seed); });
  }
  for (auto& managed : processes_) {
    faults.emplace_back([this, &managed, seed = random()] {
      InjectProcessFaults(*managed, seed);
    });
  }
  faults.emplace_back([this, seed = random()] { InjectProxyFaults(seed); });
  faults.emplace_back([this, seed = random()] { InjectStoreFaults(seed); });
  faults.emplace_back([this, seed = random()] { PlayEvacuations(seed); });
  std::this_thread::sleep_for(aTime);
  isInjectingFaults_ = false;
  for (std::thread& thread : faults) {
    thread.join();
  }
  isCalling_ = false;
  for (std::thread& thread : callers) {
    thread.join();
  }
}

bool
SoakFleet::AwaitReady(std::chrono::milliseconds aTimeout)
{
  return CompletesJobs(aTimeout);
}

bool
SoakFleet::CompletesJobs(std::chrono::milliseconds aTimeout)
{
  for (unsigned entry = 0; entry < kEntries; ++entry) {
    bool served =
      WaitUntil([&] { return Submit(entry, NextJobId(), 1) == 200; }, aTimeout);
    if (!served) {
      return false;
    }
  }
  return true;
}

bool
SoakFleet::EndsCleanly()
{
  for (auto& managed : processes_) {
    managed->process->Signal(SIGTERM);
  }
  bool clean = true;
  for (auto& managed : processes_) {
    clean = managed->process->EndsCleanly(kStopTimeout) && clean;
  }
  return clean;
}

std::string
SoakFleet::Logs() const
{
  std::string logs;
  for (const auto& managed : processes_) {
    logs += managed->earlierLogs + managed->process->Output();
  }
  return logs;
}

}
