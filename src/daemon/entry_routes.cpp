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

constexpr std::string_view kJobsPrefix = "/v1/jobs/";
constexpr std::string_view kTemplatesPrefix = "/v1/templates/";
constexpr std::string_view kOrganisationsPrefix = "/v1/organisations/";
constexpr std::string_view kWorkersPrefix = "/v1/workers/";
constexpr std::string_view kDrainSuffix = "/drain";
constexpr std::string_view kShardsPrefix = "/v1/shards/";
constexpr std::string_view kRecoverSuffix = "/recover";

using ShowHook = std::function<void(HttpResponder)>;

constexpr std::string_view kUnknownPathMessage = "there is no such resource";

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
  } else if (path.starts_with(kJobsPrefix)) {
    HandleJobPath(aRequest.method, path.substr(kJobsPrefix.size()), aRespond);
  } else if (path.starts_with(kTemplatesPrefix)) {
    path.remove_prefix(kTemplatesPrefix.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eTemplate, std::string(path) },
                   aRespond);
  } else if (path.starts_with(kOrganisationsPrefix)) {
    path.remove_prefix(kOrganisationsPrefix.size());
    HandleDocument(std::move(aRequest),
                   { ConfigurationKind::eOrganisation, std::string(path) },
                   aRespond);
  } else if (path.starts_with(kShardsPrefix)) {
    path.remove_prefix(kShardsPrefix.size());
    HandleShardPath(aRequest.method, path, aRespond);
  } else if (path.starts_with(kWorkersPrefix)) {
    path.remove_prefix(kWorkersPrefix.size());
    HandleWorkerPath(aRequest.method, path, aRespond);
  } else {
    HandleReadOnlyPath(aRequest.method, path, aRespond);
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
  if (!aPath.ends_with(kDrainSuffix) || !hooks_.drainWorker) {
    Refuse(aRespond, 404, "", kUnknownPathMessage);
    return;
  }
  if (aMethod != "POST") {
    Refuse(aRespond, 405, "", "the allowed method is POST");
    return;
  }
  aPath.remove_suffix(kDrainSuffix.size());
  hooks_.drainWorker(std::string(aPath), aRespond);
}

void
EntryRoutes::HandleReadOnlyPath(const std::string& aMethod,
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
      Refuse(aRespond, 404, "", kUnknownPathMessage);
    } else {
      show(aRespond);
    }
    return;
  }
  Refuse(aRespond, 404, "", kUnknownPathMessage);
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
  if (!aPath.ends_with(kRecoverSuffix)) {
    Refuse(aRespond, 404, "", kUnknownPathMessage);
    return;
  }
  if (aMethod != "POST") {
    Refuse(aRespond, 405, "", "the allowed method is POST");
    return;
  }
  aPath.remove_suffix(kRecoverSuffix.size());
  std::uint32_t shard = 0;
  const char* end = aPath.data() + aPath.size();
  auto [next, error] = std::from_chars(aPath.data(), end, shard);
  if (error != std::errc() || next != end) {
    Refuse(aRespond, 400, "shard", "must be a shard number");
    return;
  }
  if (!hooks_.recoverShard) {
    Refuse(aRespond, 404, "", kUnknownPathMessage);
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
    Refuse(aRespond, 404, "", kUnknownPathMessage);
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
