#pragma once

#include <cstdint>
#include <string>

namespace greengage::coordination {

/** Asks a peer for a part of the configuration document that it has. */
struct DocumentRequest
{
  /** Version of the requested document; 0: only asks which one is in force. */
  std::uint64_t version = 0;
  /** Position of the part in the document, in bytes. */
  std::uint32_t offset = 0;

  auto operator<=>(const DocumentRequest&) const = default;
};

/**
 * Answer to a DocumentRequest. Documents are sent in parts, one for each
 * request, so that a large one does not delay the other messages on the
 * connection.
 */
struct DocumentPart
{
  /** Version in force at the sender; 0: it has no document. */
  std::uint64_t version = 0;
  /** Size of the whole document in bytes. */
  std::uint32_t totalBytes = 0;
  std::uint32_t offset = 0;
  /**
   * Empty if the sender has another version than the requested one, or if too
   * many peers request parts of it at present.
   */
  std::string bytes;

  auto operator<=>(const DocumentPart&) const = default;
};

}
