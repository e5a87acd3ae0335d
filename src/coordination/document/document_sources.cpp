#include "coordination/document/document_sources.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;

bool
KeepsDocument(const ProcessInfo& aProcess, const Processes& aOthers)
{
  if (aProcess.role == ProcessRole::eEntry) {
    return true;
  }
  auto lower =
    std::count_if(aOthers.begin(), aOthers.end(), [&](const auto& aOther) {
      const ProcessInfo& other = aOther.second;
      return other.role == ProcessRole::eAgent &&
             other.dataCentre == aProcess.dataCentre && other.id < aProcess.id;
    });
  return static_cast<std::size_t>(lower) < kKeepersPerDataCentre;
}

std::vector<ProcessId>
DocumentSources(const ProcessInfo& aSelf, const Processes& aOthers)
{
  std::map<std::string, std::size_t> keepers;
  std::vector<ProcessId> sources;
  // The order of the ids makes the first agents of a data centre its keepers.
  for (const auto& [id, process] : aOthers) {
    bool isKeeper = process.role == ProcessRole::eAgent &&
                    keepers[process.dataCentre]++ < kKeepersPerDataCentre;
    bool isSource = process.role == ProcessRole::eEntry ||
                    (isKeeper && aSelf.role == ProcessRole::eEntry);
    if (isSource && id != aSelf.id) {
      sources.push_back(id);
    }
  }
  return sources;
}

std::vector<ProcessId>
DocumentKeepersNear(const ProcessInfo& aSelf, const Processes& aOthers)
{
  std::vector<ProcessId> keepers;
  for (const auto& [id, process] : aOthers) {
    bool isNear = process.role == ProcessRole::eAgent &&
                  process.dataCentre == aSelf.dataCentre &&
                  aSelf.role == ProcessRole::eEntry;
    if (isNear && keepers.size() < kKeepersPerDataCentre) {
      keepers.push_back(id);
    }
  }
  return keepers;
}

std::vector<ProcessId>
DocumentContacts(const ProcessInfo& aSelf, const Processes& aOthers)
{
  auto contacts = DocumentSources(aSelf, aOthers);
  auto next = std::upper_bound(contacts.begin(), contacts.end(), aSelf.id);
  std::rotate(contacts.begin(), next, contacts.end());
  contacts.resize(std::min(contacts.size(), kDocumentContacts));
  return contacts;
}

}
