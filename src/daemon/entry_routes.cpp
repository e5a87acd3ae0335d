#include "daemon/entry_routes.h"

#include <charconv>

#include "protocol/caller_json.h"
#include "state/names.h"

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

void
RefuseUnknownPath(const HttpResponder& aRespond)
{
  aRespond(RefusalResponse(
    404, RefusalCode::eBadRequest, "", "there is no such resource"));
}

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
  const std::string& method = aRequest.method;
  std::string_view path = aRequest.target;
  if (method == "POST" && (path == "/v1/jobs" || path == "/v1/requests")) {
    auto spec = protocol::DecodeJobRequest(aRequest.body, hooks_.createJobId);
    if (!spec) {
      aRespond(RefusalResponse(400,
                               RefusalCode::eBadRequest,
                               spec.error().field,
                               spec.error().message));
      return;
    }
    hooks_.submit(*std::move(spec), aRespond);
    return;
  }
  if (path.starts_with(kJobs)) {
    HandleJobPath(method, path.substr(kJobs.size()), aRespond);
    return;
  }
  if (path.starts_with(kTemplates)) {
    path.remove_prefix(kTemplates.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eTemplate, std::string(path) },
                   aRespond);
    return;
  }
  if (path.starts_with(kOrganisations)) {
    path.remove_prefix(kOrganisations.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eOrganisation, std::string(path) },
                   aRespond);
    return;
  }
  if (method == "POST" && path.starts_with(kShards) &&
      path.ends_with(kRecover)) {
    path.remove_prefix(kShards.size());
    path.remove_suffix(kRecover.size());
    HandleRecovery(path, aRespond);
    return;
  }
  if (method == "POST" && path.starts_with(kWorkers) &&
      path.ends_with(kDrain)) {
    path.remove_prefix(kWorkers.size());
    path.remove_suffix(kDrain.size());
    hooks_.drainWorker(std::string(path), aRespond);
    return;
  }
  if (method == "GET" && path == "/v1/configuration") {
    hooks_.showConfiguration(aRespond);
  } else if (method == "GET" && path == "/v1/workers") {
    hooks_.showWorkers(aRespond);
  } else if (method == "GET" && path == "/v1/status") {
    hooks_.showStatus(aRespond);
  } else if (method == "GET" && path == "/metrics") {
    hooks_.showMetrics(aRespond);
  } else {
    RefuseUnknownPath(aRespond);
  }
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
    aRespond(RefusalResponse(
      405, RefusalCode::eBadRequest, "", "allowed methods are PUT and DELETE"));
  }
}

void
EntryRoutes::HandleRecovery(std::string_view aShard,
                            const HttpResponder& aRespond) const
{
  std::uint32_t shard = 0;
  const char* end = aShard.data() + aShard.size();
  auto [next, error] = std::from_chars(aShard.data(), end, shard);
  if (error != std::errc() || next != end) {
    aRespond(RefusalResponse(
      400, RefusalCode::eBadRequest, "shard", "must be a shard number"));
    return;
  }
  if (!hooks_.recoverShard) {
    RefuseUnknownPath(aRespond);
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
    RefuseUnknownPath(aRespond);
    return;
  }
  std::string organisation(aPath.substr(0, slash));
  if (!state::IsValidName(organisation)) {
    aRespond(RefusalResponse(
      400, RefusalCode::eBadRequest, "organisation", state::kNameRule));
    return;
  }
  auto id = state::JobId::Parse(aPath.substr(slash + 1));
  if (!id) {
    aRespond(RefusalResponse(
      400, RefusalCode::eBadRequest, id.error().field, id.error().message));
    return;
  }
  if (aMethod == "GET") {
    hooks_.queryJob({ std::move(organisation), *id }, aRespond);
  } else if (aMethod == "DELETE") {
    hooks_.cancelJob({ std::move(organisation), *id }, aRespond);
  } else {
    aRespond(RefusalResponse(
      405, RefusalCode::eBadRequest, "", "allowed methods are GET and DELETE"));
  }
}

}
