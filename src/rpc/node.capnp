@0xd1b7c09e4f5a6e21;
# The protocol between nodes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figplank::rpc");

struct WorkRequest {
  attempt @0 :UInt64;
  # Names this attempt; the answer repeats it.
  id @1 :Data;
  # 16 bytes of the UUIDv7; empty for idempotent work without an id.
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
  # One random draw for the root request.
  weight @13 :Float64;
  # Number of offered requests that this one stands for.
  contentType @14 :Text;
  body @15 :Data;
  rootId @16 :Text;
  forwarded @17 :ForwardedRequest;
  # Set for requests of a route, which pass unchanged.
  objectiveMs @18 :UInt32;
  # Time from its arrival within which the answer is worth most; 0 for none.
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  name @0 :Text;
  # The caller's own name of the request.
  method @1 :Text;
  callerService @2 :Text;
  # Service of the backend server beside which the request began.
  instance @3 :Text;
  # Name of the backend server's incarnation that is meant.
  headers @4 :List(Header);
}

struct Load {
  limit @0 :Float64;
  inFlight @1 :UInt32;
  queued @2 :UInt32;
  failureRate @3 :Float64;
  draining @4 :Bool;
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
  # Only the hop just above a failure may try again.
  share @9 :Float64;
  load @10 :Load;
  headers @11 :List(Header);
}

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
  # Runs one request. Dropping the call cancels idempotent work.

  handOver @1 (id :Data, asker :Text, asked :List(Text)) -> (record :HomeRecord);
  # Asks a previous home of an id to give it up; the addresses in asked have
  # done so already.

  push @2 (entries :List(Entry), hops :UInt8) -> ();
  # Tells of new configuration entries.

  exchange @3 (highest :UInt64, summary :UInt64, buckets :List(UInt64))
      -> (entries :List(Entry), highest :UInt64, summary :UInt64, ready :Bool);
  # Anti-entropy: the entries that the caller lacks. Buckets are empty unless
  # the summaries differ at equal highest revisions.

  notify @4 (crashes :List(CrashReport), draining :List(Text)) -> ();
  # Tells the service's nodes of crashes and of addresses that leave.

  ping @5 () -> ();
  # Proves that the connection carries bytes both ways.
}
