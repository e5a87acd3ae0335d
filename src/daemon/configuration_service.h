#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/configuration/configuration_follower.h"
#include "daemon/log_client.h"
#include "daemon/process_identity.h"
#include "protocol/configuration_json.h"
#include "transport/http_server.h"

namespace greengage::daemon {

/** What a ConfigurationService needs from its process. */
struct ConfigurationServiceHooks
{
  /** Sends to a peer; called on the control thread. */
  std::function<void(const state::ProcessId& aPeer, coordination::PeerMessage)>
    send;
  /** A document came into force or went; may be empty. */
  std::function<void(const state::ConfigurationChange&)> changed;
  std::function<void(const coordination::OwnershipRecord&)> ownershipRecord;
  std::function<void(const coordination::OwnershipActivated&)> activatedRecord;
  /** Versions of the known processes, for GET /v1/configuration. */
  std::function<std::vector<protocol::ProcessVersion>()> processVersions;
};

/**
 * Configuration of one process: a ConfigurationFollower together with the
 * platform's log, the peers and the operators' routes.
 */
class ConfigurationService
{
public:
  /** Without a log address the process follows its peers only. */
  ConfigurationService(transport::TrafficPool& aTraffic,
                       transport::ControlThread& aControl,
                       const state::Clock& aClock,
                       const std::string& aLogAddress,
                       coordination::ConfigurationFollowerSettings aSettings,
                       ConfigurationServiceHooks aHooks);

  /** Starts to follow; call before the control thread starts. */
  void Start();

  /** Handles messages of the configuration; false for any other message. */
  bool OnPeerMessage(const state::ProcessId& aFrom,
                     const coordination::PeerMessage& aMessage);

  /** PUT of a document; called in a traffic thread. */
  void HandlePut(const state::ConfigurationKey& aKey,
                 const std::string& aBody,
                 const transport::HttpResponder& aRespond);
  /** DELETE of a document; called in a traffic thread. */
  void HandleDelete(const state::ConfigurationKey& aKey,
                    const std::string& aBody,
                    const transport::HttpResponder& aRespond);
  /** GET /v1/configuration; called in a traffic thread. */
  void HandleShow(const transport::HttpResponder& aRespond);

  /** Control thread only. */
  coordination::ConfigurationFollower& Follower() { return *follower_; }

private:
  coordination::ConfigurationFollowerHooks MakeHooks();
  void Publish(
    tl::expected<state::ConfigurationChange, protocol::ProtocolError> aChange,
    const transport::HttpResponder& aRespond);

  transport::TrafficPool& traffic_;
  transport::ControlThread& control_;
  ConfigurationServiceHooks hooks_;
  /** Null in a process without a log. */
  std::unique_ptr<LogClient> log_;
  std::unique_ptr<coordination::ConfigurationFollower> follower_;
};

}
