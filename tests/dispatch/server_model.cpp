#include "dispatch/server_model.h"

#include <algorithm>

namespace greengage::testing {

using namespace coordination;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kSlots = 10;

}

ServerModel::ServerModel(Time aBornAt, double aRate)
  : bornAt_(aBornAt)
  , rate_(aRate)
{
}

milliseconds
ServerModel::Clock(Time aNow) const
{
  auto age = static_cast<double>(aNow - bornAt_) * rate_;
  return milliseconds(1000 + static_cast<Time>(age));
}

StartAnswer
ServerModel::Start(const StartRunCall& aCall, Time aNow, Time aRunTime)
{
  if (aCall.fencingToken < token_) {
    return StartAnswer::eFenced;
  }
  token_ = aCall.fencingToken;
  if (runs_.contains(aCall.run)) {
    return StartAnswer::eStarted;
  }
  if (aCall.leaseEnd <= Clock(aNow)) {
    return StartAnswer::eLate;
  }
  ExtendLease(aCall.leaseEnd, aNow);
  if (refusedUpTo_[aCall.run.task] >= aCall.run.run) {
    return StartAnswer::eOutdated;
  }
  if (runs_.size() >= kSlots) {
    return StartAnswer::eNoFreeCapacity;
  }
  runs_[aCall.run] = aNow + aRunTime;
  return StartAnswer::eStarted;
}

bool
ServerModel::Stop(const StopRunCall& aCall, Time aNow, Time aStopTime)
{
  if (aCall.fencingToken < token_) {
    return false;
  }
  token_ = aCall.fencingToken;
  auto& refused = refusedUpTo_[aCall.run.task];
  refused = std::max(refused, aCall.run.run);
  auto run = runs_.find(aCall.run);
  if (run != runs_.end()) {
    run->second = std::min(run->second, aNow + aStopTime);
  }
  return true;
}

bool
ServerModel::Renew(const RenewCall& aCall, Time aNow)
{
  if (aCall.fencingToken < token_) {
    return false;
  }
  token_ = aCall.fencingToken;
  ExtendLease(aCall.leaseEnd, aNow);
  std::erase_if(ends_, [&](const ListedEnd& aEnd) {
    return aEnd.number <= aCall.lastSeen;
  });
  return true;
}

RenewAnswer
ServerModel::List(Time aNow) const
{
  RenewAnswer answer;
  answer.born = Born();
  answer.serverClock = Clock(aNow);
  for (const auto& [key, doneAt] : runs_) {
    answer.running.push_back({ key, 1 });
  }
  answer.ended = ends_;
  return answer;
}

void
ServerModel::Advance(Time aNow)
{
  auto all = runs_;
  for (const auto& [key, doneAt] : all) {
    if (Clock(aNow) >= leaseEnd_) {
      End(key, RunEndKind::eLost);
    } else if (aNow >= doneAt) {
      End(key, RunEndKind::eDone);
    }
  }
}

void
ServerModel::ExtendLease(milliseconds aEnd, Time aNow)
{
  auto end = std::min(aEnd, Clock(aNow) + milliseconds(kMaxLease));
  leaseEnd_ = std::max(leaseEnd_, end);
}

void
ServerModel::End(const RunKey& aRun, RunEndKind aKind)
{
  runs_.erase(aRun);
  auto& refused = refusedUpTo_[aRun.task];
  refused = std::max(refused, aRun.run);
  ends_.push_back({ nextEnd_++, aRun, aKind });
}

}
