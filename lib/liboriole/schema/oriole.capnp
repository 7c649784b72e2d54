@0xb5d1c6e0f3a94271;
# Messages between the processes of orioleway. All times are durations in milliseconds, so that no two
# clocks are compared. Names of workers, entries, organisations and failure domains are those of the settings.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oriole::rpc");

enum Verdict {
  completed @0;
  notRun @1;
  mayHaveRun @2;
}

struct Failure {
  # An error and whether what was asked for may have run.
  kind @0 :Text;
  verdict @1 :Verdict;
  reason @2 :Text;
}

struct Revision {
  # How new the sender's control state is. Nobody applies a lower number than it holds.
  configuration @0 :UInt64;
  failureDomains @1 :UInt64;
}

struct EntryAddress {
  name @0 :Text;
  rpc @1 :Text;
  region @2 :Text;
}

struct ControlView {
  revision @0 :Revision;
  fresh @1 :Bool;
  # The sender reads the store, or hears a peer that does, or knows that no entry can.
  entries @2 :List(EntryAddress);
  outFailureDomains @3 :List(Text);
  # Empty when the receiver's revision is not behind.
  configuration @4 :Text;
  # The document as JSON; empty when the receiver's revision is not behind.
  leavingEntry @5 :Bool;
  # The sender is stopping: send it nothing new.
  entriesDigest @6 :UInt64;
  # Of the list of entries; the list is empty when the receiver's digest is the same.
  freshAgeMs @7 :UInt32;
  # How long ago the exchange began by which the sender is fresh.
}

struct WorkerInfo {
  name @0 :Text;
  rpc @1 :Text;
  region @2 :Text;
  failureDomain @3 :Text;
  rack @4 :Text;
  service @5 :Text;
  accelerators @6 :UInt32;
  processors @7 :UInt32;
  memoryGb @8 :UInt32;
  slots @9 :UInt32;
  connections @10 :UInt32;
  incarnation @11 :UInt64;
  # Random per start of the agent: tells a restart from a reconnection.
}

struct Shape {
  accelerators @0 :UInt32;
  adjacency @1 :Text;
  # worker, rack or failure-domain.
  processors @2 :UInt32;
  memoryGb @3 :UInt32;
}

struct Allocation {
  # What one worker gives to an attempt.
  worker @0 :Text;
  rpc @1 :Text;
  accelerators @2 :UInt64;
  # Bit n stands for accelerator n.
  processors @3 :UInt32;
  memoryGb @4 :UInt32;
}

struct AttemptId {
  organisation @0 :Text;
  job @1 :Text;
  number @2 :UInt32;
}

struct Attempt {
  id @0 :AttemptId;
  epoch @1 :UInt64;
  # Epoch of the organisation's page at the owner that asks.
  guaranteed @2 :Bool;
  # Runs inside its organisation's guarantee; anything else is borrowed and may be evicted.
  urgent @3 :Bool;
  repeatable @4 :Bool;
  allocations @5 :List(Allocation);
  # The first worker leads the gang.
  runMs @6 :UInt64;
  # Declared run time.
  payload @7 :Text;
  # Handed to the task as it is.
}

enum TaskPhase {
  reserved @0;
  committed @1;
  running @2;
  evicting @3;
  finished @4;
  failed @5;
  evicted @6;
  # Checkpointed and stopped to make room; not the fault of the job.
  lost @7;
  # Stopped because a member or the lead went silent.
  released @8;
  # Ended before any task started.
}

struct TaskReport {
  attempt @0 :Attempt;
  phase @1 :TaskPhase;
  ageMs @2 :UInt64;
  mayHaveRun @3 :Bool;
  # False while and when no task of this attempt started on this worker.
  leads @4 :Bool;
  reason @5 :Text;
  usedMemoryGb @6 :UInt32;
}

struct AgentReport {
  revision @0 :Revision;
  tasks @1 :List(TaskReport);
  # What the agent holds, and ends that no owner has acknowledged yet; empty when tasksChanged is false.
  tasksChanged @2 :Bool;
  requestsRunning @3 :UInt32;
  requestsQueued @4 :UInt32;
  leaving @5 :Bool;
  backendHealthy @6 :Bool;
  failuresInRow @7 :UInt32;
  # Tasks that failed on this worker since the last one that finished.
  unhealthyAccelerators @8 :UInt64;
  heardEntries @9 :UInt64;
  # Digest of the list of entries that the receiver told last; 0 for none.
}

struct BackendRequest {
  id @0 :Text;
  # One id per attempt; the answer carries it back.
  organisation @1 :Text;
  service @2 :Text;
  unrepeatable @3 :Bool;
  deadlineMs @4 :UInt32;
  # What is left of the caller's time.
  contentType @5 :Text;
  body @6 :Data;
}

struct BackendReply {
  id @0 :Text;
  union {
    answer :group {
      status @1 :UInt32;
      contentType @2 :Text;
      body @3 :Data;
    }
    failure @4 :Failure;
  }
}

struct HttpCall {
  # A caller's request, handed from one entry to the entry that owns the organisation.
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  contentType @3 :Text;
  idempotencyKey @4 :Text;
  unrepeatable @5 :Bool;
  deadlineMs @6 :UInt32;
  body @7 :Data;
}

struct HttpAnswer {
  status @0 :UInt32;
  contentType @1 :Text;
  body @2 :Data;
  verdict @3 :Verdict;
  requestId @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct PageOwnership {
  organisation @0 :Text;
  epoch @1 :UInt64;
}

struct PeerState {
  # What an entry tells a peer when something changed that the peer has not acknowledged.
  entry @0 :EntryAddress;
  view @1 :ControlView;
  readsStore @2 :Bool;
  owned @3 :List(PageOwnership);
  leaving @4 :Bool;
  run @5 :UInt64;
  # Random per start of the sender; 0 from one that numbers nothing.
  version @6 :UInt64;
  # Number of this state; grows with each change.
  base @7 :UInt64;
  # A list that is left out is the same as in this version; 0: nothing is left out.
  entriesLeftOut @8 :Bool;
  ownedLeftOut @9 :Bool;
  heardRun @10 :UInt64;
  heardVersion @11 :UInt64;
  # The newest state of the receiver that the sender holds.
  stamp @12 :UInt64;
  # The sender's own clock. Only the sender reads it, when it comes back as an echo.
  echo @13 :UInt64;
  # The last stamp that the receiver told: this message was written after it.
}

interface Entry {
  # Offered by an entry on its RPC address.
  announce @0 (worker :WorkerInfo, agent :Agent) -> (session :AgentSession, view :ControlView);
  # An agent makes itself known and gives the capability by which the entry calls it.
  exchange @1 (state :PeerState) -> (state :PeerState);
  # Peers exchange their states; either side learns a newer revision from it.
  forward @2 (call :HttpCall) -> (answer :HttpAnswer);
  # Handles a caller's request at the owner of its organisation.
  beat @3 (run :UInt64, version :UInt64, heardRun :UInt64, heardVersion :UInt64, stamp :UInt64, echo :UInt64)
      -> (run :UInt64, version :UInt64, stamp :UInt64, holds :Bool);
  # In place of exchange while the receiver holds the sender's state. Not holds: it does not, and wants the whole.
}

interface AgentSession {
  heartbeat @0 (report :AgentReport) -> (view :ControlView, acknowledged :List(AttemptId));
  # acknowledged: ends that their owner has recorded; the agent forgets them.
}

interface Agent {
  # Offered by an agent to entries and, on its RPC address, to the agents of the same gang.
  dispatch @0 (request :BackendRequest) -> (reply :BackendReply);
  reserve @1 (attempt :Attempt, ttlMs :UInt32, evictBorrowed :Bool, revision :Revision)
      -> (accepted :Bool, reason :Text, epoch :UInt64, mayHaveRun :Bool);
  # Holds the accelerators for ttlMs. With evictBorrowed, checkpoints and stops the borrowed tasks in the way
  # and answers once they are gone. epoch: the highest that this agent knows for the organisation.
  commit @2 (id :AttemptId, epoch :UInt64) -> (accepted :Bool, reason :Text, mayHaveRun :Bool);
  release @3 (ids :List(AttemptId), epoch :UInt64, reason :Text) -> (reports :List(TaskReport));
  # Ends reservations and tasks of these attempts; a report per attempt says whether it may have run.
  fence @4 (organisation :Text, epoch :UInt64) -> (reports :List(TaskReport), epoch :UInt64);
  # From now on refuses lower epochs of the organisation; tells what it holds of it.
  evict @5 (ids :List(AttemptId), graceMs :UInt32, reason :Text) -> ();
  # Checkpoints, then stops borrowed tasks or tasks in a failure domain that is out.
  applyView @6 (view :ControlView) -> (revision :Revision);
  # Pushes a newer control state without waiting for the next heartbeat.
  gangHeartbeat @7 (id :AttemptId, worker :Text, phase :TaskPhase) -> (phase :TaskPhase, reason :Text);
  # From a member to the lead of its gang. Answer running: start or go on; committed: wait; an end: stop.
}
