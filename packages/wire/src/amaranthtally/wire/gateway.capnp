# Protocol between gateways. Points in time are sent as remaining times in microseconds,
# because the clocks of two hosts are never compared. They are negative if past.
@0xb7c1d20a3f5e9c41;

struct PieceAsk {
  # Jobs for pieces of one stage of one request. Their common inputs are sent once,
  # because they are most of the message and inter-region traffic is billed by the byte.
  requestId @0 :Text;
  stage @1 :UInt16;
  numbers @2 :List(UInt16);
  pool @3 :Text;
  dataCentre @4 :Text;
  resultBytes @5 :Float64;
  startByMicros @6 :Int64;
  deadlineMicros @7 :Int64;
  priority @8 :UInt16;
  key @9 :Text;
  inputs @10 :List(StoredResult);
  # Number of pieces of the stage that read the same inputs.
  siblings @11 :UInt16;
  # Whether other pieces of the request have already been computed.
  isBegun @12 :Bool;
}

enum Fault {
  none @0;
  late @1;
  inputGone @2;
  noRoom @3;
  failed @4;
  handedBack @5;
}

struct Outcome {
  number @0 :UInt16;
  handle @1 :Text;
  fault @2 :Fault;
}

struct PieceTold {
  # Outcomes of jobs for one stage of one request that were sent to one endpoint.
  requestId @0 :Text;
  stage @1 :UInt16;
  pool @2 :Text;
  dataCentre @3 :Text;
  endpoint @4 :Text;
  waitMicros @5 :Int64;
  outcomes @6 :List(Outcome);
  inputsFreed @7 :Bool;
  # How much longer than usual a call at that pool currently takes.
  slowerMicros @8 :Int64;
  # Whether the owner plans the result memory of the pool, as its endpoints report their
  # speed, and how long another result of the same size would wait there for room.
  reportsRoom @9 :Bool;
  roomMicros @10 :Int64;
}

struct StoredResult {
  handle @0 :Text;
  endpoint @1 :Text;
  dataCentre @2 :Text;
  sizeBytes @3 :Float64;
}

struct Versions {
  # The version of a gateway's configuration, and the store revision up to which it has
  # read the endpoints' records; 0 if it has none.
  configuration @0 :UInt64;
  records @1 :UInt64;
  # How much longer records may be missing after an outage of the store although their
  # endpoints run.
  settlingMicros @2 :Int64;
  # Upper bounds of the time since nothing newer than these versions existed, for the
  # answer to a call; 0 from a gateway that has no evidence or does not know the fields.
  configurationAgeMicros @3 :Int64;
  recordsAgeMicros @4 :Int64;
}

enum Document {
  configuration @0;
  records @1;
}

struct Change {
  # A record as it was written at a revision of the store, or its removal.
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
}

struct Changes {
  # All changes of records after one revision up to another, in order.
  after @0 :UInt64;
  revision @1 :UInt64;
  changes @2 :List(Change);
}

struct StreamOrigin {
  # The pool and the software version of the endpoint that began the stream of a request,
  # and for how much longer this is to be known.
  requestId @0 :Text;
  pool @1 :Text;
  version @2 :Text;
  expiresMicros @3 :Int64;
}

struct RateLimit {
  # The requests a second that an endpoint takes from all gateways together, below 0 if it
  # names no limit any more; serial counts the changes that gateways have seen.
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  serial @2 :UInt64;
  rate @3 :Float64;
}

struct PermitAsk {
  # A number of permits to send to an endpoint, and its limit as the asker knows it.
  endpoint @0 :Text;
  rate @1 :Float64;
  wanted @2 :UInt32;
}

struct PermitAnswer {
  # The times until each permit becomes valid, and until it is worth asking again.
  endpoint @0 :Text;
  delaysMicros @1 :List(Int64);
  retryAfterMicros @2 :Int64;
}

enum PartState {
  asked @0;
  blocked @1;
  cleared @2;
}

struct PartNotice {
  # A question of its author whether requests with a part of prompts have succeeded, or
  # that the part is blocked or not any more; ends are the ended endpoints that it explains.
  part @0 :Text;
  state @1 :PartState;
  serial @2 :UInt64;
  ageMicros @3 :Int64;
  ends @4 :List(Text);
  author @5 :Text;
  # The part is the key of a whole request.
  isRequest @6 :Bool;
}

struct PartEnd {
  # An endpoint that ended while a request with the part was in flight there.
  part @0 :Text;
  endpoint @1 :Text;
  lostAgeMicros @2 :Int64;
  sentAgeMicros @3 :Int64;
  successes @4 :UInt32;
  isRequest @5 :Bool;
}

struct PartSuccess {
  # A request with the part that was answered in full.
  part @0 :Text;
  sentAgeMicros @1 :Int64;
  endedAgeMicros @2 :Int64;
  isRequest @3 :Bool;
}

struct LoadFigures {
  # What a sender knows of an endpoint, which is named by the CRC-32 of its id and
  # incarnation: calls in flight, prompt tokens yet to be processed in units of 64, and the
  # newest load report. A slowness of 100 is the usual one, 0 stands for no report.
  key @0 :UInt32;
  calls @1 :UInt16;
  prefillUnits @2 :UInt16;
  slownessPercent @3 :UInt16;
  reportAgeMillis @4 :UInt16;
  reportedCalls @5 :UInt16;
}

struct LoadMessage {
  # Figures that changed after the sender's message with the serial base; with base 0 they
  # replace all earlier ones. heard is the serial of the receiver's last message that was
  # taken. group names the entries whose sums these are, if not the sender's own figures.
  incarnation @0 :UInt64;
  serial @1 :UInt32;
  base @2 :UInt32;
  heard @3 :UInt32;
  group @4 :Text;
  figures @5 :List(LoadFigures);
}

struct AccountUsage {
  # The work of one account, named by its digest, in seconds, as decaying sums.
  account @0 :UInt64;
  engineOfferedS @1 :Float32;
  engineAdmittedS @2 :Float32;
  stageOfferedS @3 :Float32;
  stageAdmittedS @4 :Float32;
}

struct Usage {
  # The work of accounts at one gateway: the largest, and the sum of the rest. The limits
  # bound the waits of accounts above their share, so that those within theirs are not
  # refused; 0 for none.
  incarnation @0 :UInt64;
  serial @1 :UInt64;
  remainingMicros @2 :Int64;
  isOverloaded @3 :Bool;
  engineLimitS @4 :Float32;
  stageLimitS @5 :Float32;
  accounts @6 :List(AccountUsage);
  rest @7 :AccountUsage;
  restAccounts @8 :UInt32;
}

struct PieceName {
  # A piece of a stage of a request.
  requestId @0 :Text;
  stage @1 :UInt16;
  number @2 :UInt16;
}

interface Gateway {
  # Sends the caller's name, address, data centre and versions, and whether the receiver
  # is to push changes to it for a while; returns the receiver's versions, whether it is
  # stopping, and whether it watches the store and the store answers. A caller that is
  # stopping sends its address as leavingAddress, at which documents may still be read.
  greet @0 (name :Text, versions :Versions, address :Text, dataCentre :Text,
            follows :Bool, leavingAddress :Text)
      -> (versions :Versions, leaving :Bool, watches :Bool);
  # Not implemented any more; replaced by read.
  beliefs @1 () -> ();
  # Submits jobs; the receiver reports their outcomes by calling tell on the submitter.
  ask @2 (asker :Text, asks :List(PieceAsk)) -> ();
  tell @3 (told :List(PieceTold)) -> ();
  # Releases results that are no longer read; ended names a request that has ended, if
  # it is not empty.
  free @4 (results :List(StoredResult), ended :Text) -> ();
  # Returns the part at a byte offset of the compressed snapshot with that checksum, or
  # else the first part of the newest snapshot. Parts are small, so that other calls on
  # the same slow link are answered in time.
  read @5 (document :Document, checksum :UInt32, offset :UInt32)
      -> (version :UInt64, size :UInt32, checksum :UInt32, offset :UInt32, part :Data);
  # Returns the first changes after a revision, unless the receiver does not keep them.
  readChanges @6 (after :UInt64) -> (isKept :Bool, batch :Changes);
  # Sends changes to a follower; returns whether it still follows the sender.
  pushChanges @7 (name :Text, batch :Changes, versions :Versions) -> (follows :Bool);
  # Gives the receiver copies of what the sender knows of the origins of streams.
  copyOrigins @8 (origins :List(StreamOrigin)) -> ();
  # Returns the origin of the stream that a request began, if the receiver knows it.
  findOrigin @9 (requestId :Text) -> (isKnown :Bool, origin :StreamOrigin);
  # Passes on the rate limits that endpoints have named.
  spreadRateLimits @10 (limits :List(RateLimit)) -> ();
  # Asks for permits to send to endpoints with rate limits that the receiver issues.
  askPermits @11 (asker :Text, asks :List(PermitAsk)) -> (answers :List(PermitAnswer));
  # Passes on notices on parts of prompts.
  spreadPartNotices @12 (notices :List(PartNotice)) -> ();
  # Reports ends of endpoints to a gateway that decides which part is at fault.
  reportEnds @13 (ends :List(PartEnd)) -> ();
  # Answers a question about parts that have succeeded.
  reportSuccesses @14 (successes :List(PartSuccess)) -> ();
  # Returns the rate limits that the receiver knows.
  readRateLimits @15 () -> (limits :List(RateLimit));
  # Returns the notices on parts of prompts that the receiver holds.
  readPartNotices @16 () -> (notices :List(PartNotice));
  # Sends what the sender knows of endpoints' loads; returns what it lacks.
  exchangeLoads @17 (sender :Text, message :LoadMessage) -> (answer :LoadMessage);
  # Reports the work of client accounts at the sender.
  exchangeUsage @18 (sender :Text, usage :Usage) -> ();
  # Drops those of the jobs that are queued and not started; returns which.
  withdrawJobs @19 (pieces :List(PieceName)) -> (withdrawn :List(PieceName));
}
