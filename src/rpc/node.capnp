@0xd1b7c09e4f5a6e21;
# RPC protocol between nodes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figplank::rpc");

struct WorkRequest {
  attempt @0 :UInt64;
  # Identifies this attempt; WorkAnswer.attempt repeats it.
  id @1 :Data;
  # The request's UUIDv7 as 16 bytes; empty for idempotent work without an id
  # and for requests of a route.
  template @2 :Text;
  service @3 :Text;
  path @4 :Text;
  organisation @5 :Text;
  rank @6 :UInt8;
  depth @7 :UInt8;
  idempotent @8 :Bool;
  extraTries @9 :UInt8;
  callerAttempt @10 :UInt32;
  remainingMs @11 :UInt32;
  draw @12 :Float64;
  # Random number from 0 to 1, drawn once for the root request. Every service of
  # the chain compares it with the share that it admits.
  weight @13 :Float64;
  # Sampling weight: number of offered requests that this one represents.
  contentType @14 :Text;
  body @15 :Data;
  rootId @16 :Text;
  forwarded @17 :ForwardedRequest;
  # Set only for requests of a route, which are forwarded unchanged.
  objectiveMs @18 :UInt32;
  # Latency objective: time after the request's arrival within which its answer
  # has full value for the caller; 0 for none.
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  name @0 :Text;
  # Request name assigned by the caller.
  method @1 :Text;
  callerService @2 :Text;
  # Service of the node that received the request from its caller.
  instance @3 :Text;
  # Name of the instance that the request is addressed to. Another instance at
  # the same address refuses it.
  headers @4 :List(Header);
  headerText @5 :Data;
  # Very many header lines, as in an HTTP/1.1 message, in place of headers: each
  # entry of a list takes more than a short line.
}

struct Load {
  limit @0 :Float64;
  inFlight @1 :UInt32;
  queued @2 :UInt32;
  failureRate @3 :Float64;
  draining @4 :Bool;
  leavingInstance @5 :Text;
  leavingStartedMs @6 :UInt64;
  # Incarnation of the backend server that has said in an answer that it leaves;
  # an empty name for none.
}

struct WorkAnswer {
  attempt @0 :UInt64;
  outcome @1 :UInt8;
  reason @2 :UInt8;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
  retryAfterMs @6 :UInt32;
  unusedTries @7 :UInt8;
  mayRetry @8 :Bool;
  # Whether the calling node may retry. Only the hop directly above a failure
  # may.
  share @9 :Float64;
  load @10 :Load;
  headers @11 :List(Header);
  headerText @12 :Data;
  # As in ForwardedRequest.
  receipt @13 :Receipt;
  # With a long body only. The caller drops it once it has taken the answer, so
  # that the sender knows when the message is no longer in its memory.
}

interface Receipt {}

struct Entry {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Text;
}

struct CrashReport {
  crashId @0 :UInt64;
  running @1 :List(UInt64);
  alone @2 :UInt64;
}

struct HomeRecord {
  verdict @0 :UInt8;
  state @1 :UInt8;
  reason @2 :UInt8;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
}

interface Node {
  run @0 (request :WorkRequest) -> (answer :WorkAnswer);
  # Runs one request. Cancelling the call cancels idempotent work.

  handOver @1 (id :Data, asker :Text, asked :List(Text)) -> (record :HomeRecord);
  # Asks a previous home of the id to hand it over to the node at address asker.
  # The homes at the addresses in asked have already handed it over.

  push @2 (entries :List(Entry), hops :UInt8) -> ();
  # Sends new configuration entries. A receiver to which they are new pushes them
  # on with one hop less, until hops is 0.

  exchange @3 (highest :UInt64, summary :UInt64, buckets :List(UInt64))
      -> (entries :List(Entry), highest :UInt64, summary :UInt64, ready :Bool,
          answeringSinceMs :UInt32 = 0xffffffff,
          answeredAgoMs :UInt32 = 0xffffffff);
  # Anti-entropy: returns entries that the caller lacks. The caller leaves
  # buckets empty unless the summaries differ at equal highest revisions.
  # answeringSinceMs and answeredAgoMs are the times since the beginning and the
  # end of the latest span in which the platform is known to have answered; the
  # defaults say that it is not known to.

  notify @4 (crashes :List(CrashReport), draining :List(Text)) -> ();
  # Notifies the other nodes of the service of backend server crashes and of the
  # addresses of nodes that are draining.

  ping @5 () -> (notReading :Bool);
  # Checks that the connection carries data in both directions. notReading says
  # that the node does not read the platform, or that its last read failed.
}
