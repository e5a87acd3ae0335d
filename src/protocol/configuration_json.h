#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>
#include <tl/expected.hpp>

#include "coordination/configuration/configuration_fold.h"
#include "coordination/configuration/configuration_publisher.h"
#include "protocol/protocol_error.h"
#include "state/configuration_change.h"

namespace greengage::protocol {

/**
 * Decodes the document of a template or of organisation parameters. Fields
 * that are missing have their default; aPath is put before field names.
 */
tl::expected<state::ConfigurationDocument, ProtocolError>
DecodeDocument(const state::ConfigurationKey& aKey,
               const boost::json::value& aValue,
               const std::string& aPath);

/** The document as a JSON object with every field. */
std::string
EncodeDocument(const state::ConfigurationDocument& aDocument);

/**
 * Decodes the body of `PUT /v1/templates/{name}` or
 * `/v1/organisations/{name}`: the fields of the document and `base_version`.
 */
tl::expected<state::ConfigurationChange, ProtocolError>
DecodePublication(const state::ConfigurationKey& aKey,
                  std::string aChangeId,
                  std::string_view aBody);

/** Decodes the body of the corresponding DELETE: `base_version`, or empty. */
tl::expected<state::ConfigurationChange, ProtocolError>
DecodeDeletion(const state::ConfigurationKey& aKey,
               std::string aChangeId,
               std::string_view aBody);

/** Body of the answer to a publication. */
std::string
EncodePublishOutcome(const std::string& aChangeId,
                     const coordination::PublishOutcome& aOutcome);

/** HTTP status for a publication. */
unsigned
HttpStatus(const coordination::PublishOutcome& aOutcome);

/** Configuration version of one known process. */
struct ProcessVersion
{
  coordination::ProcessInfo process;
  std::uint64_t version = 0;

  auto operator<=>(const ProcessVersion&) const = default;
};

/** What `GET /v1/configuration` shows. */
struct ConfigurationView
{
  std::uint64_t version = 0;
  /** False while the platform's log does not answer. */
  bool logAvailable = false;
  std::uint64_t badRecords = 0;
  state::ConfigurationStore::Entries entries;
  std::vector<ProcessVersion> processes;

  bool operator==(const ConfigurationView&) const = default;
};

std::string
EncodeConfigurationView(const ConfigurationView& aView);

}
