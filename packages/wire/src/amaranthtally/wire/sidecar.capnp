# Protocol between an entry and a sidecar. Times are remaining times in
# microseconds: the clocks of two hosts are never compared.
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
  # What a model engine answers now, its role, and what became of the last order.
  served @0 :List(Text);
  role @1 :Text;
  lastOrder @2 :Text;
  # False where any model is answered; the rest is empty then.
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
  # issuedMicros and expiresMicros (0: never) are times on the clock of the
  # incarnation that it names.
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
  # The serial up to which the sender knows the sidecar's news of cached prefixes.
  cacheSerial @13 :UInt64;
}

struct CacheNews {
  # Blocks of prompts that the engine stored and removed since the serial of the
  # call. After a reset whatever was known before is to be forgotten.
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

# Consecutive chunks of one stream. The entry has numbered the stream and knows which
# call it belongs to; the id must be that call's.
struct StreamPart {
  stream @0 :UInt32;
  id @1 :CallId;
  offset @2 :UInt32;
  texts @3 :List(Text);
}

interface SettingsPeer {
  # Changes after a revision, oldest first; an empty list when none is newer. Where
  # the changes are kept no more, the whole tree as a snapshot.
  changesSince @0 (revision :UInt64) -> (revision :UInt64, changes :List(Data), snapshot :Data);
  # Tells the peer a revision and where to read it; answers with the peer's own.
  announce @1 (revision :UInt64, source :SettingsPeer) -> (revision :UInt64);
}

interface EntryPeer extends(SettingsPeer) {
  # Sent when a sidecar starts to leave, so that an idle entry learns of it too.
  loadChanged @0 (load :Load) -> ();
  # Chunks of any number of streams; the answer lets the sidecar send more.
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
