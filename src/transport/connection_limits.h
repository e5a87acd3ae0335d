#pragma once

#include <compare>
#include <cstddef>

namespace greengage::transport {

/** Limits of a process for the connections that others open to it. */
struct ConnectionLimits
{
  /**
   * Bytes that a process may keep for its clients: in buffers of connections,
   * requests that wait and jobs. 256 MB hold a thousand incomplete bodies of
   * the largest size that is published.
   */
  std::size_t processBytes = 256 * 1024 * 1024;
  /**
   * Bytes that a connection may send ahead while its request is handled. Three
   * requests with a body of the largest size that is published fit.
   */
  std::size_t connectionBytes = 1024 * 1024;
  /** Open connections of callers, or of the backend server of an agent. */
  std::size_t callerConnections = 4096;
  /** Open connections of the readiness check, and of the metrics. */
  std::size_t serviceConnections = 4096;
  /** Open connections that other processes opened to this one. */
  std::size_t peerConnections = 4096;

  auto operator<=>(const ConnectionLimits&) const = default;
};

/**
 * Returns the limits of a process on a host.
 * @param aMemoryBytes memory of the host; 0: unknown
 * @param aDescriptors file descriptors that the process may have open; 0:
 *        unknown
 */
ConnectionLimits
LimitsOfHost(std::size_t aMemoryBytes, std::size_t aDescriptors);

}
