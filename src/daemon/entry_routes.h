#pragma once

#include <functional>
#include <string>

#include "state/configuration_change.h"
#include "state/job_id.h"
#include "state/job_spec.h"
#include "state/refusal_code.h"
#include "transport/http_server.h"

namespace greengage::daemon {

/**
 * Callbacks of the routes of an entry. They run on a traffic thread and must
 * post to the control thread all work that accesses its state. Each responder
 * must be called exactly once.
 */
struct EntryRouteHooks
{
  std::function<state::JobId()> createJobId;
  std::function<void(state::JobSpec, transport::HttpResponder)> submit;
  std::function<void(state::JobKey, transport::HttpResponder)> queryJob;
  std::function<void(state::JobKey, transport::HttpResponder)> cancelJob;
  /** Publishes an operator's document. */
  std::function<
    void(state::ConfigurationKey, std::string aBody, transport::HttpResponder)>
    publish;
  /** Deletes an operator's document. */
  std::function<
    void(state::ConfigurationKey, std::string aBody, transport::HttpResponder)>
    unpublish;
  std::function<void(transport::HttpResponder)> showConfiguration;
  std::function<void(transport::HttpResponder)> showWorkers;
  std::function<void(transport::HttpResponder)> showStatus;
  std::function<void(transport::HttpResponder)> showMetrics;
  std::function<void(std::string aProcessId, transport::HttpResponder)>
    drainWorker;
  /**
   * Appends a forced ownership record. The operator confirms by the call that
   * the members of the shard's group are dead.
   */
  std::function<void(std::uint32_t aShard, transport::HttpResponder)>
    recoverShard;
  /** Counts a request that is refused before a hook is called. */
  std::function<void(state::RefusalCode)> refused;
};

/** Routes the HTTP requests of callers and operators to hooks. */
class EntryRoutes
{
public:
  explicit EntryRoutes(EntryRouteHooks aHooks);

  void Handle(transport::HttpRequest aRequest,
              const transport::HttpResponder& aRespond) const;

private:
  void Refuse(const transport::HttpResponder& aRespond,
              unsigned aStatus,
              std::string_view aField,
              std::string_view aMessage) const;
  void HandleSubmit(const transport::HttpRequest& aRequest,
                    const transport::HttpResponder& aRespond) const;
  void HandleWorkerPath(const std::string& aMethod,
                        std::string_view aPath,
                        const transport::HttpResponder& aRespond) const;
  /** Handles the read-only routes. */
  void HandleReadOnlyPath(const std::string& aMethod,
                          std::string_view aPath,
                          const transport::HttpResponder& aRespond) const;
  void HandleJobPath(const std::string& aMethod,
                     std::string_view aPath,
                     const transport::HttpResponder& aRespond) const;

  void HandleDocument(transport::HttpRequest aRequest,
                      state::ConfigurationKey aKey,
                      const transport::HttpResponder& aRespond) const;
  void HandleShardPath(const std::string& aMethod,
                       std::string_view aPath,
                       const transport::HttpResponder& aRespond) const;

  EntryRouteHooks hooks_;
};

/** Returns the answer to a request that was refused before it took effect. */
transport::HttpResponse
RefusalResponse(unsigned aStatus,
                state::RefusalCode aCode,
                std::string_view aField,
                std::string_view aMessage);

}
