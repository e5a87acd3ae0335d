#include "hostile/hostile_fleet.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/format.h>

namespace greengage::testing_support {

using namespace std::chrono_literals;

namespace {

constexpr auto kAnswerTimeout = 15s;
/** Time after which callers of the platform send a request again. */
constexpr auto kResendDelay = 1300ms;

std::string
Address(unsigned aPort)
{
  return fmt::format("127.0.0.1:{}", aPort);
}

template<class Request>
bool
Repeat(Request aRequest)
{
  auto deadline = std::chrono::steady_clock::now() + kAnswerTimeout;
  while (!aRequest()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kResendDelay);
  }
  return true;
}

std::size_t
NumberOf(const std::string& aLine)
{
  return std::stoul(aLine.substr(aLine.find_first_of("0123456789")));
}

}

ProcessUse
MeasureProcess(const ChildProcess& aProcess)
{
  ProcessUse use;
  std::string folder = fmt::format("/proc/{}", aProcess.Pid());
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      use.residentKb = NumberOf(line);
    } else if (line.starts_with("VmHWM:")) {
      use.peakKb = NumberOf(line);
    }
  }
  std::error_code ignored;
  for (std::filesystem::directory_iterator file(folder + "/fd", ignored), end;
       !ignored && file != end;
       file.increment(ignored)) {
    ++use.descriptors;
  }
  return use;
}

HostileFleet::HostileFleet(HostileFleetLimits aLimits)
  : limits_(aLimits)
{
  // Programs of earlier versions ignore the variable.
  ::setenv("GREENGAGE_CONNECTION_MEMORY_KB",
           std::to_string(limits_.clientMemoryKb).c_str(),
           1);
  traffic_.Start();
  store_.Publish(
    R"({"version":3,"routes":[{"name":"q","host":"","pathPrefix":"/p/",
        "timeoutMs":5000,"targetRuntimeMs":2000,"priority":0,
        "service":"portal","maxAttempts":2,"stretch":1.6}],
        "limits":{"maxBodyBytes":262144}})");
}

HostileFleet::~HostileFleet()
{
  entry_.reset();
  agent_.reset();
  traffic_.Stop();
  for (const std::string& path : files_) {
    std::remove(path.c_str());
  }
  ::unsetenv("GREENGAGE_CONNECTION_MEMORY_KB");
}

bool
HostileFleet::Start()
{
  entry_ = StartProgram(
    "greengage-platform-entry",
    WriteSettings(fmt::format(R"("front":"{}","readyAddr":"{}","control":"{}")",
                              Address(callerPort_),
                              Address(readyPort_),
                              Address(entryPeerPort_)),
                  ""),
    entryMetricsPort_);
  agent_ = StartProgram(
    "greengage-platform-agent",
    WriteSettings(fmt::format(R"("control":"{}")", Address(agentControlPort_)),
                  serverAddress_),
    agentMetricsPort_);
  for (int i = 0; i < 300; ++i) {
    server_.Announce(Address(agentControlPort_), false);
    if (CallHttp(Address(readyPort_), "GET", "/-/ready", "", 1s).status ==
        200) {
      return CompletesAJob();
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

unsigned
HostileFleet::Port(Listener aListener) const
{
  switch (aListener) {
    case Listener::eCallers:
      return callerPort_;
    case Listener::eReadiness:
      return readyPort_;
    case Listener::eEntryMetrics:
      return entryMetricsPort_;
    case Listener::eEntryPeers:
      return entryPeerPort_;
    case Listener::eAgentControl:
      return agentControlPort_;
    case Listener::eAgentMetrics:
      return agentMetricsPort_;
    case Listener::eAgentPeers:
      break;
  }
  return agentPeerPort_;
}

ChildProcess&
HostileFleet::Process(Listener aListener)
{
  bool isAgent = aListener == Listener::eAgentControl ||
                 aListener == Listener::eAgentMetrics ||
                 aListener == Listener::eAgentPeers;
  return isAgent ? *agent_ : *entry_;
}

bool
HostileFleet::AnswersAt(Listener aListener)
{
  std::string address = Address(Port(aListener));
  auto get = [&](const char* aTarget) {
    return Repeat(
      [&] { return CallHttp(address, "GET", aTarget, "", 5s).status == 200; });
  };
  switch (aListener) {
    case Listener::eReadiness:
      return get("/-/ready");
    case Listener::eEntryMetrics:
    case Listener::eAgentMetrics:
      return get("/metrics");
    case Listener::eAgentControl:
      return Repeat([&] { return server_.Announce(address, false); });
    case Listener::eCallers:
    case Listener::eEntryPeers:
    case Listener::eAgentPeers:
      break;
  }
  return CompletesAJob();
}

bool
HostileFleet::CompletesAJob()
{
  return Repeat([this] { return SubmitJob() == 200; });
}

int
HostileFleet::SubmitJob(std::size_t aBodyBytes)
{
  server_.Announce(Address(agentControlPort_), false);
  std::string body =
    R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"cpu":1000,
        "memMb":64,"estimateMs":60}]})";
  body.resize(std::max(body.size(), aBodyBytes), ' ');
  return CallHttp(Address(callerPort_),
                  "POST",
                  fmt::format("/p/{:016x}", ++lastJob_),
                  body,
                  5s)
    .status;
}

std::string
HostileFleet::Output() const
{
  return "entry:\n" + entry_->Output() + "agent:\n" + agent_->Output();
}

std::string
HostileFleet::WriteSettings(const std::string& aListen,
                            const std::string& aServer)
{
  std::string path =
    fmt::format("/tmp/greengage_hostile_{}_{}.json", ::getpid(), files_.size());
  files_.push_back(path);
  std::ofstream(path) << fmt::format(
    R"({{"zone":"bole","ip":"127.0.0.1","listen":{{{}}},
        "internalPortRange":[{},{}],"seeds":["{}"],
        "limits":{{"memoryMb":{},"maxFds":{}}},
        "bounds":{{"maxHoldMs":1000,"farFactor":1.5}},"app":"{}",
        "platform":{{"address":"{}"}}}})",
    aListen,
    agentPeerPort_,
    agentPeerPort_,
    Address(entryPeerPort_),
    limits_.hostMemoryMb,
    limits_.maxDescriptors,
    aServer,
    storeAddress_);
  return path;
}

std::unique_ptr<ChildProcess>
HostileFleet::StartProgram(const std::string& aName,
                           const std::string& aSettings,
                           unsigned aMetricsPort)
{
  return std::make_unique<ChildProcess>(
    aName,
    std::vector<std::string>{ "--settings",
                              aSettings,
                              "--metrics-port",
                              std::to_string(aMetricsPort) });
}

}
