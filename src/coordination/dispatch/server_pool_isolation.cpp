#include "coordination/dispatch/queue_isolation.h"
#include "coordination/dispatch/server_pool.h"

#include <algorithm>

// Queues that are limited to a share of the servers.
namespace greengage::coordination {

namespace {

/**
 * Cost of a server of a limited queue for other queues, in units of log(speed).
 * It exceeds the other costs, so that the server is only used if no other has
 * free capacity.
 */
constexpr double kIsolatedCost = 2;

bool
HasLabel(const std::vector<std::string>& aLabels, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aLabels.begin(), aLabels.end(), aLabel) != aLabels.end();
}

}

void
ServerPool::Isolate(const std::map<std::string, std::string>& aQueues)
{
  isolated_.clear();
  for (const auto& [queue, service] : aQueues) {
    std::set<std::string> labels{ "" };
    for (const auto& [id, server] : servers_) {
      if (server.description && server.description->service == service) {
        labels.insert(server.description->labels.begin(),
                      server.description->labels.end());
      }
    }
    // Tasks that require a label get a share of the servers that have it.
    for (const std::string& label : labels) {
      auto picked = PickIsolatedServers(queue, AddressesOf(service, label));
      if (!picked.empty()) {
        isolated_[{ queue, label }] = std::move(picked);
      }
    }
  }
}

std::vector<std::string>
ServerPool::AddressesOf(const std::string& aService,
                        const std::string& aLabel) const
{
  std::vector<std::string> addresses;
  for (const auto& [id, server] : servers_) {
    // A share of servers that get no runs would block the queue.
    if (server.description && !IsEvacuated(server) &&
        server.description->service == aService &&
        HasLabel(server.description->labels, aLabel)) {
      addresses.push_back(server.agent.peerAddress);
    }
  }
  return addresses;
}

std::size_t
ServerPool::IsolatedServers(const std::string& aQueue) const
{
  auto picked = isolated_.find({ aQueue, "" });
  return picked == isolated_.end() ? 0 : picked->second.size();
}

bool
ServerPool::IsPermitted(const Server& aServer,
                        const PlacementRequest& aRequest) const
{
  if (isolated_.empty()) {
    return true;
  }
  auto picked = isolated_.find({ aRequest.queue, aRequest.requiredLabel });
  return picked == isolated_.end() ||
         picked->second.contains(aServer.agent.peerAddress);
}

double
ServerPool::IsolationCost(const Server& aServer,
                          const PlacementRequest& aRequest) const
{
  bool isOthers =
    std::any_of(isolated_.begin(), isolated_.end(), [&](const auto& aItem) {
      const auto& [queue, label] = aItem.first;
      return queue != aRequest.queue && label.empty() &&
             aItem.second.contains(aServer.agent.peerAddress);
    });
  return isOthers ? kIsolatedCost : 0;
}

}
