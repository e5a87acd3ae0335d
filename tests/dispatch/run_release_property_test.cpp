#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "coordination/dispatch/run_controller.h"
#include "coordination/simulation/virtual_clock.h"
#include "dispatch/server_model.h"

// Random faults between an agent and its server, whose clock may run 2% slow.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;
using Time = ServerModel::Time;

constexpr ProcessId kEntry{ 7, 7 };
constexpr const char* kServerId = "server";
constexpr Time kOrderTimeout = 60;
constexpr Time kFaultsEnd = 9000;
constexpr Time kEnd = 16'000;

/**
 * A RunController and the true state of its server. Records a violation if a
 * run that was released still runs, or starts later. Assumes, as RunController
 * does, that a later incarnation does not carry out a call after its timeout
 * unless it has seen a higher fencing token.
 */
class ReleaseSimulation
{
public:
  explicit ReleaseSimulation(std::uint64_t aSeed)
    : random_(aSeed)
    , faultShare_(Chance(0.5) ? 0.05 : 0.3)
    , controller_({}, 1000, clock_, MakeHooks())
  {
    controller_.OnEntry(kEntry, true);
    entrySilentFrom_ = Random(2000, kFaultsEnd);
    StartServer();
    for (Time at = 1025; at < kEnd; at += 25) {
      OnAgent(at, [this] { controller_.Tick(); });
    }
    for (Time at = 1100; at < entrySilentFrom_; at += 100) {
      OnAgent(at, [this] { SendOrders(); });
    }
    for (Time at = 1500; at < kFaultsEnd; at += Random(50, 1200)) {
      At(at, [this] { InjectFault(); });
    }
    At(kFaultsEnd + 1500, [this] { server_ ? void() : StartServer(); });
  }

  /** Returns the first violation, or an empty string. */
  std::string Run()
  {
    while (!events_.empty() && events_.begin()->first < kEnd) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      time_ = milliseconds(now_);
      if (server_) {
        server_->Advance(now_);
      }
      event.mapped()();
    }
    if (violation_.empty() && controller_.RunCount() > 0) {
      violation_ = "a run is never released";
    }
    return violation_;
  }

  /** Returns how often each reason was given for a decision. */
  const std::map<std::string, unsigned>& Reasons() const { return reasons_; }

private:
  using Function = std::function<void()>;

  bool Chance(double aShare) { return Random(0, 999'999) < aShare * 1e6; }
  Time Random(Time aFrom, Time aTo)
  {
    return std::uniform_int_distribution<Time>(aFrom, aTo)(random_);
  }
  void At(Time aTime, Function aFunction)
  {
    events_.emplace(aTime, std::move(aFunction));
  }
  /** Runs the function in the agent, once it is no longer frozen. */
  void OnAgent(Time aTime, Function aFunction)
  {
    At(aTime, [this, function = std::move(aFunction)] {
      if (now_ < frozenUntil_) {
        OnAgent(frozenUntil_, function);
      } else {
        function();
      }
    });
  }

  RunControllerHooks MakeHooks()
  {
    RunControllerHooks hooks;
    hooks.start = [this](const StartRunCall& aCall) { CallStart(aCall); };
    hooks.stop = [this](const StopRunCall& aCall) { CallStop(aCall); };
    hooks.renew = [this](const RenewCall& aCall) { CallRenew(aCall); };
    hooks.report = [this](const ProcessId&, const ServerReport& aReport) {
      for (const RunEnd& end : aReport.ends) {
        released_.insert(end.run);
        CheckReleased(end.run);
      }
    };
    hooks.runDecision = [this](const RunDecision& aDecision) {
      ++reasons_[aDecision.reason.substr(0, aDecision.reason.find(':'))];
    };
    hooks.condition = [](ServerCondition, const std::string&) {};
    return hooks;
  }

  void CheckReleased(const RunKey& aRun)
  {
    if (violation_.empty() && server_ && server_->IsRunning(aRun) &&
        released_.contains(aRun)) {
      violation_ = "released run " + aRun.task.job.ToString() + " runs at " +
                   std::to_string(now_) + " ms";
    }
  }

  void SendOrders()
  {
    DispatchOrders orders;
    if (now_ < kFaultsEnd && Chance(0.7)) {
      orders.starts.push_back(
        { nextJob_, 0, { 100, 1, 0 }, 5000, "", { { 0, 1 } } });
      ordered_.push_back({ { nextJob_++, 0, 0 }, 1 });
    }
    if (!ordered_.empty() && Chance(0.1)) {
      orders.stops.push_back(ordered_.back());
    }
    controller_.OnOrders(kEntry, orders);
  }

  void StartServer()
  {
    server_.emplace(now_, Chance(0.5) ? 0.98 : 1.0);
    if (now_ >= kFaultsEnd || now_ == 1000 || Chance(0.7)) {
      Announce(Random(1, 300));
    }
    At(now_ + 400, [this, born = server_->Born()] {
      if (server_ && server_->Born() == born) {
        Announce(Random(1, 1000));
      }
    });
  }

  void Announce(Time aDelay)
  {
    ServerAnnouncement announcement;
    announcement.description = { kServerId, "pool", {}, { 1000, 1000, 0 } };
    announcement.born = server_->Born();
    announcement.sequence = ++sequence_;
    announcement.serverClock = server_->Clock(now_);
    OnAgent(now_ + aDelay,
            [this, announcement] { controller_.OnAnnouncement(announcement); });
  }

  void InjectFault()
  {
    if (Chance(0.3)) {
      frozenUntil_ = now_ + (Chance(0.7) ? Random(20, 390) : Random(400, 1200));
    } else if (server_ && Chance(0.5)) {
      Crash();
    } else if (server_) {
      OnAgent(now_ + Random(1, 800), [this, born = server_->Born()] {
        controller_.OnServerLeft(kServerId, born);
      });
      At(now_ + Random(0, 300), [this, born = server_->Born()] {
        if (server_ && server_->Born() == born) {
          Crash();
        }
      });
    }
  }

  void Crash()
  {
    server_.reset();
    Time downTime = Chance(0.5) ? Random(1, 30) : Random(1, 1200);
    At(now_ + downTime, [this] { server_ ? void() : StartServer(); });
  }

  enum class Fault
  {
    eNone,
    eNotSent,
    eLost,
    eLostAnswer,
    eLate,
  };

  Fault ChooseFault()
  {
    bool isFaulty = now_ < kFaultsEnd && Chance(faultShare_);
    return isFaulty ? static_cast<Fault>(Random(1, 4)) : Fault::eNone;
  }

  /**
   * Delivers a call to the server, or not.
   * @param aFailed called in the agent; nullopt: no answer; true: refused
   */
  void Deliver(std::uint64_t aToken,
               Time aTimeout,
               std::function<void(bool aIsAnswerLost)> aCarryOut,
               std::function<void(std::optional<bool>)> aFailed)
  {
    Fault fault = ChooseFault();
    if (fault == Fault::eNotSent) {
      OnAgent(now_ + Random(1, kOrderTimeout), [aFailed] { aFailed(false); });
      return;
    }
    if (fault != Fault::eNone) {
      OnAgent(now_ + aTimeout, [aFailed] { aFailed(std::nullopt); });
    }
    if (fault == Fault::eLost) {
      return;
    }
    bool isLate = fault == Fault::eLate;
    auto born = server_ ? server_->Born() : 0;
    At(now_ + (isLate ? Random(aTimeout, 3000) : Random(1, 5)), [=, this] {
      if (!server_ && fault == Fault::eNone) {
        OnAgent(now_ + 1, [aFailed] { aFailed(true); });
      }
      bool isAcceptedTooLate = server_ && isLate && server_->Born() != born &&
                               server_->Token() <= aToken;
      if (server_ && !isAcceptedTooLate) {
        aCarryOut(fault != Fault::eNone);
      }
    });
  }

  /** Answers within the timeout, or reports that there was no answer. */
  void Answer(bool aIsLost, Time aTimeout, Function aAnswer, Function aNoAnswer)
  {
    if (aIsLost) {
      return;
    }
    // Answers on different connections overtake each other.
    Time delay = Chance(0.2) ? Random(1, 80) : Random(1, 5);
    OnAgent(now_ + std::min(delay, aTimeout),
            delay < aTimeout ? std::move(aAnswer) : std::move(aNoAnswer));
  }

  void CallStart(const StartRunCall& aCall)
  {
    auto answer = [this, run = aCall.run](StartAnswer aAnswer) {
      controller_.OnStartAnswer(run, aAnswer);
    };
    Deliver(
      aCall.fencingToken,
      kOrderTimeout,
      [this, aCall, answer](bool aIsLost) {
        StartAnswer result = server_->Start(aCall, now_, Random(20, 4000));
        CheckReleased(aCall.run);
        Answer(
          aIsLost,
          kOrderTimeout - 5,
          [answer, result] { answer(result); },
          [answer] { answer(StartAnswer::eNoAnswer); });
      },
      [answer](std::optional<bool> aIsRefused) {
        answer(!aIsRefused   ? StartAnswer::eNoAnswer
               : *aIsRefused ? StartAnswer::eConnectionRefused
                             : StartAnswer::eNotSent);
      });
  }

  void CallStop(const StopRunCall& aCall)
  {
    auto answer = [this, run = aCall.run](bool aAnswered) {
      controller_.OnStopAnswer(run, aAnswered);
    };
    Deliver(
      aCall.fencingToken,
      kOrderTimeout,
      [this, aCall, answer](bool aIsLost) {
        // A stop takes up to 50 ms.
        bool isDone = server_->Stop(aCall, now_, Random(1, 50));
        Answer(
          aIsLost,
          kOrderTimeout - 5,
          [answer, isDone] { answer(isDone); },
          [answer] { answer(false); });
      },
      [answer](std::optional<bool>) { answer(false); });
  }

  void CallRenew(const RenewCall& aCall)
  {
    auto fail = [this, number = aCall.number](RenewFailure aFailure) {
      controller_.OnRenewFailed(number, aFailure);
    };
    Time timeout = aCall.wait.count() + 300;
    Deliver(
      aCall.fencingToken,
      timeout,
      [this, aCall, fail, timeout](bool aIsLost) {
        if (!server_->Renew(aCall, now_)) {
          Answer(
            aIsLost, timeout, [fail] { fail(RenewFailure::eFenced); }, [] {});
          return;
        }
        AnswerRenew(aIsLost, aCall, server_->Born(), now_ + aCall.wait.count());
      },
      [fail](std::optional<bool> aIsRefused) {
        fail(!aIsRefused   ? RenewFailure::eNoAnswer
             : *aIsRefused ? RenewFailure::eConnectionRefused
                           : RenewFailure::eNotSent);
      });
  }

  void AnswerRenew(bool aIsLost,
                   const RenewCall& aCall,
                   std::uint64_t aBorn,
                   Time aUntil)
  {
    if (aIsLost) {
      return;
    }
    if (!server_ || server_->Born() != aBorn) {
      OnAgent(now_ + 1, [this, number = aCall.number] {
        controller_.OnRenewFailed(number, RenewFailure::eNoAnswer);
      });
      return;
    }
    if (!server_->HasEnds() && now_ < aUntil) {
      At(now_ + 5, [=, this] { AnswerRenew(aIsLost, aCall, aBorn, aUntil); });
      return;
    }
    RenewAnswer answer = server_->List(now_);
    Answer(
      false,
      300,
      [this, answer, number = aCall.number] {
        controller_.OnRenewAnswer(number, answer);
      },
      [] {});
  }

  std::mt19937_64 random_;
  double faultShare_;
  Time now_ = 1000;
  milliseconds time_{ 1000 };
  coordination::simulation::VirtualClock clock_{ time_, {} };
  std::multimap<Time, Function> events_;
  std::optional<ServerModel> server_;
  std::uint64_t sequence_ = 0;
  std::uint64_t nextJob_ = 1;
  std::vector<RunKey> ordered_;
  std::set<RunKey> released_;
  std::map<std::string, unsigned> reasons_;
  Time frozenUntil_ = 0;
  Time entrySilentFrom_ = 0;
  std::string violation_;
  RunController controller_;
};

// Guards against releasing a run that still runs or may start later, whatever
// calls are lost, late or refused and whenever the server starts again, and
// against runs that are never released.
TEST(RunReleasePropertyTest, ReleasedRunsHaveEnded)
{
  constexpr std::uint64_t kSeeds = 1000;
  std::map<std::string, unsigned> reasons;
  unsigned violations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ReleaseSimulation simulation(seed);
    std::string violation = simulation.Run();
    for (const auto& [reason, count] : simulation.Reasons()) {
      reasons[reason] += count;
    }
    if (!violation.empty() && ++violations <= 5) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
  }
  EXPECT_EQ(violations, 0u);
  for (const char* reason : { "listed_as_ended",
                              "start_refused",
                              "nothing_sent",
                              "not_listed_after_start",
                              "not_listed_after_stop",
                              "later_incarnation",
                              "lease_expired" }) {
    EXPECT_GT(reasons[reason], 100u) << reason;
  }
}

}
}
