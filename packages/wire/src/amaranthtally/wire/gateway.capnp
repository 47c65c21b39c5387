# Protocol between gateways. Times are remaining times in microseconds: the clocks of
# two hosts are never compared. A time that has passed is negative.
@0xb7c1d20a3f5e9c41;

struct PieceAsk {
  # Pieces of one stage of one request: what they read is told once for all of them,
  # since it is most of the message and links between regions are paid for by the byte.
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
  # How many pieces of the stage read the same inputs.
  siblings @11 :UInt16;
  # Whether other pieces of the request have been made.
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
  # Pieces of one stage of one request that one endpoint made, or did not.
  requestId @0 :Text;
  stage @1 :UInt16;
  pool @2 :Text;
  dataCentre @3 :Text;
  endpoint @4 :Text;
  waitMicros @5 :Int64;
  outcomes @6 :List(Outcome);
  inputsFreed @7 :Bool;
  # By how much longer than usual a call takes there.
  slowerMicros @8 :Int64;
}

struct StoredResult {
  handle @0 :Text;
  endpoint @1 :Text;
  dataCentre @2 :Text;
  sizeBytes @3 :Float64;
}

struct Versions {
  # What a gateway believes: the configuration's version and the store's revision up to
  # which it has read the endpoints' records; 0 where it has none.
  configuration @0 :UInt64;
  records @1 :UInt64;
}

enum Document {
  configuration @0;
  records @1;
}

interface Gateway {
  # Tells a peer who one is, where it reaches one, and one's versions; answers with the
  # peer's own, and whether it stops.
  greet @0 (name :Text, versions :Versions, address :Text, dataCentre :Text)
      -> (versions :Versions, leaving :Bool);
  # Answered no more; read has taken its place.
  beliefs @1 () -> ();
  # Asks for pieces; what becomes of them is told by a call the other way.
  ask @2 (asker :Text, asks :List(PieceAsk)) -> ();
  tell @3 (told :List(PieceTold)) -> ();
  # The results are read no more; the request that is named, if any, has ended.
  free @4 (results :List(StoredResult), ended :Text) -> ();
  # A part of a compressed document from an offset, in bytes: of the snapshot with that
  # checksum, or else the first part of the newest. Parts are small, so that calls that
  # share a thin link with them are answered in time.
  read @5 (document :Document, checksum :UInt32, offset :UInt32)
      -> (version :UInt64, size :UInt32, checksum :UInt32, offset :UInt32, part :Data);
}
