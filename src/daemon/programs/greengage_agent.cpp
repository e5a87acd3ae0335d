#include "daemon/agent_process.h"
#include "daemon/run_daemon.h"

int
main(int aCount, char** aArguments)
{
  using namespace greengage::daemon;
  return RunDaemon<AgentProcess>(ParseAgentSettings(aCount, aArguments));
}
