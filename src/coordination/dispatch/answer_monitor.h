#pragma once

namespace greengage::coordination {

/**
 * Detects whether a backend server answers its agent's calls reliably. A server
 * that ignores some of the calls delays every task placed on it, although it
 * appears healthy after each answer. Used by the control thread only.
 */
class AnswerMonitor
{
public:
  void OnAnswer();
  /** Records a call that was not answered in time. */
  void OnNoAnswer();
  /** Resets the state for a new incarnation of the server. */
  void Reset() { *this = AnswerMonitor(); }

  bool IsReliable() const { return reliable_; }

private:
  bool reliable_ = true;
  unsigned answersInRow_ = 0;
  unsigned unansweredInRow_ = 0;
};

}
