#include <gtest/gtest.h>

#include "coordination/dispatch/lease_tracker.h"
#include "coordination/simulation/virtual_clock.h"

// The rule that decides when a run has ended for certain.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::MonotonicTime;
using std::chrono::milliseconds;

MonotonicTime
At(int aMs)
{
  return MonotonicTime(milliseconds(aMs));
}

/** A run that incarnation 2 of the server was ordered to start at 100 ms. */
RunKnowledge
OpenStart()
{
  RunKnowledge run;
  run.incarnation = 2;
  run.fencingToken = 10;
  return run;
}

RunKnowledge
ConfirmedStart()
{
  RunKnowledge run = OpenStart();
  run.startCall = StartCallState::eStarted;
  run.confirmedAt = At(110);
  return run;
}

RunKnowledge
UnansweredStart()
{
  RunKnowledge run = OpenStart();
  run.startCall = StartCallState::eUnanswered;
  return run;
}

RunKnowledge
StoppedStart()
{
  RunKnowledge run = UnansweredStart();
  run.stop = StopAnswer{ 2, At(170) };
  return run;
}

/** A list of incarnation 2, requested at this time, that omits the run. */
ListedState
ListWithoutRun(int aRequestedAt)
{
  return { 2, 10, At(aRequestedAt), false, false };
}

std::optional<ReleaseEvidence>
Evidence(const RunKnowledge& aRun, const ListedState& aList)
{
  return FindReleaseEvidence(aRun, { aList, {}, {} }, At(300));
}

std::optional<ReleaseEvidence>
Evidence(ReleaseReason aReason, int aAge)
{
  return ReleaseEvidence{ aReason, milliseconds(aAge) };
}

// Guards against a second start while the first one may still be carried out.
TEST(RunReleaseTest, UnansweredStartAloneIsNoEvidence)
{
  for (const RunKnowledge& run :
       { OpenStart(), ConfirmedStart(), UnansweredStart(), StoppedStart() }) {
    EXPECT_EQ(FindReleaseEvidence(run, {}, At(300)), std::nullopt);
  }
}

// Guards against tasks that wait although their start did not happen, and
// against releasing a run that the server lists although it refused the start.
TEST(RunReleaseTest, RefusedAndUnsentStartsAreReleasedUnlessListed)
{
  RunKnowledge run = OpenStart();
  run.startCall = StartCallState::eRefused;
  EXPECT_EQ(FindReleaseEvidence(run, {}, At(300)),
            Evidence(ReleaseReason::eStartRefused, 0));
  run.startCall = StartCallState::eNotSent;
  EXPECT_EQ(FindReleaseEvidence(run, {}, At(300)),
            Evidence(ReleaseReason::eNothingSent, 0));
  run.confirmedAt = At(120);
  EXPECT_EQ(FindReleaseEvidence(run, {}, At(300)), std::nullopt);
}

// Guards against releasing a run because of a list that was requested before
// the run was started.
TEST(RunReleaseTest, ListMustBeRequestedAfterTheConfirmedStart)
{
  EXPECT_EQ(Evidence(ConfirmedStart(), ListWithoutRun(109)), std::nullopt);
  EXPECT_EQ(Evidence(ConfirmedStart(), ListWithoutRun(111)),
            Evidence(ReleaseReason::eNotListedAfterStart, 189));
  ListedState running = ListWithoutRun(111);
  running.isRunning = true;
  EXPECT_EQ(Evidence(ConfirmedStart(), running), std::nullopt);
}

// Guards against releasing an unanswered start that the server may still carry
// out, because the order that makes it refuse the start is not proven.
TEST(RunReleaseTest, StopMustPrecedeTheListOfTheSameIncarnation)
{
  EXPECT_EQ(Evidence(UnansweredStart(), ListWithoutRun(200)), std::nullopt);
  EXPECT_EQ(Evidence(StoppedStart(), ListWithoutRun(169)), std::nullopt);
  EXPECT_EQ(Evidence(StoppedStart(), ListWithoutRun(171)),
            Evidence(ReleaseReason::eNotListedAfterStop, 129));
  ListedState later = ListWithoutRun(171);
  later.incarnation = 3;
  EXPECT_EQ(Evidence(StoppedStart(), later), std::nullopt);
  RunKnowledge open = StoppedStart();
  open.startCall = StartCallState::eOpen;
  EXPECT_EQ(Evidence(open, ListWithoutRun(171)), std::nullopt);
}

// Guards against applying the list of an earlier incarnation, overtaken by a
// newer answer, to a run of the present one.
TEST(RunReleaseTest, ListOfAnEarlierIncarnationIsNoEvidence)
{
  ListedState earlier = ListWithoutRun(200);
  earlier.incarnation = 1;
  EXPECT_EQ(Evidence(ConfirmedStart(), earlier), std::nullopt);
  earlier.hasEnded = true;
  EXPECT_EQ(Evidence(ConfirmedStart(), earlier), std::nullopt);
  earlier.incarnation = 2;
  EXPECT_EQ(Evidence(ConfirmedStart(), earlier),
            Evidence(ReleaseReason::eListedAsEnded, 100));
}

// Guards against releasing a run that a later incarnation may have started, or
// will start when the late order arrives.
TEST(RunReleaseTest, LaterIncarnationMustRefuseTheLateStart)
{
  ListedState later{ 3, 10, At(105), false, false };
  EXPECT_EQ(Evidence(UnansweredStart(), later), std::nullopt);
  later.fencingToken = 11;
  EXPECT_EQ(Evidence(UnansweredStart(), later),
            Evidence(ReleaseReason::eLaterIncarnation, 195));
  later.fencingToken = 10;
  EXPECT_EQ(Evidence(ConfirmedStart(), later), std::nullopt);
  RunKnowledge listed = ConfirmedStart();
  listed.listedBy = 2;
  EXPECT_EQ(Evidence(listed, later),
            Evidence(ReleaseReason::eLaterIncarnation, 195));
}

// Guards against treating a refused connection as the end of the server.
TEST(RunReleaseTest, RefusedConnectionIsNoEvidence)
{
  ServerKnowledge server;
  server.refusedAt = At(200);
  EXPECT_EQ(FindReleaseEvidence(ConfirmedStart(), server, At(300)),
            std::nullopt);
}

// Guards against releasing a run whose lease ends later on the clock of an
// incarnation that the agent does not know.
TEST(RunReleaseTest, LeaseMustHaveExpiredOnEveryPossibleClock)
{
  ServerKnowledge server;
  server.leases = LeaseBounds{ At(700), At(1100) };
  RunKnowledge listed = ConfirmedStart();
  listed.listedBy = 2;
  EXPECT_EQ(FindReleaseEvidence(listed, server, At(700)), std::nullopt);
  EXPECT_EQ(FindReleaseEvidence(listed, server, At(705)),
            Evidence(ReleaseReason::eLeaseExpired, 5));
  EXPECT_EQ(FindReleaseEvidence(ConfirmedStart(), server, At(1100)),
            std::nullopt);
  EXPECT_EQ(FindReleaseEvidence(ConfirmedStart(), server, At(1105)),
            Evidence(ReleaseReason::eLeaseExpired, 5));
  EXPECT_EQ(FindReleaseEvidence(OpenStart(), server, At(2000)), std::nullopt);
}

// Guards against a second run of a task: a lease does not bound a start order
// that no answer or list has confirmed, because the next incarnation of the
// server may carry it out at any later time.
TEST(RunReleaseTest, ExpiredLeaseDoesNotReleaseAnUnconfirmedStart)
{
  ServerKnowledge server;
  server.leases = LeaseBounds{ At(700), At(1100) };
  for (const RunKnowledge& run : { UnansweredStart(), StoppedStart() }) {
    EXPECT_EQ(FindReleaseEvidence(run, server, At(1105)), std::nullopt);
    EXPECT_EQ(FindReleaseEvidence(run, server, At(60'000)), std::nullopt);
    EXPECT_EQ(CertaintyOfStart(run, *server.leases, At(1100)),
              StartCertainty::eUncertain);
    EXPECT_EQ(CertaintyOfStart(run, *server.leases, At(1105)),
              StartCertainty::eFinallyUncertain);
  }
  for (const RunKnowledge& run : { OpenStart(), ConfirmedStart() }) {
    EXPECT_EQ(CertaintyOfStart(run, *server.leases, At(1105)),
              StartCertainty::eCertain);
  }
}

class LeaseTrackerTest : public ::testing::Test
{
protected:
  LeaseTrackerTest() { tracker_.SetMaxLease(milliseconds(1000)); }

  milliseconds time_{ 1000 };
  coordination::simulation::VirtualClock clock_{ time_, {} };
  LeaseTracker tracker_{ clock_ };
};

// Guards against a lease that counts as expired although the server's clock,
// 2% slow since it was last read, has not reached its end.
TEST_F(LeaseTrackerTest, BoundIncludesASlowClock)
{
  for (int age : { 0, 10, 500, 5000 }) {
    RequestedLease lease{ At(1000 + age), At(1000), milliseconds(600) };
    auto passed = LatestLeaseEnd(lease) - At(1000);
    EXPECT_GE(passed * 98 / 100, milliseconds(age + 600)) << age;
    EXPECT_LE(passed, milliseconds((age + 600) * 103 / 100)) << age;
  }
}

// Guards against counting only renewals: a start order sent later extends the
// leases of all runs too, also if it was not answered.
TEST_F(LeaseTrackerTest, EachCallThatMayHaveArrivedExtendsTheLeases)
{
  tracker_.OnClockLearned();
  tracker_.OnPossiblyReceived(tracker_.OnSent(milliseconds(600)));
  auto first = tracker_.Bounds();
  EXPECT_GE(first.knownClock, At(1612));
  EXPECT_GE(first.anyClock, At(2020));
  time_ = milliseconds(1200);
  auto open = tracker_.OnSent(milliseconds(600));
  EXPECT_GE(tracker_.Bounds().knownClock, At(1812));
  tracker_.OnNotReceived(open);
  EXPECT_EQ(tracker_.Bounds(), first);
}

// Guards against using the clock of an earlier incarnation for a call that a
// new one received, which grants a longer lease.
TEST_F(LeaseTrackerTest, NewIncarnationMayHaveReceivedEarlierCalls)
{
  tracker_.OnClockLearned();
  tracker_.OnPossiblyReceived(tracker_.OnSent(milliseconds(600)));
  auto open = tracker_.OnSent(milliseconds(600));
  tracker_.OnNewIncarnation();
  EXPECT_GE(tracker_.Bounds().knownClock, At(2020));
  time_ = milliseconds(1100);
  tracker_.OnPossiblyReceived(open);
  EXPECT_GE(tracker_.Bounds().knownClock, At(2120));
}

}
}
