#include "daemon/process_identity.h"

#include <random>

namespace greengage::daemon {

namespace {

std::uint64_t
RandomWord()
{
  thread_local std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}

state::ProcessId
CreateProcessId()
{
  return { RandomWord(), RandomWord() };
}

state::JobId
CreateJobId(state::WallTime aNow)
{
  return state::JobId::Create(aNow, RandomWord(), RandomWord());
}

}
