#pragma once

namespace greengage::coordination {

/**
 * Tells whether a backend server answers its agent's calls. A server that
 * ignores a part of them holds up every task it is given, although each of its
 * answers makes it look well. Used by the control thread only.
 */
class AnswerMonitor
{
public:
  void OnAnswer();
  void OnSilence();
  /** Another life of the server is judged anew. */
  void Reset() { *this = AnswerMonitor(); }

  bool IsReliable() const { return reliable_; }

private:
  bool reliable_ = true;
  unsigned answersInRow_ = 0;
  unsigned silencesInRow_ = 0;
};

}
