#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "coordination/dispatch/job_dispatcher.h"
#include "policy/admission_load.h"
#include "policy/virtual_clock.h"

namespace greengage::policy {

/** One attempt of a caller, from its submission to its answer. */
struct AdmissionAttempt
{
  std::size_t arrival = 0;
  std::size_t number = 0;
  double submittedAt = 0;
  double answeredAt = -1;
  /** The job was completed while its answer had value. */
  bool served = false;
  bool rejected = false;
  double retryAfterSeconds = 0;

  auto operator<=>(const AdmissionAttempt&) const = default;
};

/**
 * Plays callers against real dispatchers and a fleet of servers of uneven
 * speed. Agents are modelled: they admit runs while their server has capacity,
 * and report the capacity that others use. Callers that were rejected submit
 * again after Retry-After, through any entry.
 */
class AdmissionSimulation
{
public:
  AdmissionSimulation(const AdmissionLoad& aLoad,
                      const coordination::JobDispatcherSettings& aSettings);

  /** @param aRetry callers submit again while their patience lasts */
  std::vector<AdmissionAttempt> Run(
    const std::vector<AdmissionArrival>& aArrivals,
    bool aRetry);

private:
  struct ServerRun
  {
    std::size_t entry = 0;
    state::ResourceAmount need;
    double startedAt = 0;
  };

  struct Server
  {
    std::map<std::pair<std::size_t, state::RunKey>, ServerRun> runs;
    state::ResourceAmount used;
    bool isChanged = true;
  };

  struct Event
  {
    double time = 0;
    std::uint64_t number = 0;
    std::function<void()> function;
    bool operator>(const Event& aOther) const
    {
      return std::pair(time, number) > std::pair(aOther.time, aOther.number);
    }
  };

  void At(double aTime, std::function<void()> aFunction);
  void Submit(std::size_t aArrival, std::size_t aNumber);
  void OnAnswer(std::size_t aAttempt, const state::DispatchOutcome& aOutcome);
  void OnOrders(std::size_t aEntry,
                std::size_t aServer,
                const coordination::DispatchOrders& aOrders);
  void Start(std::size_t aEntry,
             std::size_t aServer,
             const coordination::RunBatch& aBatch,
             const coordination::RunOrder& aOrder);
  void EndRun(std::size_t aEntry,
              std::size_t aServer,
              const state::RunKey& aRun,
              coordination::RunEndKind aKind);
  void Report(std::size_t aEntry,
              std::size_t aServer,
              std::vector<coordination::RunEnd> aEnds);
  void Tick();
  void TickServers();
  coordination::JobDispatcherHooks HooksOf(std::size_t aEntry);
  double RunSeconds(std::size_t aServer, const state::RunKey& aRun) const;
  std::size_t ServerOf(const state::ProcessId& aAgent) const;

  AdmissionLoad load_;
  std::vector<AdmissionKind> kinds_;
  VirtualClock clock_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<coordination::JobDispatcher>> entries_;
  std::vector<Server> servers_;
  std::vector<bool> wasTakenAway_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t lastEvent_ = 0;
  const std::vector<AdmissionArrival>* arrivals_ = nullptr;
  bool retry_ = false;
  std::vector<AdmissionAttempt> attempts_;
};

}
