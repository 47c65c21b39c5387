# Protocol between an entry and a sidecar. Points in time are sent as remaining times
# in microseconds, because the clocks of two hosts are never compared.
@0xd3a1c1f4b7e05a92;

enum Status {
  finished @0;
  notRun @1;
  failed @2;
  unknown @3;
  conflict @4;
}

struct CallId {
  requestId @0 :Text;
  stage @1 :UInt16;
  attempt @2 :UInt16;
}

struct ModelState {
  # The models that an engine currently serves, its role, and the last order's outcome.
  served @0 :List(Text);
  role @1 :Text;
  lastOrder @2 :Text;
  # False if calls for any model are accepted; the other fields are empty then.
  known @3 :Bool;
}

struct Load {
  incarnation @0 :UInt64;
  running @1 :UInt32;
  queued @2 :UInt32;
  limit @3 :UInt32;
  leaving @4 :Bool;
  serviceMicros @5 :UInt64;
  revision @6 :UInt64;
  backlogMicros @7 :UInt64;
  clockMicros @8 :UInt64;
  models @9 :ModelState;
}

struct OnceTerms {
  # Conditions of an at-most-once call. issuedMicros and expiresMicros (0: never) are
  # times on the clock of the sidecar incarnation that the struct names.
  incarnation @0 :UInt64;
  issuedMicros @1 :UInt64;
  permit @2 :UInt32;
  fingerprint @3 :Text;
  expiresMicros @4 :UInt64;
}

enum Inquiry {
  look @0;
  wait @1;
  withdraw @2;
}

struct StageCall {
  id @0 :CallId;
  account @1 :Text;
  stageName @2 :Text;
  input @3 :Data;
  remainingMicros @4 :UInt64;
  priority @5 :UInt8;
  repeatable @6 :Bool;
  terms @7 :OnceTerms;
  callKey @8 :Text;
  streaming @9 :Bool;
  resumeOffset @10 :UInt32;
  model @11 :Text;
  revision @12 :UInt64;
  # Serial of the last cache update that the sender has received from this sidecar.
  cacheSerial @13 :UInt64;
}

struct CacheNews {
  # Prompt blocks that the engine's prefix cache stored and removed since the serial in
  # the call. After a reset the receiver discards all blocks that it knew before.
  serial @0 :UInt64;
  stored @1 :List(UInt64);
  removed @2 :List(UInt64);
  reset @3 :Bool;
}

struct StageReply {
  id @0 :CallId;
  status @1 :Status;
  output @2 :Data;
  reason @3 :Text;
  retryAfterMicros @4 :UInt64;
  load @5 :Load;
  queuedMicros @6 :UInt64;
  runMicros @7 :UInt64;
  permit @8 :UInt32;
  permanent @9 :Bool;
  cache @10 :CacheNews;
}

# Consecutive chunks of one stream. The entry assigned the stream's number to a call;
# the id must be that of this call.
struct StreamPart {
  stream @0 :UInt32;
  id @1 :CallId;
  offset @2 :UInt32;
  texts @3 :List(Text);
}

interface SettingsPeer {
  # Returns the changes after a revision, oldest first, or the whole settings tree as a
  # snapshot if those changes are no longer kept.
  changesSince @0 (revision :UInt64) -> (revision :UInt64, changes :List(Data), snapshot :Data);
  # Announces a revision and the capability to read it from; returns the receiver's
  # revision.
  announce @1 (revision :UInt64, source :SettingsPeer) -> (revision :UInt64);
}

interface EntryPeer extends(SettingsPeer) {
  # Sent when a sidecar stops accepting work, so that idle entries learn of it too.
  loadChanged @0 (load :Load) -> ();
  # Delivers chunks of any number of streams; the reply acknowledges them.
  chunks @1 (parts :List(StreamPart)) -> ();
}

interface Sidecar extends(SettingsPeer) {
  hello @0 (entry :Text, revision :UInt64, settings :EntryPeer) -> (endpoint :Text, load :Load);
  run @1 (call :StageCall, stream :UInt32) -> (reply :StageReply);
  cancel @2 (id :CallId) -> (reply :StageReply);
  inquire @3 (callKey :Text, terms :OnceTerms, inquiry :Inquiry) -> (reply :StageReply);
  load @4 () -> (load :Load);
  handOver @5 (body :Data, signature :Data) -> (taken :Bool);
}
