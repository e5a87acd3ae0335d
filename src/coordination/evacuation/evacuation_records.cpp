#include "coordination/evacuation/evacuation_records.h"

namespace greengage::coordination {

using state::EvacuationState;

EvacuationState
WithRecords(EvacuationState aState,
            const std::vector<EvacuationRecord>& aRecords,
            std::uint64_t aRevision)
{
  for (const EvacuationRecord& record : aRecords) {
    if (record.dataCentre.empty() ||
        record.dataCentre.size() > kMaxDataCentreBytes) {
      continue;
    }
    if (record.isRequested) {
      aState.dataCentres.insert(record.dataCentre);
    } else {
      aState.dataCentres.erase(record.dataCentre);
    }
  }
  aState.revision = aRevision;
  return aState;
}

EvacuationState
Limited(const EvacuationState& aState)
{
  EvacuationState limited{ aState.revision, {} };
  for (const std::string& dataCentre : aState.dataCentres) {
    if (limited.dataCentres.size() == kMaxEvacuatedDataCentres) {
      break;
    }
    limited.dataCentres.insert(dataCentre);
  }
  return limited;
}

}
