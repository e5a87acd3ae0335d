#include "daemon/membership_service.h"

#include "daemon/process_identity.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;

namespace {

constexpr std::chrono::seconds kClockReportPeriod{ 10 };

/**
 * Datagrams that wait for the control thread; more are dropped, as a network
 * may drop them. A fleet of 1,000 processes sends some hundred per second to
 * one of them.
 */
constexpr unsigned kMaxQueuedPackets = 1024;

}

MembershipService::MembershipService(transport::TrafficPool& aTraffic,
                                     transport::ControlThread& aControl,
                                     const state::Clock& aClock,
                                     MembershipServiceHooks aHooks)
  : control_(aControl)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , socket_(
      aTraffic,
      { [this](MembershipPacket aPacket) {
         if (queuedPackets_ >= kMaxQueuedPackets) {
           return;
         }
         ++queuedPackets_;
         control_.Post([this, packet = std::move(aPacket)] {
           --queuedPackets_;
           if (membership_) {
             if (hooks_.heard) {
               hooks_.heard();
             }
             membership_->OnPacket(packet);
           }
         });
       },
        [](const std::string& aFrom, const protocol::ProtocolError& aError) {
          transport::LogEvent(transport::events::kPeerMalformed,
                              "peer=udp address={} reason={}",
                              aFrom,
                              transport::QuoteValue(aError.message));
        },
        nullptr })
{
}

tl::expected<void, DaemonError>
MembershipService::Start(const ProcessInfo& aSelf,
                         const std::vector<std::string>& aSeeds)
{
  auto peer = *transport::ParseEndpoint(aSelf.peerAddress);
  auto bound = socket_.Listen({ peer.address(), peer.port() });
  if (!bound) {
    return tl::unexpected(DaemonError{ bound.error().message });
  }
  membership_ =
    std::make_unique<Membership>(aSelf, aSeeds, clock_, MakeHooks());
  return {};
}

void
MembershipService::Tick(std::uint64_t aConfigurationVersion)
{
  if (!membership_) {
    return;
  }
  if (aConfigurationVersion != configurationVersion_) {
    configurationVersion_ = aConfigurationVersion;
    membership_->SetConfigurationVersion(configurationVersion_);
  }
  membership_->Tick();
}

void
MembershipService::Stop()
{
  socket_.Stop();
}

MembershipHooks
MembershipService::MakeHooks()
{
  MembershipHooks hooks;
  hooks.send = [this](const std::string& aAddress,
                      const MembershipPacket& aPacket) {
    socket_.Send(aAddress, aPacket);
  };
  hooks.changed = [this](const MemberUpdate& aUpdate) { OnChanged(aUpdate); };
  hooks.replaced = [this](const state::ProcessId& aDead,
                          const MemberUpdate& aUpdate) {
    hooks_.replaced(aDead);
    OnChanged(aUpdate);
  };
  hooks.clockDiffers = [this](const ProcessInfo& aProcess,
                              std::chrono::milliseconds aDifference) {
    auto now = clock_.MonotonicNow();
    if (now < nextClockReportAt_) {
      return;
    }
    nextClockReportAt_ = now + kClockReportPeriod;
    transport::LogEvent(transport::events::kClockDifference,
                        "peer={} address={} difference_ms={}",
                        aProcess.id.ToString(),
                        aProcess.peerAddress,
                        aDifference.count());
  };
  hooks.random = [] { return CreateProcessId().low; };
  return hooks;
}

void
MembershipService::OnChanged(const MemberUpdate& aUpdate)
{
  bool isAlive = aUpdate.memberState == MemberState::eAlive ||
                 aUpdate.memberState == MemberState::eSuspect;
  if (!isAlive) {
    hooks_.lost(aUpdate.process.id);
    return;
  }
  hooks_.alive(aUpdate.process);
  if (hooks_.versionReceived) {
    hooks_.versionReceived(aUpdate.process.id, aUpdate.configurationVersion);
  }
}

}
