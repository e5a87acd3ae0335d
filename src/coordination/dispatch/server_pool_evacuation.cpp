#include "coordination/dispatch/server_pool.h"

#include <algorithm>

// Servers in data centres that are evacuated.
namespace greengage::coordination {

void
ServerPool::SetEvacuated(std::set<std::string> aDataCentres)
{
  evacuated_ = std::move(aDataCentres);
}

bool
ServerPool::FitsOnlyEvacuated(const PlacementRequest& aRequest) const
{
  if (evacuated_.empty() || HasFittedBefore(aRequest)) {
    return false;
  }
  return std::any_of(
    servers_.begin(), servers_.end(), [&](const auto& aServer) {
      return IsEvacuated(aServer.second) &&
             IsMatching(aServer.second, aRequest) &&
             Fits(aRequest.need, aServer.second.largestCapacity);
    });
}

bool
ServerPool::HasEvacuatedServer() const
{
  return std::any_of(
    servers_.begin(), servers_.end(), [this](const auto& aServer) {
      return aServer.second.description && IsEvacuated(aServer.second);
    });
}

}
