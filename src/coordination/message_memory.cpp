#include "coordination/message_memory.h"

namespace greengage::coordination {

namespace {

/** Memory of the items of a list, without what they own. */
template<class Item>
std::size_t
Items(const std::vector<Item>& aItems)
{
  return aItems.size() * sizeof(Item);
}

std::size_t
Owned(const std::vector<ServerCrash>& aCrashes)
{
  std::size_t bytes = Items(aCrashes);
  for (const ServerCrash& crash : aCrashes) {
    bytes += Items(crash.suspects);
  }
  return bytes;
}

std::size_t
Owned(const DispatchOrders& aOrders)
{
  std::size_t bytes =
    Items(aOrders.starts) + Items(aOrders.stops) + Items(aOrders.checks);
  for (const RunBatch& batch : aOrders.starts) {
    bytes += batch.payload.size() + batch.queue.size() + Items(batch.runs);
  }
  return bytes;
}

std::size_t
Owned(const ServerReport& aReport)
{
  return Items(aReport.ends) + Items(aReport.forecasts) +
         Items(aReport.uncertainStarts) + Owned(aReport.crashes) +
         (aReport.holds ? Items(aReport.holds->tasks) : 0);
}

std::size_t
Owned(const EntryNews& aNews)
{
  std::size_t bytes =
    Items(aNews.cancelledJobs) + Items(aNews.crashes) + Items(aNews.holds);
  for (const ReportedCrash& crash : aNews.crashes) {
    bytes += Items(crash.crash.suspects);
  }
  for (const ReportedHolds& holds : aNews.holds) {
    bytes += Items(holds.holds.tasks);
  }
  return bytes;
}

std::size_t
Owned(const ConfigurationCopy& aCopy)
{
  return aCopy.document.size();
}

std::size_t
Owned(const DocumentPart& aPart)
{
  return aPart.bytes.size();
}

std::size_t
Owned(const ConfigurationRecords& aRecords)
{
  std::size_t bytes = Items(aRecords.records);
  for (const ConfigurationRecord& record : aRecords.records) {
    bytes += record.data.size();
  }
  return bytes;
}

std::size_t
Owned(const StartTasks& aStart)
{
  std::size_t bytes = Items(aStart.tasks);
  for (const TaskStart& task : aStart.tasks) {
    bytes += task.payload.size() + task.templateName.size();
  }
  return bytes;
}

std::size_t
Owned(const TaskResults& aResults)
{
  return Items(aResults.records);
}

std::size_t
Owned(const HistoryReply& aReply)
{
  return Items(aReply.records);
}

/** All other messages own a bounded amount. */
template<class Message>
std::size_t
Owned(const Message&)
{
  return 0;
}

}

std::size_t
MemoryOf(const PeerMessage& aMessage)
{
  return sizeof(aMessage) +
         std::visit([](const auto& aContent) { return Owned(aContent); },
                    aMessage);
}

}
