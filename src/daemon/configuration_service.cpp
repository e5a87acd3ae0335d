#include "daemon/configuration_service.h"

#include <boost/asio/post.hpp>

#include "daemon/entry_routes.h"
#include "protocol/log_record_json.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using transport::HttpResponder;
using transport::HttpResponse;

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 50 };

tl::expected<LogContent, CoordinationError>
DecodeRecord(std::string_view aData)
{
  auto content = protocol::DecodeLogContent(aData);
  if (!content) {
    return tl::unexpected(CoordinationError{ state::RefusalCode::eBadRequest,
                                             content.error().field + ": " +
                                               content.error().message });
  }
  return *std::move(content);
}

}

ConfigurationService::ConfigurationService(
  transport::TrafficPool& aTraffic,
  transport::ControlThread& aControl,
  const state::Clock& aClock,
  const std::string& aLogAddress,
  ConfigurationFollowerSettings aSettings,
  ConfigurationServiceHooks aHooks)
  : traffic_(aTraffic)
  , control_(aControl)
  , hooks_(std::move(aHooks))
{
  aSettings.hasLog = !aLogAddress.empty();
  if (aSettings.hasLog) {
    log_ = std::make_unique<LogClient>(
      aTraffic, aControl, *transport::ParseEndpoint(aLogAddress));
  }
  follower_ =
    std::make_unique<ConfigurationFollower>(aClock, aSettings, MakeHooks());
}

void
ConfigurationService::Start()
{
  control_.Every(kTickPeriod, [this] { follower_->Tick(); });
}

ConfigurationFollowerHooks
ConfigurationService::MakeHooks()
{
  ConfigurationFollowerHooks hooks;
  hooks.readLog = [this](std::uint64_t aFrom, std::uint32_t aLimit) {
    log_->Read(aFrom, aLimit, [this](std::optional<LogPage> aPage) {
      aPage ? follower_->OnLogPage(*aPage) : follower_->OnLogReadFailed();
    });
  };
  hooks.appendLog =
    [this](std::uint64_t aTicket, std::uint64_t aOffset, std::string aData) {
      log_->Append(
        aOffset, std::move(aData), [this, aTicket](AppendStatus aStatus) {
          follower_->OnAppended(aTicket, aStatus);
        });
    };
  hooks.pullFromPeer = [this](const state::ProcessId& aPeer,
                              ConfigurationPull aPull) {
    hooks_.send(aPeer, aPull);
  };
  hooks.decode = DecodeRecord;
  hooks.encode = protocol::EncodeLogContent;
  hooks.documentChanged = [this](const state::ConfigurationChange& aChange) {
    transport::LogEvent(transport::events::kConfigurationApplied,
                        "kind={} name={} deleted={} version={}",
                        aChange.key.kind == state::ConfigurationKind::eTemplate
                          ? "template"
                          : "organisation",
                        aChange.key.name,
                        aChange.IsDeletion(),
                        follower_->Version());
    if (hooks_.changed) {
      hooks_.changed(aChange);
    }
  };
  hooks.ownershipRecord = [this](const OwnershipRecord& aRecord) {
    if (hooks_.ownershipRecord) {
      hooks_.ownershipRecord(aRecord);
    }
  };
  hooks.activatedRecord = [this](const OwnershipActivated& aRecord) {
    if (hooks_.activatedRecord) {
      hooks_.activatedRecord(aRecord);
    }
  };
  hooks.badRecord = [](std::uint64_t aOffset, const CoordinationError& aError) {
    transport::LogEvent(transport::events::kConfigurationRefused,
                        "offset={} reason={}",
                        aOffset,
                        transport::QuoteValue(aError.message));
  };
  hooks.logAvailable = [](bool aAvailable) {
    transport::LogEvent(aAvailable ? transport::events::kLogOutageEnded
                                   : transport::events::kLogOutageBegan,
                        "source=platform_log");
  };
  hooks.random = [] { return CreateProcessId().low; };
  return hooks;
}

bool
ConfigurationService::OnPeerMessage(const state::ProcessId& aFrom,
                                    const PeerMessage& aMessage)
{
  if (const auto* pull = std::get_if<ConfigurationPull>(&aMessage)) {
    hooks_.send(aFrom, follower_->OnPull(*pull));
    return true;
  }
  if (const auto* records = std::get_if<ConfigurationRecords>(&aMessage)) {
    follower_->OnRecords(aFrom, *records);
    return true;
  }
  return false;
}

void
ConfigurationService::HandlePut(const state::ConfigurationKey& aKey,
                                const std::string& aBody,
                                const HttpResponder& aRespond)
{
  Publish(
    protocol::DecodePublication(aKey, CreateProcessId().ToString(), aBody),
    aRespond);
}

void
ConfigurationService::HandleDelete(const state::ConfigurationKey& aKey,
                                   const std::string& aBody,
                                   const HttpResponder& aRespond)
{
  Publish(protocol::DecodeDeletion(aKey, CreateProcessId().ToString(), aBody),
          aRespond);
}

void
ConfigurationService::HandleShow(const HttpResponder& aRespond)
{
  control_.Post([this, respond = aRespond] {
    protocol::ConfigurationView view;
    view.version = follower_->Version();
    view.logAvailable = follower_->LogAvailable();
    view.badRecords = follower_->BadRecords();
    view.entries = follower_->Fold().Documents().All();
    if (hooks_.processVersions) {
      view.processes = hooks_.processVersions();
    }
    boost::asio::post(traffic_.Context(), [respond, view = std::move(view)] {
      respond({ 200, protocol::EncodeConfigurationView(view) });
    });
  });
}

void
ConfigurationService::Publish(
  tl::expected<state::ConfigurationChange, protocol::ProtocolError> aChange,
  const HttpResponder& aRespond)
{
  if (!aChange) {
    aRespond(RefusalResponse(400,
                             state::RefusalCode::eBadRequest,
                             aChange.error().field,
                             aChange.error().message));
    return;
  }
  control_.Post([this, change = *std::move(aChange), respond = aRespond] {
    follower_->Publish(
      change,
      [this, respond, id = change.changeId](const PublishOutcome& aOutcome) {
        boost::asio::post(traffic_.Context(), [respond, id, aOutcome] {
          HttpResponse response;
          response.status = protocol::HttpStatus(aOutcome);
          response.body = protocol::EncodePublishOutcome(id, aOutcome);
          respond(std::move(response));
        });
      });
  });
}

}
