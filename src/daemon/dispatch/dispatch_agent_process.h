#pragma once

#include <functional>
#include <string>
#include <variant>

#include "coordination/dispatch/run_controller.h"
#include "coordination/subset/entry_choice.h"
#include "daemon/daemon_error.h"
#include "daemon/dispatch/dispatch_metrics.h"
#include "daemon/dispatch/document_service.h"
#include "daemon/dispatch/peer_node.h"
#include "daemon/status_server.h"
#include "transport/control_thread.h"
#include "transport/http_server.h"
#include "transport/memory_trimmer.h"
#include "transport/metrics.h"
#include "transport/system_clock.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

struct DispatchAgentSettings
{
  PeerNodeSettings peer;
  /** `ip:port` on which the agent receives the announcements of its server. */
  std::string announceAddress;
  /** `ip:port` of the metrics; not served if empty. */
  std::string metricsAddress;
  coordination::RunControllerSettings runs;
  /** Limits for the connections that others open to this process. */
  transport::ConnectionLimits connections;

  auto operator<=>(const DispatchAgentSettings&) const = default;
};

/** Notice from a backend server that its incarnation ends. */
struct ServerLeave
{
  std::string serverId;
  /** Identifies the incarnation; 0 if the notice does not state it. */
  std::uint64_t born = 0;

  auto operator<=>(const ServerLeave&) const = default;
};

using ServerNotice =
  std::variant<coordination::ServerAnnouncement, ServerLeave>;

/**
 * Protocol between the agent and its backend server: decodes notices and sends
 * calls. All decisions are made in RunController.
 */
struct ServerHooks
{
  /** Runs on a traffic thread; an error is sent as the response. */
  std::function<tl::expected<ServerNotice, transport::HttpResponse>(
    const transport::HttpRequest&)>
    decodeNotice;
  /** The hooks below and their callbacks run on the control thread. */
  std::function<void(const coordination::StartRunCall&,
                     std::function<void(coordination::StartAnswer)>)>
    start;
  std::function<void(const coordination::StopRunCall&,
                     std::function<void(bool aAnswered)>)>
    stop;
  std::function<void(
    const coordination::RenewCall&,
    std::function<void(
      tl::expected<coordination::RenewAnswer, coordination::RenewFailure>)>)>
    renew;
};

/** Agent process beside a backend server of the platform. */
class DispatchAgentProcess
{
public:
  explicit DispatchAgentProcess(const DispatchAgentSettings& aSettings);
  ~DispatchAgentProcess();

  /** Call before Start(). */
  void SetServerHooks(ServerHooks aHooks) { serverHooks_ = std::move(aHooks); }

  tl::expected<void, DaemonError> Start();
  /**
   * Refuses new runs, waits for the active ones until the stop timeout, then
   * calls aDone once.
   */
  void Stop(std::function<void()> aDone);

  /**
   * Applies the settings that can change while the process runs. All others
   * take effect at its next start. Control thread only.
   */
  void Reload(const DispatchAgentSettings& aSettings);

  transport::TrafficPool& Traffic() { return traffic_; }
  transport::ControlThread& Control() { return control_; }

private:
  coordination::RunControllerHooks MakeRunControllerHooks();
  PeerNodeHooks MakePeerHooks();
  coordination::EntryChoiceHooks MakeChoiceHooks();
  /** Closes the connection to an entry that gets no reports any more. */
  void OnEntryReleased(const state::ProcessId& aEntry);
  void OnNotice(const ServerNotice& aNotice,
                const transport::HttpResponder& aRespond);
  void OnPeerMessage(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage);
  void OnPeerAlive(const coordination::ProcessInfo& aPeer);
  void OnTick();
  void FinishStop();

  DispatchAgentSettings settings_;
  ServerHooks serverHooks_;
  transport::SystemClock clock_;
  transport::MetricsRegistry metrics_{ clock_ };
  DispatchMetrics dispatchMetrics_{ metrics_ };
  transport::TrafficPool traffic_;
  transport::MemoryTrimmer memoryTrimmer_{ traffic_.Guard().Bytes(),
                                           transport::ReleaseFreeMemory };
  transport::ControlThread control_;
  PeerNode peers_;
  coordination::RunController runController_;
  transport::HttpServer announcementServer_;
  StatusServer statusServer_;
  /** Copy for entries that start while the platform's store is unavailable. */
  DocumentService documents_;
  coordination::EntryChoice choice_;
  std::function<void()> onStopped_;
  state::MonotonicTime stopRequestedAt_;
  unsigned ticks_ = 0;
};

}
