#include "daemon/entry_routes.h"

#include <charconv>

#include "protocol/caller_json.h"
#include "state/names.h"
#include "transport/http_path.h"

namespace greengage::daemon {

using state::ConfigurationKind;
using state::RefusalCode;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;

namespace {

constexpr std::string_view kJobs = "/v1/jobs/";
constexpr std::string_view kTemplates = "/v1/templates/";
constexpr std::string_view kOrganisations = "/v1/organisations/";
constexpr std::string_view kWorkers = "/v1/workers/";
constexpr std::string_view kDrain = "/drain";
constexpr std::string_view kShards = "/v1/shards/";
constexpr std::string_view kRecover = "/recover";

using ShowHook = std::function<void(HttpResponder)>;

constexpr std::string_view kUnknownPath = "there is no such resource";

}

HttpResponse
RefusalResponse(unsigned aStatus,
                RefusalCode aCode,
                std::string_view aField,
                std::string_view aMessage)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = protocol::EncodeError(aCode, aField, aMessage);
  return response;
}

EntryRoutes::EntryRoutes(EntryRouteHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

void
EntryRoutes::Handle(HttpRequest aRequest, const HttpResponder& aRespond) const
{
  auto decoded = transport::DecodePath(aRequest.target);
  if (!decoded) {
    Refuse(aRespond, 400, "", decoded.error().message);
    return;
  }
  std::string_view path = *decoded;
  if (path == "/v1/jobs" || path == "/v1/requests") {
    HandleSubmit(aRequest, aRespond);
  } else if (path.starts_with(kJobs)) {
    HandleJobPath(aRequest.method, path.substr(kJobs.size()), aRespond);
  } else if (path.starts_with(kTemplates)) {
    path.remove_prefix(kTemplates.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eTemplate, std::string(path) },
                   aRespond);
  } else if (path.starts_with(kOrganisations)) {
    path.remove_prefix(kOrganisations.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eOrganisation, std::string(path) },
                   aRespond);
  } else if (path.starts_with(kShards)) {
    path.remove_prefix(kShards.size());
    HandleShardPath(aRequest.method, path, aRespond);
  } else if (path.starts_with(kWorkers)) {
    path.remove_prefix(kWorkers.size());
    HandleWorkerPath(aRequest.method, path, aRespond);
  } else {
    HandleShow(aRequest.method, path, aRespond);
  }
}

void
EntryRoutes::HandleSubmit(const HttpRequest& aRequest,
                          const HttpResponder& aRespond) const
{
  if (aRequest.method != "POST") {
    Refuse(aRespond, 405, "", "the allowed method is POST");
    return;
  }
  auto spec = protocol::DecodeJobRequest(aRequest.body, hooks_.createJobId);
  if (!spec) {
    Refuse(aRespond, 400, spec.error().field, spec.error().message);
    return;
  }
  hooks_.submit(*std::move(spec), aRespond);
}

void
EntryRoutes::HandleWorkerPath(const std::string& aMethod,
                              std::string_view aPath,
                              const HttpResponder& aRespond) const
{
  if (!aPath.ends_with(kDrain) || !hooks_.drainWorker) {
    Refuse(aRespond, 404, "", kUnknownPath);
    return;
  }
  if (aMethod != "POST") {
    Refuse(aRespond, 405, "", "the allowed method is POST");
    return;
  }
  aPath.remove_suffix(kDrain.size());
  hooks_.drainWorker(std::string(aPath), aRespond);
}

void
EntryRoutes::HandleShow(const std::string& aMethod,
                        std::string_view aPath,
                        const HttpResponder& aRespond) const
{
  const std::pair<std::string_view, const ShowHook&> routes[] = {
    { "/v1/configuration", hooks_.showConfiguration },
    { "/v1/workers", hooks_.showWorkers },
    { "/v1/status", hooks_.showStatus },
    { "/metrics", hooks_.showMetrics },
  };
  for (const auto& [path, show] : routes) {
    if (path != aPath) {
      continue;
    }
    if (aMethod != "GET") {
      Refuse(aRespond, 405, "", "the allowed method is GET");
    } else if (!show) {
      Refuse(aRespond, 404, "", kUnknownPath);
    } else {
      show(aRespond);
    }
    return;
  }
  Refuse(aRespond, 404, "", kUnknownPath);
}

void
EntryRoutes::Refuse(const HttpResponder& aRespond,
                    unsigned aStatus,
                    std::string_view aField,
                    std::string_view aMessage) const
{
  if (hooks_.refused) {
    hooks_.refused(RefusalCode::eBadRequest);
  }
  aRespond(
    RefusalResponse(aStatus, RefusalCode::eBadRequest, aField, aMessage));
}

void
EntryRoutes::HandleDocument(HttpRequest aRequest,
                            state::ConfigurationKey aKey,
                            const HttpResponder& aRespond) const
{
  if (aRequest.method == "PUT") {
    hooks_.publish(std::move(aKey), std::move(aRequest.body), aRespond);
  } else if (aRequest.method == "DELETE") {
    hooks_.unpublish(std::move(aKey), std::move(aRequest.body), aRespond);
  } else {
    Refuse(aRespond, 405, "", "allowed methods are PUT and DELETE");
  }
}

void
EntryRoutes::HandleShardPath(const std::string& aMethod,
                             std::string_view aPath,
                             const HttpResponder& aRespond) const
{
  if (!aPath.ends_with(kRecover)) {
    Refuse(aRespond, 404, "", kUnknownPath);
    return;
  }
  if (aMethod != "POST") {
    Refuse(aRespond, 405, "", "the allowed method is POST");
    return;
  }
  aPath.remove_suffix(kRecover.size());
  std::uint32_t shard = 0;
  const char* end = aPath.data() + aPath.size();
  auto [next, error] = std::from_chars(aPath.data(), end, shard);
  if (error != std::errc() || next != end) {
    Refuse(aRespond, 400, "shard", "must be a shard number");
    return;
  }
  if (!hooks_.recoverShard) {
    Refuse(aRespond, 404, "", kUnknownPath);
    return;
  }
  hooks_.recoverShard(shard, aRespond);
}

void
EntryRoutes::HandleJobPath(const std::string& aMethod,
                           std::string_view aPath,
                           const HttpResponder& aRespond) const
{
  std::size_t slash = aPath.find('/');
  if (slash == std::string_view::npos) {
    Refuse(aRespond, 404, "", kUnknownPath);
    return;
  }
  std::string organisation(aPath.substr(0, slash));
  if (!state::IsValidName(organisation)) {
    Refuse(aRespond, 400, "organisation", state::kNameRule);
    return;
  }
  auto id = state::JobId::Parse(aPath.substr(slash + 1));
  if (!id) {
    Refuse(aRespond, 400, id.error().field, id.error().message);
    return;
  }
  if (aMethod == "GET") {
    hooks_.queryJob({ std::move(organisation), *id }, aRespond);
  } else if (aMethod == "DELETE") {
    hooks_.cancelJob({ std::move(organisation), *id }, aRespond);
  } else {
    Refuse(aRespond, 405, "", "allowed methods are GET and DELETE");
  }
}

}
