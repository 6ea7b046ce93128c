@0xd2b0f0e6a4c3915f;

# What a host tells the others a few times a second, in one datagram. Upstreams are named
# by a hash, which all hosts know from their list of upstreams. Tables with a row for each
# upstream are bytes, whose rows tables.py states: a host reads thousands of rows a second.
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
  loads @10 :Data;
  known @11 :List(Text);
  loading @12 :Data;
  reads @13 :Data;
  silent @14 :Data;
}

# What a host tells another data centre of all hosts of its own, in several datagrams. Of
# loads, loading and silent, one datagram tells all; the others do not speak of them.
struct Digest {
  dataCentre @0 :Text;
  hosts @1 :Data;
  tellsLoads @2 :Bool;
  loads @3 :Data;
  loading @4 :Data;
  reads @5 :Data;
  silent @6 :Data;
}
