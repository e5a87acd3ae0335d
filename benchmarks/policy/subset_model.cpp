#include "policy/subset_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "coordination/dispatch/report_period.h"
#include "coordination/subset/entry_choice.h"
#include "coordination/subset/rendezvous_hash.h"

namespace greengage::policy {

using namespace coordination;

namespace {

/** Length of a step; orders and reports take one step to arrive. */
constexpr double kStepMs = 5;
constexpr double kDurationMs = 6000;
/** The users' tasks need 3.8 of 16 cores. */
constexpr int kSlots = 4;
/** Processor time of an entry, in ms of a whole core. */
constexpr double kReportCostMs = 0.03;
constexpr double kPlacementCostMs = 0.05;
constexpr double kPlacementCostPerServerMs = 0.0003;
constexpr double kRefusalCostMs = 0.1;
constexpr double kTaskCostMs = 0.2;
/** Cores of the entries, in turn. */
constexpr double kCores[] = { 0.09, 0.5, 0.25, 0.09, 0.16 };
/** Preference for servers in the own data centre, in free slots. */
constexpr double kLocalBonus = 0.5;

struct TaskKind
{
  double workMs;
  /** Share of all tasks. */
  double share;
  /** Longest wait that does not miss the objective. */
  double waitLimitMs;
};

constexpr TaskKind kKinds[] = { { 60, 0.55, 90 },
                                { 200, 0.4, 180 },
                                { 900, 0.05, 600 } };

struct Task
{
  std::size_t kind = 0;
  double arrivedAt = 0;
};

struct Server
{
  ProcessInfo agent;
  std::vector<double> busyUntil;
  bool isUp = true;
  int freeSlots = kSlots;
  /** Entries that know the server. */
  std::vector<std::size_t> entries;
  std::size_t nextOffer = 0;
};

struct KnownServer
{
  std::size_t server = 0;
  bool isLocal = false;
  int believedFree = 0;
  double reportedAt = -1e9;
};

struct Entry
{
  ProcessInfo info;
  double cores = 0;
  /** Processor time that is left; negative while the entry is behind. */
  double budgetMs = 0;
  double reportPeriodMs = 0;
  std::vector<KnownServer> known;
  std::deque<Task> waiting;
};

class SubsetSimulation
{
public:
  SubsetSimulation(SubsetKind aKind, const SubsetScenario& aScenario)
    : kind_(aKind)
    , scenario_(aScenario)
    , random_(aScenario.seed)
  {
    AddProcesses();
    Connect();
  }

  SubsetResult Run()
  {
    for (now_ = 0; now_ < kDurationMs; now_ += kStepMs) {
      LoseDataCentre();
      EndTasks();
      SendReports();
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        AddArrivals(i);
      }
      PlaceTasks();
    }
    return Summarise();
  }

private:
  ProcessInfo Describe(ProcessRole aRole, unsigned aNumber)
  {
    ProcessInfo info;
    info.id = { random_(), random_() };
    info.role = aRole;
    info.dataCentre = std::to_string(aNumber % scenario_.dataCentres);
    info.peerAddress = fmt::format(
      "10.{}.{}.{}", static_cast<int>(aRole), info.dataCentre, random_());
    return info;
  }

  void AddProcesses()
  {
    for (unsigned i = 0; i < scenario_.entries; ++i) {
      Entry entry;
      entry.info = Describe(ProcessRole::eEntry, i);
      entry.cores = kCores[(i / scenario_.dataCentres) % std::size(kCores)];
      entries_.push_back(std::move(entry));
    }
    for (unsigned i = 0; i < scenario_.agents; ++i) {
      Server server;
      server.agent = Describe(ProcessRole::eAgent, i);
      server.nextOffer = i;
      servers_.push_back(std::move(server));
    }
  }

  void Connect()
  {
    std::vector<ProcessInfo> infos;
    std::map<state::ProcessId, std::size_t> indexes;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      infos.push_back(entries_[i].info);
      indexes[entries_[i].info.id] = i;
    }
    std::size_t count = EntriesPerServer(entries_.size(), servers_.size());
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (kind_ == SubsetKind::eAgentChooses) {
        for (const auto& id : ChooseEntries(servers_[i].agent, infos, count)) {
          Connect(indexes.at(id), i);
        }
      } else if (kind_ != SubsetKind::eEntryChooses) {
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
          Connect(entry, i);
        }
      }
    }
    if (kind_ == SubsetKind::eEntryChooses) {
      ConnectByEntries();
    }
    for (Entry& entry : entries_) {
      auto local = static_cast<std::size_t>(std::count_if(
        entry.known.begin(), entry.known.end(), [](const auto& aKnown) {
          return aKnown.isLocal;
        }));
      entry.reportPeriodMs = static_cast<double>(
        ReportPeriod(entry.cores, local, entry.known.size() - local).count());
    }
  }

  void Connect(std::size_t aEntry, std::size_t aServer)
  {
    Entry& entry = entries_[aEntry];
    bool isLocal = entry.info.dataCentre == servers_[aServer].agent.dataCentre;
    entry.known.push_back({ aServer, isLocal, 0, -1e9 });
    servers_[aServer].entries.push_back(aEntry);
  }

  void ConnectByEntries()
  {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
      for (std::size_t server = 0; server < servers_.size(); ++server) {
        ranked.emplace_back(RendezvousHash(entries_[i].info.peerAddress,
                                           servers_[server].agent.peerAddress),
                            server);
      }
      std::sort(ranked.begin(), ranked.end());
      for (std::size_t k = 0; k < std::min(kServersPerEntry, ranked.size());
           ++k) {
        Connect(i, ranked[k].second);
      }
    }
  }

  void LoseDataCentre()
  {
    if (!scenario_.losesDataCentre || now_ < kDurationMs / 2) {
      return;
    }
    for (Server& server : servers_) {
      bool isLost =
        server.agent.dataCentre == std::to_string(scenario_.dataCentres - 1);
      server.isUp = server.isUp && !isLost;
    }
  }

  void EndTasks()
  {
    for (Server& server : servers_) {
      std::erase_if(server.busyUntil,
                    [this](double aUntil) { return aUntil <= now_; });
      int used = static_cast<int>(server.busyUntil.size());
      server.freeSlots = server.isUp ? kSlots - used : 0;
    }
  }

  void SendReports()
  {
    if (kind_ == SubsetKind::eOffersSlots) {
      OfferSlots();
      return;
    }
    for (Entry& entry : entries_) {
      for (KnownServer& known : entry.known) {
        double period =
          entry.reportPeriodMs * (known.isLocal ? 1 : kRemoteReportPeriods);
        if (now_ - known.reportedAt < period || entry.budgetMs < 0) {
          continue;
        }
        if (known.isLocal && entry.cores < 0.1) {
          ages_ += now_ - std::max(known.reportedAt, 0.0);
          ++ageCount_;
        }
        known.reportedAt = now_;
        known.believedFree = servers_[known.server].freeSlots;
        Charge(entry, kReportCostMs);
      }
    }
  }

  /** Each server with free slots offers them to the next entry in turn. */
  void OfferSlots()
  {
    for (Entry& entry : entries_) {
      for (KnownServer& known : entry.known) {
        known.believedFree = 0;
      }
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = servers_[i];
      if (server.freeSlots <= 0) {
        continue;
      }
      Entry& entry = entries_[server.nextOffer++ % entries_.size()];
      entry.known[i].believedFree = server.freeSlots;
      Charge(entry, kReportCostMs);
    }
  }

  void AddArrivals(std::size_t aEntry)
  {
    Entry& entry = entries_[aEntry];
    entry.budgetMs =
      std::min(entry.budgetMs + entry.cores * kStepMs, entry.cores * kStepMs);
    double meanWork = 0;
    for (const TaskKind& kind : kKinds) {
      meanWork += kind.workMs * kind.share;
    }
    double rate = scenario_.load * kSlots *
                  static_cast<double>(servers_.size()) / meanWork /
                  static_cast<double>(entries_.size());
    if (entry.info.dataCentre == "0") {
      rate *= scenario_.shift;
    }
    if (now_ >= kDurationMs / 3 && now_ < kDurationMs * 2 / 3) {
      rate *= scenario_.burst;
    }
    int arrivals = std::poisson_distribution<int>(rate * kStepMs)(random_);
    for (int i = 0; i < arrivals; ++i) {
      double pick = std::uniform_real_distribution<>(0, 1)(random_);
      std::size_t kind = pick < kKinds[0].share                     ? 0
                         : pick < kKinds[0].share + kKinds[1].share ? 1
                                                                    : 2;
      entry.waiting.push_back({ kind, now_ });
    }
  }

  void PlaceTasks()
  {
    // Entries place their tasks in a random order in each step.
    std::vector<std::size_t> order(entries_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t i : order) {
      Entry& entry = entries_[i];
      while (!entry.waiting.empty() && entry.budgetMs > 0 && PlaceOne(entry)) {
      }
    }
  }

  /** Returns false if the entry knows no server with a free slot. */
  bool PlaceOne(Entry& aEntry)
  {
    KnownServer* best = nullptr;
    double bestScore = 0;
    for (KnownServer& known : aEntry.known) {
      double score = known.believedFree + (known.isLocal ? kLocalBonus : 0) +
                     std::uniform_real_distribution<>(0, 0.4)(random_);
      if (known.believedFree > 0 && (!best || score > bestScore)) {
        best = &known;
        bestScore = score;
      }
    }
    if (!best) {
      return false;
    }
    Charge(aEntry,
           kPlacementCostMs + kPlacementCostPerServerMs *
                                static_cast<double>(aEntry.known.size()));
    Server& server = servers_[best->server];
    if (server.freeSlots <= 0) {
      ++refusals_;
      best->believedFree = 0;
      Charge(aEntry, kRefusalCostMs);
      return true;
    }
    Task task = aEntry.waiting.front();
    aEntry.waiting.pop_front();
    --best->believedFree;
    --server.freeSlots;
    server.busyUntil.push_back(now_ + kKinds[task.kind].workMs);
    Charge(aEntry, kTaskCostMs);
    double wait = now_ - task.arrivedAt;
    waits_.push_back(wait);
    late_ += wait > kKinds[task.kind].waitLimitMs ? 1 : 0;
    return true;
  }

  void Charge(Entry& aEntry, double aMs)
  {
    aEntry.budgetMs -= aMs;
    cost_ += aMs;
  }

  SubsetResult Summarise()
  {
    SubsetResult result;
    for (const Entry& entry : entries_) {
      result.mostServers =
        std::max(result.mostServers, static_cast<unsigned>(entry.known.size()));
      // Tasks that were never placed are late.
      for (const Task& task : entry.waiting) {
        waits_.push_back(now_ - task.arrivedAt);
        late_ += now_ - task.arrivedAt > kKinds[task.kind].waitLimitMs ? 1 : 0;
      }
    }
    std::sort(waits_.begin(), waits_.end());
    double tasks = static_cast<double>(waits_.size());
    for (double wait : waits_) {
      result.meanWaitMs += wait / tasks;
    }
    result.p99WaitMs = waits_[static_cast<std::size_t>(tasks * 0.99)];
    result.lateShare = static_cast<double>(late_) / tasks;
    result.refusals = static_cast<double>(refusals_) / tasks;
    result.entryCostMs = cost_ / tasks;
    result.reportAgeMs =
      ageCount_ == 0 ? 0 : ages_ / static_cast<double>(ageCount_);
    return result;
  }

  SubsetKind kind_;
  SubsetScenario scenario_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::vector<Entry> entries_;
  std::vector<Server> servers_;
  std::vector<double> waits_;
  std::size_t late_ = 0;
  std::size_t refusals_ = 0;
  double cost_ = 0;
  double ages_ = 0;
  std::size_t ageCount_ = 0;
};

}

std::string
ToString(SubsetKind aKind)
{
  switch (aKind) {
    case SubsetKind::eFullMesh:
      return "full_mesh";
    case SubsetKind::eAgentChooses:
      return "agent_chooses";
    case SubsetKind::eEntryChooses:
      return "entry_chooses";
    case SubsetKind::eOffersSlots:
      return "offers_slots";
  }
  return "unknown";
}

SubsetResult
SimulateSubset(SubsetKind aKind, const SubsetScenario& aScenario)
{
  return SubsetSimulation(aKind, aScenario).Run();
}

}
