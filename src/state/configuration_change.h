#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "state/organisation_parameters.h"
#include "state/work_template.h"

namespace greengage::state {

enum class ConfigurationKind : std::uint8_t
{
  eTemplate,
  eOrganisation,
};

/** Identifies a document that operators publish. */
struct ConfigurationKey
{
  ConfigurationKind kind = ConfigurationKind::eTemplate;
  std::string name;

  auto operator<=>(const ConfigurationKey&) const = default;
};

/** A document; std::monostate stands for a deleted one. */
using ConfigurationDocument =
  std::variant<std::monostate, WorkTemplate, OrganisationParameters>;

/** One change by an operator, as stored in the platform's log. */
struct ConfigurationChange
{
  /**
   * Unique per change. A writer that did not receive the answer to its append
   * uses the ID to find the record in the log.
   */
  std::string changeId;
  ConfigurationKey key;
  /** Version of the key that the change is based on; 0 if it was not live. */
  std::uint64_t baseVersion = 0;
  ConfigurationDocument document;

  bool IsDeletion() const
  {
    return std::holds_alternative<std::monostate>(document);
  }

  bool operator==(const ConfigurationChange&) const = default;
};

}
