#include "daemon/entry_process.h"
#include "daemon/run_daemon.h"

int
main(int aCount, char** aArguments)
{
  using namespace greengage::daemon;
  SignalWait signals;
  return RunDaemon<EntryProcess>(signals,
                                 ParseEntrySettings(aCount, aArguments));
}
