#include "transport/connection_limits.h"

#include <algorithm>

namespace greengage::transport {

namespace {

/**
 * Share of the host's memory for what a process keeps for its clients. The rest
 * is for the configuration, other processes' messages, memory that is free but
 * fragmented, and socket buffers that are not read yet.
 */
constexpr std::size_t kMemoryDivisor = 4;
/** The smallest budget that holds a body of the largest size with its buffers.
 */
constexpr std::size_t kMinProcessBytes = 4 * 1024 * 1024;

/** Descriptors for files, listeners and connections that the process opens. */
constexpr std::size_t kReservedDescriptors = 200;
constexpr std::size_t kMinConnections = 32;
/** Callers get three quarters; the rest is for the other listeners. */
constexpr std::size_t kCallerShare = 24;
constexpr std::size_t kPeerShare = 4;
constexpr std::size_t kServiceShare = 2;
constexpr std::size_t kAllShares = 32;

}

ConnectionLimits
LimitsOfHost(std::size_t aMemoryBytes, std::size_t aDescriptors)
{
  ConnectionLimits limits;
  if (aMemoryBytes > 0) {
    limits.processBytes =
      std::max(aMemoryBytes / kMemoryDivisor, kMinProcessBytes);
  }
  if (aDescriptors > 0) {
    std::size_t connections =
      std::max(aDescriptors, kReservedDescriptors + kMinConnections) -
      kReservedDescriptors;
    limits.callerConnections = connections * kCallerShare / kAllShares;
    limits.peerConnections = connections * kPeerShare / kAllShares;
    limits.serviceConnections = connections * kServiceShare / kAllShares;
  }
  return limits;
}

}
