#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/document/document_messages.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"
#include "state/ownership_token.h"
#include "state/process_id.h"
#include "state/task_record.h"

/** Messages between the system's processes, independent of the encoding. */
namespace greengage::coordination {

enum class ProcessRole : std::uint8_t
{
  eEntry,
  eAgent,
};

/** Identity, location and capacity of a process. */
struct ProcessInfo
{
  state::ProcessId id;
  ProcessRole role = ProcessRole::eEntry;
  /** `ip:port` of the TCP listener for peers. */
  std::string peerAddress;
  std::string dataCentre;
  std::string rack;
  /** Capacity of the backend server; zero for entries. */
  std::uint32_t slots = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;
  bool draining = false;

  auto operator<=>(const ProcessInfo&) const = default;
};

/** An agent on which an owner may have started tasks. */
struct AgentInUse
{
  ProcessInfo process;
  /** Time at which the owner lost the agent; empty while it is in use. */
  std::optional<state::WallTime> lostSince;

  auto operator<=>(const AgentInUse&) const = default;
};

/** First message on every connection; identifies the sender. */
struct Hello
{
  ProcessInfo process;
  bool operator==(const Hello&) const = default;
};

/** Entry to owner: runs the job, or attaches to it if it is known. */
struct SubmitJob
{
  /** Chosen by the entry; the answer contains the same number. */
  std::uint64_t submission = 0;
  state::JobSpec spec;
  bool operator==(const SubmitJob&) const = default;
};

/** Owner to entry: the answer to SubmitJob, QueryJob or CancelJob. */
struct JobAnswer
{
  std::uint64_t submission = 0;
  state::JobKey key;
  state::JobOutcome outcome;
  bool operator==(const JobAnswer&) const = default;
};

/** Entry to owner: requests the outcome of a job. */
struct QueryJob
{
  std::uint64_t submission = 0;
  state::JobKey key;
  bool operator==(const QueryJob&) const = default;
};

/** Entry to owner: cancels a job. */
struct CancelJob
{
  std::uint64_t submission = 0;
  state::JobKey key;
  bool operator==(const CancelJob&) const = default;
};

/** One task to start. */
struct TaskStart
{
  state::JobKey key;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  std::string templateName;
  std::string payload;
  std::chrono::milliseconds timeout{ 0 };
  bool operator==(const TaskStart&) const = default;
};

/** Owner to agent: starts tasks immediately. */
struct StartTasks
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  std::vector<TaskStart> tasks;
  bool operator==(const StartTasks&) const = default;
};

/** Agent to owner: results of tasks and refused starts. */
struct TaskResults
{
  std::uint32_t shard = 0;
  state::ProcessId agent;
  std::vector<state::TaskRecord> records;
  bool operator==(const TaskResults&) const = default;
};

/** Owner to agent: stops the tasks of these jobs. */
struct CancelTasks
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  std::vector<state::JobKey> keys;
  bool operator==(const CancelTasks&) const = default;
};

/** New owner to agent: the agent must refuse every older token. */
struct Fence
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  bool operator==(const Fence&) const = default;
};

/** Agent to owner: the highest token that the agent has accepted. */
struct FenceReply
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  bool operator==(const FenceReply&) const = default;
};

/** Owner to agent: requests the records of jobs. Also acts as a Fence. */
struct HistoryQuery
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  std::uint64_t query = 0;
  std::vector<state::JobKey> keys;
  bool operator==(const HistoryQuery&) const = default;
};

/** Agent to owner: all records of the requested jobs. */
struct HistoryReply
{
  state::ProcessId agent;
  std::uint32_t shard = 0;
  /**
   * Highest token that the agent has accepted. The reply is invalid if it
   * differs from the token of the query.
   */
  state::OwnershipToken token;
  std::uint64_t query = 0;
  std::vector<state::TaskRecord> records;
  bool operator==(const HistoryReply&) const = default;
};

/** Agent to entries: state of the agent's backend server. */
struct AgentStatus
{
  ProcessInfo process;
  std::uint32_t runningTasks = 0;
  bool operator==(const AgentStatus&) const = default;
};

/** Owner or candidate to group member: requests or renews the lease. */
struct LeaseRequest
{
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  std::uint64_t sequence = 0;
  /**
   * Agents that the owner wants to use. It may use them after a majority of
   * the group has acknowledged them.
   */
  std::vector<AgentInUse> newAgents;
  /** True for a candidate that needs the members' list of agents. */
  bool wantAgents = false;
  /** True if the owner has released its lease; nothing is granted. */
  bool release = false;
  /** True if newAgents is the complete list and replaces the member's. */
  bool allAgents = false;
  bool operator==(const LeaseRequest&) const = default;
};

/** Group member to owner or candidate: answers a LeaseRequest. */
struct LeaseReply
{
  state::ProcessId member;
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  std::uint64_t sequence = 0;
  bool granted = false;
  /** Highest token promised by this member. */
  state::OwnershipToken promised;
  /** How long the member's last grant to an older token may stay valid. */
  std::chrono::milliseconds olderGrantRemaining{ 0 };
  std::vector<AgentInUse> agents;
  bool operator==(const LeaseReply&) const = default;
};

/** Owner to all entries: the process that accepts a shard's jobs. */
struct OwnerAnnouncement
{
  std::uint32_t shard = 0;
  state::OwnershipToken token;
  ProcessInfo owner;
  bool operator==(const OwnerAnnouncement&) const = default;
};

/** Requests configuration records from a peer, starting at a version. */
struct ConfigurationPull
{
  std::uint64_t fromVersion = 0;
  bool operator==(const ConfigurationPull&) const = default;
};

/** One record of the platform's log. */
struct ConfigurationRecord
{
  std::uint64_t offset = 0;
  std::string data;
  auto operator<=>(const ConfigurationRecord&) const = default;
};

/** Reply to ConfigurationPull: the records in force up to a version. */
struct ConfigurationRecords
{
  std::uint64_t version = 0;
  std::vector<ConfigurationRecord> records;
  bool operator==(const ConfigurationRecords&) const = default;
};

/** Entry to agent: an operator takes the backend server out of service. */
struct DrainAgent
{
  state::ProcessId agent;
  bool operator==(const DrainAgent&) const = default;
};

using PeerMessage = std::variant<Hello,
                                 SubmitJob,
                                 JobAnswer,
                                 QueryJob,
                                 CancelJob,
                                 StartTasks,
                                 TaskResults,
                                 CancelTasks,
                                 Fence,
                                 FenceReply,
                                 HistoryQuery,
                                 HistoryReply,
                                 AgentStatus,
                                 LeaseRequest,
                                 LeaseReply,
                                 OwnerAnnouncement,
                                 ConfigurationPull,
                                 ConfigurationRecords,
                                 DrainAgent,
                                 DispatchOrders,
                                 ServerReport,
                                 ConfigurationCopy,
                                 DocumentRequest,
                                 DocumentPart,
                                 EntryNews>;

}
