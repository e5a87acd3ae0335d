#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>

#include "daemon/process_identity.h"
#include "tools/greengagectl.h"
#include "transport/endpoint.h"
#include "transport/system_clock.h"

namespace {

using namespace greengage;

void
Write(std::FILE* aFile, std::string_view aText)
{
  std::fwrite(aText.data(), 1, aText.size(), aFile);
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return std::nullopt;
  }
  return content.str();
}

transport::HttpClient::Result
Send(transport::TrafficPool& aTraffic,
     const std::string& aEntry,
     const transport::HttpRequest& aRequest,
     std::chrono::milliseconds aTimeout)
{
  transport::HttpClient client(aTraffic, *transport::ParseEndpoint(aEntry));
  std::promise<transport::HttpClient::Result> answer;
  client.Send(aRequest, aTimeout, [&](transport::HttpClient::Result aResult) {
    answer.set_value(std::move(aResult));
  });
  return answer.get_future().get();
}

}

int
main(int aCount, char** aArguments)
{
  transport::TrafficPool traffic(1);
  traffic.Start();
  tools::ControlCommandHooks hooks;
  hooks.send = [&](const std::string& aEntry,
                   const transport::HttpRequest& aRequest,
                   std::chrono::milliseconds aTimeout) {
    return Send(traffic, aEntry, aRequest, aTimeout);
  };
  hooks.print = [](std::string_view aText) { Write(stdout, aText); };
  hooks.printError = [](std::string_view aText) { Write(stderr, aText); };
  hooks.createJobId = [] {
    return daemon::CreateJobId(transport::SystemClock().WallNow());
  };
  hooks.readFile = ReadFile;
  int exitCode = tools::RunGreengagectl(aCount, aArguments, hooks);
  traffic.Stop();
  return exitCode;
}
