#pragma once

#include <functional>

#include "coordination/cancellation/cancellation_exchange.h"
#include "daemon/dispatch/peer_node.h"
#include "state/clock.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/** Answer to a caller that cancels a job. */
enum class CancelAnswer
{
  eCancelled,
  /** The job is cancelled; this entry did not have it. */
  eNotHere,
  /** The job is cancelled at this entry only, as others cannot be reached. */
  eUnconfirmed,
};

/**
 * Cancelled jobs that an entry exchanges with other entries: connects
 * CancellationExchange to the peer network, the log and the metrics. Control
 * thread only.
 */
class CancellationService
{
public:
  /** @param aCaughtUp is called when jobs may be placed again */
  CancellationService(PeerNode& aPeers,
                      const state::Clock& aClock,
                      coordination::CancelledJobs& aJobs,
                      transport::MetricsRegistry& aMetrics,
                      std::function<void()> aCaughtUp);

  /**
   * Makes a job known that a caller cancelled here, and calls aAnswer once.
   * @param aIsHere whether this entry had the job
   */
  void Cancel(state::DispatchJobId aJob,
              bool aIsHere,
              std::function<void(CancelAnswer)> aAnswer);

  coordination::CancellationExchange& Exchange() { return exchange_; }
  const coordination::CancellationExchange& Exchange() const
  {
    return exchange_;
  }

private:
  coordination::CancellationHooks MakeHooks(PeerNode& aPeers);
  void OnAnswered(const coordination::CancellationRecord& aRecord);
  void OnCaughtUp(const coordination::CatchUpRecord& aRecord);

  coordination::CancelledJobs& jobs_;
  transport::MetricsRegistry& metrics_;
  std::function<void()> caughtUp_;
  coordination::CancellationExchange exchange_;
};

}
