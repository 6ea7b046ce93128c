@0xd2b0f0e6a4c3915f;

# What a host tells the others a few times a second, in one datagram. Upstreams are named
# by a hash, which all hosts know from their list of upstreams.
struct Beacon {
  host @0 :Text;
  boot @1 :UInt64;
  sequence @2 :UInt64;
  callers @3 :Text;
  peers @4 :Text;
  dataCentre @5 :Text;
  ready @6 :Bool;
  leaving @7 :Bool;
  storeAnswers @8 :Bool;
  configuration @9 :UInt64;
  loads @10 :List(Load);
  known @11 :List(Text);
  loading @12 :List(UInt32);
  reads @13 :List(Read);
}

# A prompt that an upstream has read: numbers of its parts and their tokens.
struct Read {
  upstream @0 :UInt32;
  keys @1 :List(UInt64);
  tokens @2 :List(UInt32);
  saved @3 :Bool;
}

# Requests under way at an upstream on average; sizes in tokens.
struct Load {
  upstream @0 :UInt32;
  running @1 :Float32;
  prefill @2 :UInt32;
  tokens @3 :UInt32;
}
