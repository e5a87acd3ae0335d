#include "daemon/dispatch/dispatch_entry_process.h"

#include "transport/event_log.h"

// Messages of agents and other entries, and agents that fall silent.
namespace greengage::daemon {

using namespace coordination;
using state::ProcessId;
using std::chrono::milliseconds;
using transport::LogEvent;
namespace events = transport::events;

namespace {

/**
 * The entry reconnects to an agent with runs if it receives no message from it
 * during this time.
 */
constexpr milliseconds kContactTimeout{ 700 };

}

void
DispatchEntryProcess::OnPeerAlive(const ProcessInfo& aPeer)
{
  documents_.Exchange().OnPeer(aPeer);
  if (aPeer.role == ProcessRole::eEntry) {
    newsRelay_.OnEntry(aPeer.id);
    cancellations_.Exchange().OnEntry(aPeer.id);
    if (documents_.Exchange().TakesPart(aPeer.id)) {
      evacuation_.OnEntry(aPeer.id);
    }
  } else if (dispatcher_.Servers().Contains(aPeer.id)) {
    // Other agents offer their servers with their first report.
    dispatcher_.OnAgent(aPeer);
  }
}

void
DispatchEntryProcess::OnPeerMessage(const ProcessInfo& aFrom,
                                    const PeerMessage& aMessage)
{
  if (const auto* report = std::get_if<ServerReport>(&aMessage)) {
    OnReport(aFrom, *report);
  } else if (const auto* news = std::get_if<EntryNews>(&aMessage)) {
    if (news->evacuation) {
      evacuation_.OnProcessState(aFrom.id, *news->evacuation);
    }
    // The jobs are recorded and end before they are confirmed.
    dispatcher_.OnEntryNews(*news);
    cancellations_.Exchange().OnNews(aFrom.id, *news);
  } else if (const auto* copy = std::get_if<ConfigurationCopy>(&aMessage)) {
    // Entries of the previous version send whole documents.
    OnConfigurationDocument(copy->document, aFrom.id.ToString());
  } else {
    documents_.OnMessage(aFrom.id, aMessage);
  }
}

void
DispatchEntryProcess::CheckContactTimeouts()
{
  auto now = clock_.MonotonicNow();
  if (now < nextContactCheckAt_) {
    return;
  }
  for (const ProcessId& agent : dispatcher_.Servers().AgentsInUse()) {
    auto sinceLastContact = now - dispatcher_.Servers().LastContactAt(agent);
    if (sinceLastContact > kContactTimeout) {
      nextContactCheckAt_ = now + kContactTimeout;
      LogEvent(
        events::kPeerSilent,
        "peer={} silence_ms={}",
        agent.ToString(),
        std::chrono::duration_cast<milliseconds>(sinceLastContact).count());
      peers_.Disconnect(agent);
    }
  }
}

}
