#include "coordination/subset/news_relay.h"

#include <memory>
#include <random>

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"
#include "coordination/subset/entry_choice.h"

// Crashes of servers that an entry does not know. Guards against an entry that
// starts a task again that crashed a server of other entries.
namespace greengage::coordination {
namespace {

using state::ProcessId;
using std::chrono::milliseconds;

/** Entries that pass on crash news; messages take 5 ms or are lost. */
class RelayFleet
{
public:
  RelayFleet(unsigned aEntries, double aLossShare, std::uint64_t aSeed)
    : lossShare_(aLossShare)
    , random_(aSeed)
  {
    for (unsigned i = 0; i < aEntries; ++i) {
      Add();
    }
  }

  ProcessId Add()
  {
    ProcessId id{ random_(), random_() };
    auto relay = std::make_unique<NewsRelay>(
      clock_, [this](const ProcessId& aEntry, const EntryNews& aNews) {
        ++messages_;
        bool lost =
          std::uniform_real_distribution<>(0, 1)(random_) < lossShare_;
        if (!lost) {
          inFlight_.emplace_back(time_ + milliseconds(5),
                                 std::pair{ aEntry, aNews });
        }
      });
    relay->SetSelf(id);
    for (auto& [other, node] : nodes_) {
      relay->OnEntry(other);
      node.relay->OnEntry(id);
    }
    nodes_[id].relay = std::move(relay);
    ids_.push_back(id);
    return id;
  }

  void Report(unsigned aEntry, std::uint64_t aNumber)
  {
    ServerCrash crash{ aNumber, 0, {} };
    Receive(ids_[aEntry], { kAgent, crash });
  }

  void RunFor(milliseconds aTime)
  {
    for (auto end = time_ + aTime; time_ < end;) {
      time_ += milliseconds(5);
      const auto messages = std::exchange(inFlight_, {});
      for (const auto& message : messages) {
        if (message.first > time_) {
          inFlight_.push_back(message);
          continue;
        }
        const auto& [entry, news] = message.second;
        for (const ReportedCrash& item : news.crashes) {
          Receive(entry, item);
        }
      }
      if (time_ % milliseconds(25) == milliseconds(0)) {
        for (auto& [id, node] : nodes_) {
          node.relay->Tick();
        }
      }
    }
  }

  /** Returns the number of entries that know the crash. */
  std::size_t Informed(std::uint64_t aNumber) const
  {
    std::size_t count = 0;
    for (const auto& [id, node] : nodes_) {
      count += node.known.contains(aNumber) ? 1 : 0;
    }
    return count;
  }

  bool Knows(const ProcessId& aEntry, std::uint64_t aNumber) const
  {
    return nodes_.at(aEntry).known.contains(aNumber);
  }
  std::size_t Messages() const { return messages_; }

private:
  static constexpr ProcessId kAgent{ 3, 3 };

  struct Node
  {
    std::unique_ptr<NewsRelay> relay;
    std::set<std::uint64_t> known;
  };

  void Receive(const ProcessId& aEntry, const ReportedCrash& aItem)
  {
    Node& node = nodes_.at(aEntry);
    node.known.insert(aItem.crash.number);
    node.relay->OnCrash(aItem.agent, aItem.crash);
  }

  double lossShare_;
  std::mt19937_64 random_;
  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::map<ProcessId, Node> nodes_;
  std::vector<ProcessId> ids_;
  std::vector<std::pair<milliseconds, std::pair<ProcessId, EntryNews>>>
    inFlight_;
  std::size_t messages_ = 0;
};

// Callers submit a job again 1.3 s after a broken attempt, at any entry.
TEST(NewsRelayTest, EveryEntryKnowsACrashBeforeItsJobsReturn)
{
  for (unsigned entries : { 13u, 55u, 190u }) {
    RelayFleet fleet(entries, 0, 1);
    fleet.Report(4, 1);
    fleet.RunFor(milliseconds(1000));
    EXPECT_EQ(fleet.Informed(1), entries);
    // Each entry sends one message to each of its contacts.
    EXPECT_LE(fleet.Messages(), entries * 8u);
  }
}

// Guards against entries that miss a crash because one connection is lost.
TEST(NewsRelayTest, LostMessagesDoNotHideACrash)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    RelayFleet fleet(55, 0.1, seed);
    // Agents report to at least six entries.
    for (unsigned entry = 0; entry < kMinEntriesPerServer; ++entry) {
      fleet.Report(entry * 9, 1);
    }
    fleet.RunFor(milliseconds(1000));
    EXPECT_EQ(fleet.Informed(1), 55u) << "seed " << seed;
  }
}

// Guards against a restarted entry that does not know the last crashes.
TEST(NewsRelayTest, NewEntriesGetRecentCrashes)
{
  RelayFleet fleet(20, 0, 1);
  for (std::uint64_t number = 1; number <= 100; ++number) {
    fleet.Report(0, number);
  }
  fleet.RunFor(milliseconds(2000));
  ProcessId added = fleet.Add();
  fleet.RunFor(milliseconds(1000));
  EXPECT_TRUE(fleet.Knows(added, 1));
  EXPECT_TRUE(fleet.Knows(added, 100));
  fleet.RunFor(milliseconds(31'000));
  ProcessId late = fleet.Add();
  fleet.RunFor(milliseconds(1000));
  EXPECT_FALSE(fleet.Knows(late, 100));
}

// Guards against news that circulate without end, and against messages in a
// fleet in which every agent reports to every entry.
TEST(NewsRelayTest, NewsEnd)
{
  RelayFleet small(kMaxEntriesPerServer, 0, 1);
  small.Report(0, 1);
  small.RunFor(milliseconds(1000));
  EXPECT_EQ(small.Messages(), 0u);
  RelayFleet large(55, 0, 1);
  large.Report(0, 1);
  large.RunFor(milliseconds(1000));
  std::size_t messages = large.Messages();
  large.RunFor(milliseconds(100'000));
  EXPECT_EQ(large.Messages(), messages);
}

}
}
