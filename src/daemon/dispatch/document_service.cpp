#include "daemon/dispatch/document_service.h"

#include "daemon/process_identity.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using state::ProcessId;

DocumentService::DocumentService(PeerNode& aPeers,
                                 const state::Clock& aClock,
                                 ReceivedFunction aReceived)
  : received_(std::move(aReceived))
  , exchange_(aClock, MakeHooks(aPeers))
{
}

DocumentExchangeHooks
DocumentService::MakeHooks(PeerNode& aPeers)
{
  DocumentExchangeHooks hooks;
  hooks.request = [&aPeers](const ProcessId& aPeer,
                            const DocumentRequest& aRequest) {
    aPeers.Send(aPeer, aRequest);
  };
  hooks.answer = [&aPeers](const ProcessId& aPeer, const DocumentPart& aPart) {
    aPeers.Send(aPeer, aPart);
  };
  hooks.received = received_;
  hooks.fetchEnded = [](const DocumentFetchRecord& aRecord) {
    transport::LogEvent(transport::events::kDocumentFetched,
                        "peer={} version={} bytes={} received={} outcome={} "
                        "age_ms={}",
                        aRecord.peer.ToString(),
                        aRecord.version,
                        aRecord.totalBytes,
                        aRecord.receivedBytes,
                        aRecord.outcome,
                        aRecord.age.count());
  };
  hooks.random = [] { return CreateProcessId().low; };
  return hooks;
}

bool
DocumentService::OnMessage(const ProcessId& aFrom, const PeerMessage& aMessage)
{
  if (const auto* request = std::get_if<DocumentRequest>(&aMessage)) {
    exchange_.OnRequest(aFrom, *request);
    return true;
  }
  if (const auto* part = std::get_if<DocumentPart>(&aMessage)) {
    exchange_.OnPart(aFrom, *part);
    return true;
  }
  return false;
}

}
