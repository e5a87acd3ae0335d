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

/** Names one document that operators publish. */
struct ConfigurationKey
{
  ConfigurationKind kind = ConfigurationKind::eTemplate;
  std::string name;

  auto operator<=>(const ConfigurationKey&) const = default;
};

/** A document; std::monostate stands for a deleted one. */
using ConfigurationDocument =
  std::variant<std::monostate, WorkTemplate, OrganisationParameters>;

/** One change that an operator made, as the log holds it. */
struct ConfigurationChange
{
  /** Unique per change; lets a writer find its record after a lost answer. */
  std::string changeId;
  ConfigurationKey key;
  /** Version of the key that the change was made from; 0: not live. */
  std::uint64_t baseVersion = 0;
  ConfigurationDocument document;

  bool IsDeletion() const
  {
    return std::holds_alternative<std::monostate>(document);
  }

  bool operator==(const ConfigurationChange&) const = default;
};

}
