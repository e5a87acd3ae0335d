#include "coordination/dispatch/answer_monitor.h"

namespace greengage::coordination {

namespace {

/**
 * Calls in a row without an answer. Where one answer in twenty is lost, this
 * happens once in 8,000 calls; where one call in two is ignored, at once.
 */
constexpr unsigned kSilences = 3;
/** Answers in a row; a server that ignores half of its calls needs minutes. */
constexpr unsigned kAnswers = 10;

}

void
AnswerMonitor::OnAnswer()
{
  silencesInRow_ = 0;
  if (!reliable_ && ++answersInRow_ >= kAnswers) {
    reliable_ = true;
  }
}

void
AnswerMonitor::OnSilence()
{
  answersInRow_ = 0;
  if (++silencesInRow_ >= kSilences) {
    reliable_ = false;
  }
}

}
