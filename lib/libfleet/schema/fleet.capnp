@0xc1a5d4e0b7f39a12;
# Messages between the scheduler, agents and entries.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fleet::rpc");

struct Life {
  instance @0 :Text;
  bornUnixMs @1 :Int64;
}

struct Run {
  task @0 :Text; # JOB.OCCURRENCE.STEP.INDEX
  attempt @1 :UInt32;
}

struct Active {
  run @0 :Run;
  checkpoint @1 :Text;
  percent @2 :Float32;
  usage @3 :Float32;
}

struct Ended {
  run @0 :Run;
  number @1 :UInt64;
  how @2 :UInt8; # fleet::run_end
  checkpoint @3 :Text;
}

struct Report {
  life @0 :Life;
  service @1 :Text;
  failureDomain @2 :Text;
  labels @3 :List(Text);
  millicores @4 :Int64;
  memoryMb @5 :Int64;
  accelerators @6 :Int64;
  draining @7 :Bool;
  drainRemainingMs @8 :Int64;
  active @9 :List(Active);
  ended @10 :List(Ended);
  responsive @11 :Bool;
  gone @12 :Bool;
  endsTruncated @13 :Bool; # more runs have ended than are listed
  othersMayRun @14 :Bool; # the lease of what earlier incarnations run may not have expired
}

enum StartOutcome {
  accepted @0;
  refused @1; # the run was not started and will not be
  unknown @2; # the run may have been started
}

enum StopOutcome {
  absent @0; # the run is not running and will not be started
  ending @1; # the run was running; its end will be reported
  unanswered @2;
}

# Called by the agent on the connection that the scheduler opened.
interface Scheduler {
  report @0 (report :Report) -> ();
}

interface Agent {
  attach @0 (epoch :UInt64, scheduler :Scheduler, agent :Text, attachment :UInt64) -> (otherAgent :Text);
  # From now on the agent rejects orders of lower epochs, and it sends reports to this scheduler. If `agent` names another
  # agent, whose address this one has now, nothing changes and `otherAgent` is the name of this one. `attachment` rises with each
  # connection of a scheduler, so that a message that was held up on a replaced one can be told.

  start @1 (epoch :UInt64, life :Life, run :Run, text :Text, checkpoint :Text, attachment :UInt64)
      -> (outcome :StartOutcome, reason :Text);
  # Rejected unless `attachment` is the present one.

  stop @2 (epoch :UInt64, life :Life, run :Run) -> (outcome :StopOutcome);

  acknowledge @3 (epoch :UInt64, life :Life, upTo :UInt64) -> ();
  # The run ends up to this number are stored durably; the agent need not report them again.
}

struct CallerRequest {
  method @0 :Text;
  target @1 :Text;
  host @2 :Text;
  key @3 :Text;
  body @4 :Text;
}

# Between entries: one whose requests to the store fail has another entry serve the caller's request.
interface Entry {
  relay @0 (request :CallerRequest) -> (status :UInt16, body :Text, retryAfterSeconds :UInt16);
  announce @1 (agent :Text, address :Text) -> ();
}
