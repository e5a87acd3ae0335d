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

/** Callbacks from a ConfigurationService to its process. */
struct ConfigurationServiceHooks
{
  /** Sends a message to a peer; called on the control thread. */
  std::function<void(const state::ProcessId& aPeer, coordination::PeerMessage)>
    send;
  /** Called when a document takes effect or is deleted; may be empty. */
  std::function<void(const state::ConfigurationChange&)> changed;
  std::function<void(const coordination::OwnershipRecord&)> ownershipRecord;
  std::function<void(const coordination::OwnershipActivated&)> activatedRecord;
  /** Versions of the known processes, for GET /v1/configuration. */
  std::function<std::vector<protocol::ProcessVersion>()> processVersions;
};

/**
 * Configuration of one process: connects a ConfigurationFollower to the
 * platform's log, the peers and the routes for operators.
 */
class ConfigurationService
{
public:
  /** With an empty log address, the process reads only from its peers. */
  ConfigurationService(transport::TrafficPool& aTraffic,
                       transport::ControlThread& aControl,
                       const state::Clock& aClock,
                       const std::string& aLogAddress,
                       coordination::ConfigurationFollowerSettings aSettings,
                       ConfigurationServiceHooks aHooks);

  /** Starts the periodic tick; call before the control thread starts. */
  void Start();

  /** Handles configuration messages; returns false for any other message. */
  bool OnPeerMessage(const state::ProcessId& aFrom,
                     const coordination::PeerMessage& aMessage);

  /** Handles PUT of a document; called on a traffic thread. */
  void HandlePut(const state::ConfigurationKey& aKey,
                 const std::string& aBody,
                 const transport::HttpResponder& aRespond);
  /** Handles DELETE of a document; called on a traffic thread. */
  void HandleDelete(const state::ConfigurationKey& aKey,
                    const std::string& aBody,
                    const transport::HttpResponder& aRespond);
  /** Handles GET /v1/configuration; called on a traffic thread. */
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
  /** Null if no log address is set. */
  std::unique_ptr<LogClient> log_;
  std::unique_ptr<coordination::ConfigurationFollower> follower_;
};

}
