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
 * Decodes the document of a template or of organisation parameters. Missing
 * fields have their default value. aPath is the prefix of field names in
 * errors.
 */
tl::expected<state::ConfigurationDocument, ProtocolError>
DecodeDocument(const state::ConfigurationKey& aKey,
               const boost::json::value& aValue,
               const std::string& aPath);

/** Encodes the document as a JSON object with all fields. */
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

/** Decodes the body of the corresponding DELETE: `base_version` or empty. */
tl::expected<state::ConfigurationChange, ProtocolError>
DecodeDeletion(const state::ConfigurationKey& aKey,
               std::string aChangeId,
               std::string_view aBody);

/** Encodes the body of the response to a publication. */
std::string
EncodePublishOutcome(const std::string& aChangeId,
                     const coordination::PublishOutcome& aOutcome);

/** Returns the HTTP status code for a publication. */
unsigned
HttpStatus(const coordination::PublishOutcome& aOutcome);

/** Configuration version of one known process. */
struct ProcessVersion
{
  coordination::ProcessInfo process;
  std::uint64_t version = 0;

  auto operator<=>(const ProcessVersion&) const = default;
};

/** Content of the response to `GET /v1/configuration`. */
struct ConfigurationView
{
  std::uint64_t version = 0;
  /** False while the platform's log does not respond. */
  bool logAvailable = false;
  /** Number of records of the log that could not be decoded. */
  std::uint64_t badRecords = 0;
  state::ConfigurationStore::Entries entries;
  std::vector<ProcessVersion> processes;

  bool operator==(const ConfigurationView&) const = default;
};

std::string
EncodeConfigurationView(const ConfigurationView& aView);

}
