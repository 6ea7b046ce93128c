@0xd2b0f0e6a4c3915f;

# The state that a host broadcasts a few times a second, in one datagram. Upstreams are
# identified by a hash of their name, which every host computes from its list of upstreams.
# Tables with a row for each upstream are packed bytes, defined in packed_rows.py, because
# a host decodes thousands of rows a second.
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
  departures @15 :Data;
  era @16 :UInt64;
  bans @17 :Data;
  limits @18 :Data;
  unreachable @19 :Data;
  cutOff @20 :Bool;
  brittle @21 :Data;
  view @22 :Data;  # whether the host reads the store, and the age of its view
}

# The aggregated state of a data centre, sent to another one in several datagrams. The
# datagram with tellsLoads has all of loads, loading, silent, departures, bans, limits and brittle; the others
# omit them.
struct Digest {
  dataCentre @0 :Text;
  hosts @1 :Data;
  tellsLoads @2 :Bool;
  loads @3 :Data;
  loading @4 :Data;
  reads @5 :Data;
  silent @6 :Data;
  departures @7 :Data;
  bans @8 :Data;
  limits @9 :Data;
  unreachable @10 :Data;  # of hosts
  brittle @11 :Data;
  views @12 :Data;  # of hosts
}

# What a host tells all others as soon as it learns of it: how attempts on prompts that
# may crash engines ended, and which parts of prompts are banned since.
struct QuarantineNotice {
  host @0 :Text;
  outcomes @1 :Data;
  bans @2 :Data;
  fingerprints @3 :Data;  # of the requests of outcomes
}
