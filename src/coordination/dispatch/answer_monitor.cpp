#include "coordination/dispatch/answer_monitor.h"

namespace greengage::coordination {

namespace {

/**
 * Consecutive unanswered calls after which a server counts as unreliable. With
 * one lost answer in twenty, this happens once in 8,000 calls; a server that
 * ignores every second call is detected within a few calls.
 */
constexpr unsigned kUnansweredForUnreliable = 3;
/**
 * Consecutive answers after which a server counts as reliable again. A server
 * that ignores half of its calls needs minutes to reach this number.
 */
constexpr unsigned kAnswersForReliable = 10;

}

void
AnswerMonitor::OnAnswer()
{
  unansweredInRow_ = 0;
  if (!reliable_ && ++answersInRow_ >= kAnswersForReliable) {
    reliable_ = true;
  }
}

void
AnswerMonitor::OnNoAnswer()
{
  answersInRow_ = 0;
  if (++unansweredInRow_ >= kUnansweredForUnreliable) {
    reliable_ = false;
  }
}

}
