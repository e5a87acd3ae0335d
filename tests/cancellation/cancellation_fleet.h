#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/cancellation/cancellation_exchange.h"
#include "coordination/simulation/virtual_clock.h"
#include "state/process_id.h"

namespace greengage::testing {

/** Steps of the exchange that a test can leave out. */
enum class ExchangeStep : std::uint8_t
{
  eNone,
  /** Callers get the answer without a wait for confirmations. */
  eWaitForConfirmations,
  /** Jobs are not sent again after their connection was lost. */
  eRepeat,
  /** An entry places jobs without a wait for what it may have missed. */
  eHoldPlacement,
  /** Entries do not answer what a starting one asks. */
  eAnswerCatchUp,
  eCatchUpAfterSilence,
};

/** Faults of one entry. */
enum class EntryFault : std::uint8_t
{
  eNone,
  eKill,
  /** Killed and started again. */
  eRestart,
  ePause,
  /** Cut off from all other processes and from callers. */
  eDisconnect,
};

/**
 * Entries in virtual time that exchange cancelled jobs. The messages of one
 * connection arrive in order, 1 to 4 ms after they were sent, or are lost with
 * it. Other processes, which report to each entry every 100 ms, stand for the
 * agents: an entry that does not hear them places nothing.
 */
class CancellationFleet
{
public:
  CancellationFleet(unsigned aEntries,
                    std::uint64_t aSeed,
                    ExchangeStep aWithoutStep = ExchangeStep::eNone);

  /** Sends a cancellation to an entry; false if it does not accept one. */
  bool Cancel(unsigned aEntry, std::uint64_t aJob);
  /** Returns whether the entry would start tasks of a job submitted now. */
  bool WouldStart(unsigned aEntry, std::uint64_t aJob);
  void Inject(unsigned aEntry,
              EntryFault aFault,
              std::chrono::milliseconds aFor);
  /** The entry runs the previous version, which only reads the lists. */
  void SetPreviousVersion(unsigned aEntry);
  /** Loses a message between two entries with this probability. */
  void SetLossShare(double aShare) { lossShare_ = aShare; }
  void RunFor(std::chrono::milliseconds aTime);
  /** Submits all acknowledged jobs to all entries in every step. */
  void SubmitAcknowledgedJobs() { submits_ = true; }

  struct Answer
  {
    std::chrono::milliseconds waited{ 0 };
    coordination::CancellationResult result{};
  };
  const std::map<std::uint64_t, Answer>& Answers() const { return answers_; }
  /** Starts of acknowledged jobs, described; empty if there were none. */
  const std::vector<std::string>& Violations() const { return violations_; }
  std::size_t Messages() const { return messages_; }
  std::size_t Size() const { return nodes_.size(); }
  std::size_t Knowing(std::uint64_t aJob) const;
  bool MayPlace(unsigned aEntry) const;
  /** Time from the start of an entry until it may place jobs. */
  std::optional<std::chrono::milliseconds> StartTime(unsigned aEntry) const;

private:
  using Message = std::pair<state::ProcessId, coordination::EntryNews>;

  struct Node
  {
    state::ProcessId id;
    bool isAlive = true;
    bool isPaused = false;
    bool isConnected = true;
    bool isOldVersion = false;
    std::unique_ptr<coordination::CancelledJobs> jobs;
    std::unique_ptr<coordination::CancellationExchange> exchange;
    std::deque<Message> inbox;
    std::chrono::milliseconds startedAt{ 0 };
    std::chrono::milliseconds lastRunAt{ 0 };
    /** Placements are held for this time after a pause (PauseDetector). */
    std::chrono::milliseconds pauseEndedAt{ -1000 };
    std::optional<std::chrono::milliseconds> placesFrom;
    /** Time of the newest report of an agent. */
    std::chrono::milliseconds reportedAt{ 0 };
    /** Entries known to be alive. */
    std::set<unsigned> known;
  };

  struct InFlight
  {
    std::chrono::milliseconds arrivesAt{ 0 };
    unsigned from = 0;
    unsigned to = 0;
    state::ProcessId fromId;
    state::ProcessId toId;
    coordination::EntryNews news;
  };

  void StartNode(unsigned aEntry);
  void Send(unsigned aFrom,
            const state::ProcessId& aTo,
            const coordination::EntryNews& aNews);
  bool AreLinked(unsigned aA, unsigned aB) const;
  bool IsRunning(unsigned aEntry) const;
  void Step();
  void Deliver();
  void RunNode(unsigned aEntry);
  /** A message shows that its sender is alive, as in PeerNode. */
  void LearnOfSender(unsigned aEntry, const state::ProcessId& aSender);
  /** Lets the membership of an entry find and lose the others. */
  void UpdateMembership(unsigned aEntry);
  void CheckStarts();
  void At(std::chrono::milliseconds aTime, std::function<void()> aAction);

  ExchangeStep withoutStep_;
  std::mt19937_64 random_;
  std::chrono::milliseconds now_{ 1000 };
  coordination::simulation::VirtualClock clock_{ now_, {} };
  std::vector<Node> nodes_;
  std::multimap<std::chrono::milliseconds, InFlight> inFlight_;
  /** Arrival of the newest message of a connection; keeps their order. */
  std::map<std::pair<unsigned, unsigned>, std::chrono::milliseconds> arrival_;
  std::multimap<std::chrono::milliseconds, std::function<void()>> actions_;
  /** Time since which a pair of entries cannot reach each other. */
  std::map<std::pair<unsigned, unsigned>, std::chrono::milliseconds> apart_;
  /** Time at which a lost entry that is reachable again is found. */
  std::map<std::pair<unsigned, unsigned>, std::chrono::milliseconds> foundAt_;
  std::map<std::uint64_t, std::chrono::milliseconds> cancelledAt_;
  std::map<std::uint64_t, Answer> answers_;
  std::vector<std::string> violations_;
  double lossShare_ = 0;
  bool submits_ = false;
  std::size_t messages_ = 0;
};

}
