# SPDX-License-Identifier: Apache-2.0
# What gateways and sidecars tell each other. After a change run Tools/generate.
@0xc6a4f1d0b7e29358;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Holdpost::MeshWire");

struct Address {
  ip @0 :UInt32;
  port @1 :UInt16;
}

struct Weights {
  model @0 :Text;
  version @1 :UInt64;
  # How long the version is known to any process.
  knownMs @2 :UInt32;
  # No process that knew of the naming itself has been heard of.
  isAssumed @3 :Bool;
}

# What a sidecar needs to know of its service's model.
struct WeightsPlan {
  service @0 :Text;
  model @1 :Text;
  pieces @2 :UInt32;
  pieceBytes @3 :UInt32;
  warmUpMs @4 :UInt32;
  origin @5 :Address;
  originHall @6 :Text;
  # Of the origin's link; 0 if not known.
  originBytesPerSecond @7 :UInt64;
  # Where the service's targets say who they are; empty if nowhere.
  healthPath @8 :Text;
  # Of the model; 0 if not known.
  layers @9 :UInt32;
}

struct Peer {
  address @0 :Address;
  hall @1 :UInt16;         # place in the list of halls
}

# What a plan and a list of peers were read from. Later ones are larger.
struct Stamp {
  settings @0 :UInt64;
  targets @1 :UInt64;
}

struct Hello {
  isGateway @0 :Bool;
  settings @1 :UInt64;
  weights @2 :List(Weights);
  plan @3 :WeightsPlan;
  halls @4 :List(Text);
  peers @5 :List(Peer);
  # The sender's clock, which the load report gives back.
  clockMs @6 :UInt32;
  # The sender sends to the receiver's target, and needs each report.
  wantsLoad @7 :Bool;
  # What comes to the sender: requests a second, and the part that it refused.
  arrivals @8 :UInt16;
  refusedPercent @9 :UInt8;
  # Gateways of the sender's hall, as far as it knows.
  nearGateways @10 :UInt16;
  # Of the plan and the peers.
  stamp @11 :Stamp;
  # State hash of the sender's crash ledger.
  crashes @12 :UInt64;
}

struct Load {
  target @0 :Address;
  running @1 :UInt16;
  queued @2 :UInt16;
  weightsVersion @3 :UInt32;
  isSwitching @4 :Bool;
  pacePercent @5 :UInt16;
  # When the target is going to take other weights; 0 if that is not planned.
  switchInMs @6 :UInt32;
  gateways @7 :UInt16;
  settings @8 :UInt64;
  settingsAt @9 :Address;
  weights @10 :List(Weights);
  echoMs @11 :UInt32;
  echoAgeMs @12 :UInt32;
  inboundDelayMs @13 :UInt32;
  nearGateways @14 :List(Address);
  # One more than the prompt tokens of requests that have not begun; 0 if that is not known.
  unreadTokens @15 :UInt32;
  # What comes to the gateways that send here, of the hall and of others.
  nearArrivals @16 :UInt16;
  farArrivals @17 :UInt16;
  refusedPercent @18 :UInt8;
  # Of the plan and the peers that the sender was last told.
  stamp @19 :Stamp;
  # The life of the target that this is about; 0 if that is not known.
  incarnation @20 :UInt64;
  # The version that the target takes now; 0 if none, or if that is not known.
  nextVersion @21 :UInt32;
  # The id of the target; empty if that is not known.
  targetId @22 :Text;
  # State hash of the sender's crash ledger.
  crashes @23 :UInt64;
  rateLimit @24 :RateLimit;
  # The requests that the receiver may send under the limit.
  permits @25 :UInt16;
  # The target has told the sender that it leaves.
  isLeaving @26 :Bool;
  # Not set if the target has the newest weights that the sender knows of.
  weightsForecast @27 :WeightsForecast;
  # One more than the time since the target was asked for what it last told; 0 if that is not known.
  readAgeMs @28 :UInt32;
  # The sender has not found out yet whether the weights are correct that the target loaded before
  # the sender started.
  isLoadUnchecked @29 :Bool;
}

# When a target is expected to have loaded new weights.
struct WeightsForecast {
  version @0 :UInt32;
  readyInMs @1 :UInt32;
  # Nothing is missing, or missing pieces are arriving.
  isArriving @2 :Bool;
}

# What a target takes from all gateways together.
struct RateLimit {
  isSet @0 :Bool;
  perSecond @1 :Float64;
}

# An engine that ended while it had the request of the record.
struct Crash {
  engine @0 :UInt64;
  ageMs @1 :UInt32;
  # Since the request was sent to the engine.
  sentAgeMs @2 :UInt32;
  # A hash of the name of the request's organisation.
  organisation @3 :UInt32;
}

struct CrashRecord {
  # 16 bytes.
  cause @0 :Data;
  crashes @1 :List(Crash);
  # One more than the age of the last whole answer to the cause; 0 if there was none.
  clearedMs @2 :UInt32;
  # The cause is a part of prompts instead of a whole request.
  isPart @3 :Bool;
  # Of a part in its prompts.
  position @4 :UInt16;
  # The sender has inferred that the cause crashes engines.
  isInferred @5 :Bool;
}

# The engine beside the sender has ended without notice.
struct EngineEnded {
  target @0 :Address;
  # Empty if that is not known.
  id @1 :Text;
  # 0 if that is not known.
  incarnation @2 :UInt64;
}

# What a gateway has at the receiver's target.
struct Work {
  requests @0 :UInt16;
  # Prompt tokens of those that have not begun.
  unreadTokens @1 :UInt32;
}

struct Announcement {
  version @0 :Data;
  pieceCount @1 :UInt32;
  isWhole @2 :Bool;
  wantsReply @3 :Bool;
  bitmap @4 :Data;
  pieces @5 :List(UInt32);
  claimed @6 :List(UInt32);
}

struct PieceRequest {
  id @0 :UInt64;
  version @1 :Data;
  piece @2 :UInt32;
}

struct PieceAnswer {
  id @0 :UInt64;
  # Name in the table of error kinds; empty for success.
  failure @1 :Text;
  retryAfterMs @2 :UInt32;
  data @3 :Data;
}

struct DocumentAnswer {
  version @0 :UInt64;
  # As the platform wrote it, packed by zstd next to the text of the base; 0 for none.
  packed @1 :Data;
  base @2 :UInt64;
  weights @3 :List(Weights);
}

# Sent by a gateway that reads the platform for its hall.
struct ReaderBeat {
  targets @0 :UInt64;
  targetsChanged @1 :UInt64;
  settings @2 :UInt64;
  weights @3 :List(Weights);
  answerAgeMs @4 :UInt32;
}

struct Target {
  id @0 :Text;
  service @1 :Text;
  hall @2 :Text;
  address @3 :Address;
  slots @4 :UInt16;
  isLeaving @5 :Bool;
  weightsVersion @6 :UInt32;
  needsWeights @7 :Bool;
  # Only the id is set.
  isGone @8 :Bool;
  # Grows with each start under the id; 0 if that is not known.
  incarnation @9 :UInt64;
  # Of the last record, also if the target is gone. Grows with each record that the target writes; 0
  # if that is not known.
  revision @10 :UInt64;
  # Of the platform, in which the record was read.
  era @11 :UInt64;
}

struct LeavingTarget {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct TargetsAnswer {
  # How far the sender has read the platform's list.
  position @0 :UInt64;
  targets @1 :List(Target);
  # Who knows the list up to here needs no more than these; 0 if they are the whole list.
  base @2 :UInt64;
}

struct Message {
  # Of the sender.
  instance @0 :Text;
  hall @1 :Text;
  address @2 :Address;
  incarnation @3 :UInt64;
  union {
    hello @4 :Hello;
    load @5 :Load;
    announcement @6 :Announcement;
    pieceRequest @7 :PieceRequest;
    pieceCancel @8 :UInt64;
    pieceAnswer @9 :PieceAnswer;
    # Wants a document newer than this version.
    documentRequest @10 :UInt64;
    documentAnswer @11 :DocumentAnswer;
    # Wants a list of targets that was read further than this position.
    targetsRequest @12 :UInt64;
    targetsAnswer @13 :TargetsAnswer;
    readerBeat @14 :ReaderBeat;
    work @15 :Work;
    # Asks a seed for the gateways of the sender's hall; set if the sender is a gateway.
    gatewaysRequest @16 :Bool;
    gatewaysAnswer @17 :List(Address);
    # A sidecar asks a gateway for the plan and the peers.
    briefingRequest @18 :Void;
    # Records of the sender's crash ledger.
    crashRecords @19 :List(CrashRecord);
    engineEnded @20 :EngineEnded;
    # The rate limit that the receiver's target has named.
    limitUpdate @21 :RateLimit;
    # Targets that have said that they leave.
    leavingTargets @22 :List(LeavingTarget);
    # Asks for all records of the receiver's crash ledger.
    crashRecordsRequest @23 :Void;
    crashRecordsAnswer @24 :List(CrashRecord);
  }
}
