@0xd2a6f1c83b7e5094;

struct Member {
  name @0 :Text;
  httpAddress @1 :Text;
  peerAddress @2 :Text;
  dataCentre @3 :Text;
  incarnation @4 :UInt64;
  version @5 :UInt32;
  standing @6 :UInt8;
  leaving @7 :Bool;
  revision @8 :UInt32;
  platformFailed @9 :Bool;  # the host's last read of the platform failed
}

struct UpstreamNotice {
  name @0 :Text;
  address @1 :Text;
  leaving @2 :Bool;
}

struct ClaimChange {
  settle @0 :Bool;
  digest @1 :Text;
  token @2 :Text;
  request @3 :Text;
  state @4 :Text;
  status @5 :UInt16;
  contentType @6 :Text;
  body @7 :Data;
}

struct ClaimEntry {
  token @0 :Text;
  request @1 :Text;
  atSeconds @2 :Float64;
  state @3 :Text;
  status @4 :UInt16;
  contentType @5 :Text;
  body @6 :Text;
}

struct ClaimResult {
  union {
    none @0 :Void;
    entry @1 :ClaimEntry;
    error @2 :Text;
  }
}

struct QuarantineNotice {
  outcomes @0 :Data;
  bans @1 :Data;
  fingerprints @2 :Data;  # of the requests of outcomes
}

struct UseQuery {
  account @0 :Text;
  host @1 :Text;
  demand @2 :Float64;
}

struct Message {
  wallMicroseconds @0 :UInt64;
  counter @1 :UInt32;
  union {
    heartbeat @2 :Void;
    members @3 :List(Member);
    notices @4 :List(UpstreamNotice);
    getManifest @5 :Void;
    manifest @6 :Data;
    getChunk @7 :Text;
    chunk @8 :Text;
    changeClaim @9 :ClaimChange;
    claimResult @10 :ClaimResult;
    missing @11 :Void;
    getUse @12 :UseQuery;
    use @13 :Float64;
    quarantine @14 :QuarantineNotice;
  }
}
