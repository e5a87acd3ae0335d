#pragma once

#include <functional>
#include <string>

#include "state/job_id.h"
#include "state/job_spec.h"
#include "state/refusal_code.h"
#include "transport/http_server.h"

namespace greengage::daemon {

/** Kinds of documents that operators publish. */
enum class DocumentKind
{
  eTemplate,
  eOrganisation,
};

/**
 * What the routes of an entry call. Hooks run in a traffic thread and must
 * post to the control thread whatever touches control state; each responder
 * must be called once.
 */
struct EntryRouteHooks
{
  std::function<state::JobId()> createJobId;
  std::function<void(state::JobSpec, transport::HttpResponder)> submit;
  std::function<void(state::JobKey, transport::HttpResponder)> queryJob;
  std::function<void(state::JobKey, transport::HttpResponder)> cancelJob;
  std::function<void(DocumentKind,
                     std::string aName,
                     std::string aBody,
                     transport::HttpResponder)>
    publish;
  std::function<void(transport::HttpResponder)> showConfiguration;
  std::function<void(transport::HttpResponder)> showWorkers;
  std::function<void(transport::HttpResponder)> showStatus;
  std::function<void(transport::HttpResponder)> showMetrics;
  std::function<void(std::string aProcessId, transport::HttpResponder)>
    drainWorker;
  /** Counts a request that is refused before a hook is called. */
  std::function<void(state::RefusalCode)> refused;
};

/** Maps the HTTP requests of callers and operators to hooks. */
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
  void HandlePublish(DocumentKind aKind,
                     std::string_view aName,
                     const transport::HttpRequest& aRequest,
                     const transport::HttpResponder& aRespond) const;
  void HandleWorkerPath(const std::string& aMethod,
                        std::string_view aPath,
                        const transport::HttpResponder& aRespond) const;
  /** Routes that only show something. */
  void HandleShow(const std::string& aMethod,
                  std::string_view aPath,
                  const transport::HttpResponder& aRespond) const;
  void HandleJobPath(const std::string& aMethod,
                     std::string_view aPath,
                     const transport::HttpResponder& aRespond) const;

  EntryRouteHooks hooks_;
};

/** Answer to a request that was refused before anything was done. */
transport::HttpResponse
RefusalResponse(unsigned aStatus,
                state::RefusalCode aCode,
                std::string_view aField,
                std::string_view aMessage);

}
