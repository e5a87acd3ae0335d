@0xc5b3d0f1a2e49d37;

# Messages between the system's processes. Field meanings are documented in
# src/coordination/messages.h. Fields are only ever added, never renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("greengage::protocol::wire");

struct ProcessId { high @0 :UInt64; low @1 :UInt64; }
struct Token { epoch @0 :UInt64; term @1 :UInt64; }
struct JobKey { organisation @0 :Text; high @1 :UInt64; low @2 :UInt64; }

struct ProcessInfo {
  id @0 :ProcessId;
  role @1 :UInt8;
  peerAddress @2 :Text;
  dataCentre @3 :Text;
  rack @4 :Text;
  slots @5 :UInt32;
  memoryMb @6 :UInt32;
  accelerators @7 :UInt32;
  draining @8 :Bool;
}

struct JobSpec {
  key @0 :JobKey;
  templateName @1 :Text;
  payloads @2 :List(Text);
  deadlineMs @3 :UInt32;
  urgency @4 :UInt8;
  idempotent @5 :Bool;
}

struct JobOutcome {
  complete @0 :Bool;
  results @1 :List(Text);
  code @2 :UInt16;
  run @3 :UInt8;
  message @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct TaskRecord {
  key @0 :JobKey;
  task @1 :UInt32;
  attempt @2 :UInt32;
  taskState @3 :UInt8;
  code @4 :UInt16;
  body @5 :Text;
  runTimeUs @6 :UInt64;
}

struct TaskStart {
  key @0 :JobKey;
  task @1 :UInt32;
  attempt @2 :UInt32;
  templateName @3 :Text;
  payload @4 :Text;
  timeoutMs @5 :UInt32;
}

struct AgentInUse {
  process @0 :ProcessInfo;
  goneSinceMs @1 :Int64;
}

struct SubmitJob { submission @0 :UInt64; spec @1 :JobSpec; }
struct JobAnswer { submission @0 :UInt64; key @1 :JobKey; outcome @2 :JobOutcome; }
struct JobReference { submission @0 :UInt64; key @1 :JobKey; }
struct StartTasks { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; tasks @3 :List(TaskStart); }
struct TaskResults { shard @0 :UInt32; agent @1 :ProcessId; records @2 :List(TaskRecord); }
struct CancelTasks { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; keys @3 :List(JobKey); }
struct Fence { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; }
struct FenceReply { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; }
struct HistoryQuery { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; query @3 :UInt64; keys @4 :List(JobKey); }
struct HistoryReply { agent @0 :ProcessId; shard @1 :UInt32; token @2 :Token; query @3 :UInt64; records @4 :List(TaskRecord); }
struct AgentStatus { process @0 :ProcessInfo; runningTasks @1 :UInt32; }

struct LeaseRequest {
  shard @0 :UInt32;
  token @1 :Token;
  sequence @2 :UInt64;
  newAgents @3 :List(AgentInUse);
  wantAgents @4 :Bool;
  release @5 :Bool;
  allAgents @6 :Bool;
}

struct LeaseReply {
  member @0 :ProcessId;
  shard @1 :UInt32;
  token @2 :Token;
  sequence @3 :UInt64;
  granted @4 :Bool;
  promised @5 :Token;
  olderGrantRemainingMs @6 :UInt32;
  agents @7 :List(AgentInUse);
}

struct OwnerAnnouncement { shard @0 :UInt32; token @1 :Token; owner @2 :ProcessInfo; }
struct ConfigurationPull { fromVersion @0 :UInt64; }
struct ConfigurationRecord { offset @0 :UInt64; data @1 :Text; }
struct ConfigurationRecords { version @0 :UInt64; records @1 :List(ConfigurationRecord); }

struct ResourceAmount { cpuMillicores @0 :UInt32; memoryMb @1 :UInt32; gpus @2 :UInt32; }
struct RunKey { job @0 :UInt64; step @1 :UInt32; index @2 :UInt32; run @3 :UInt32; jobUpperCase @4 :UInt16; }
struct RunOrder { index @0 :UInt32; run @1 :UInt32; crashes @2 :UInt32; }

struct RunBatch {
  job @0 :UInt64;
  step @1 :UInt32;
  need @2 :ResourceAmount;
  payload @3 :Text;
  runs @4 :List(RunOrder);
  limitMs @5 :UInt32;
  queue @6 :Text;
  jobUpperCase @7 :UInt16;
}

# Sent as a field of other messages, as processes of the previous version close
# a connection on which they receive a message of an unknown kind.
struct EvacuationNotice { revision @0 :UInt64; dataCentres @1 :List(Text); }

struct DispatchOrders {
  starts @0 :List(RunBatch);
  stops @1 :List(RunKey);
  checks @2 :List(RunKey);
  reportPeriodMs @3 :UInt32;
  confirmedAtMs @4 :UInt64;
  evacuation @5 :EvacuationNotice;
}
struct RunForecast { run @0 :RunKey; runTimeMs @1 :UInt32; }
struct RunEnd { run @0 :RunKey; kind @1 :UInt8; runTimeMs @2 :UInt32; }
struct UncertainStart { run @0 :RunKey; isFinal @1 :Bool; }

struct ServerDescription {
  id @0 :Text;
  service @1 :Text;
  labels @2 :List(Text);
  capacity @3 :ResourceAmount;
}

struct TaskKey { job @0 :UInt64; step @1 :UInt32; index @2 :UInt32; jobUpperCase @3 :UInt16; }
struct CrashSuspect { task @0 :TaskKey; queue @1 :Text; }
struct ServerCrash { number @0 :UInt64; ageMs @1 :UInt32; suspects @2 :List(CrashSuspect); }
struct HeldTask { task @0 :TaskKey; leftMs @1 :UInt32; }
struct TaskHolds { number @0 :UInt64; tasks @1 :List(HeldTask); }

struct ServerReport {
  description @0 :ServerDescription;
  condition @1 :UInt8;
  usedByOthers @2 :ResourceAmount;
  ends @3 :List(RunEnd);
  forecasts @4 :List(RunForecast);
  sentAtMs @5 :UInt64;
  uncertainStarts @6 :List(UncertainStart);
  crashes @7 :List(ServerCrash);
  isReleased @8 :Bool;
  evacuation @9 :EvacuationNotice;
  holds @10 :TaskHolds;
}

struct ReportedCrash { agent @0 :ProcessId; crash @1 :ServerCrash; }
struct CancelledJob { job @0 :UInt64; ageMs @1 :UInt32; jobUpperCase @2 :UInt16; }
struct ReportedHolds { reporter @0 :ProcessId; holds @1 :TaskHolds; }
struct CatchUpRequest { number @0 :UInt64; after @1 :UInt64; ownOnly @2 :Bool; }
struct CatchUpPage { number @0 :UInt64; last @1 :UInt64; hasMore @2 :Bool; isComplete @3 :Bool; }
struct EntryNews {
  crashes @0 :List(ReportedCrash);
  cancelledJobs @1 :List(CancelledJob);
  evacuation @2 :EvacuationNotice;
  confirmNumber @3 :UInt64;
  confirmedNumber @4 :UInt64;
  catchUpRequest @5 :CatchUpRequest;
  catchUpPage @6 :CatchUpPage;
  holds @7 :List(ReportedHolds);
}

struct ConfigurationCopy { version @0 :UInt64; document @1 :Text; }
struct DocumentRequest { version @0 :UInt64; offset @1 :UInt32; }
struct DocumentPart { version @0 :UInt64; totalBytes @1 :UInt32; offset @2 :UInt32; bytes @3 :Data; }

struct Message {
  union {
    hello @0 :ProcessInfo;
    submitJob @1 :SubmitJob;
    jobAnswer @2 :JobAnswer;
    queryJob @3 :JobReference;
    cancelJob @4 :JobReference;
    startTasks @5 :StartTasks;
    taskResults @6 :TaskResults;
    cancelTasks @7 :CancelTasks;
    fence @8 :Fence;
    fenceReply @9 :FenceReply;
    historyQuery @10 :HistoryQuery;
    historyReply @11 :HistoryReply;
    agentStatus @12 :AgentStatus;
    leaseRequest @13 :LeaseRequest;
    leaseReply @14 :LeaseReply;
    ownerAnnouncement @15 :OwnerAnnouncement;
    configurationPull @16 :ConfigurationPull;
    configurationRecords @17 :ConfigurationRecords;
    drainAgent @18 :ProcessId;
    dispatchOrders @19 :DispatchOrders;
    serverReport @20 :ServerReport;
    configurationCopy @21 :ConfigurationCopy;
    documentRequest @22 :DocumentRequest;
    documentPart @23 :DocumentPart;
    entryNews @24 :EntryNews;
  }
}

struct Frame { messages @0 :List(Message); }
