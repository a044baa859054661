# SPDX-License-Identifier: Apache-2.0
# The protocol between instances of the system. After a change run Tools/generate.
@0xb3f1c9a7d2e84f65;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Holdpost::Wire");

struct VersionState {
  version @0 :Data;
  piecesHeld @1 :UInt32;
  piecesTotal @2 :UInt32;
}

struct ServiceState {
  service @0 :Text;
  version @1 :Data;
  isReady @2 :Bool;
  slots @3 :UInt32;
  running @4 :UInt32;
  isLoading @5 :Bool;
}

struct Report {
  instance @0 :Text;
  hall @1 :Text;
  pool @2 :Text;
  role @3 :UInt8;          # Membership::Role
  incarnation @4 :UInt64;
  host @5 :Text;
  port @6 :UInt16;
  lifecycle @7 :UInt8;     # Membership::Lifecycle
  position @8 :UInt64;
  accepted @9 :UInt64;
  credits @10 :UInt32;
  demand @11 :UInt32;
  versions @12 :List(VersionState);
  services @13 :List(ServiceState);
  mayLoad @14 :Bool;
}

struct Announcement {
  version @0 :Data;
  pieceCount @1 :UInt32;
  isWhole @2 :Bool;
  wantsReply @3 :Bool;
  bitmap @4 :Data;
  pieces @5 :List(UInt32);
}

struct Sender {
  instance @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  incarnation @3 :UInt64;
}

struct Failure {
  kind @0 :Text;           # name in the table of error kinds; empty for success
  message @1 :Text;
  retryAfterMs @2 :UInt32;
}

struct RunKey {
  entry @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct RunRequest {
  key @0 :RunKey;
  settledBelow @1 :UInt64;
  service @2 :Text;
  organisation @3 :Text;
  method @4 :Text;
  path @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  priority @8 :UInt32;
}

struct LogRecord {
  offset @0 :UInt64;
  text @1 :Text;
}

# Takes the parts of one answer, in order.
interface AnswerSink {
  head @0 (key :RunKey, status :UInt16, contentType :Text, version :Data) -> ();
  chunk @1 (key :RunKey, data :Data) -> ();
}

interface Instance {
  report @0 (report :Report) -> (report :Report);
  announce @1 (from :Sender, announcement :Announcement) -> ();
  piece @2 (from :Text, version :Data, piece :UInt32) -> (failure :Failure, data :Data);
  # Records of the log after an offset, or a state that replaces them.
  records @3 (after :UInt64) -> (records :List(LogRecord), statePosition :UInt64, state :Text);
  # Ends when the whole answer has gone to the sink, or with a failure.
  run @4 (request :RunRequest, sink :AnswerSink) -> (failure :Failure);
  # 0 barred, 1 running, 2 ended: Runs::Standing.
  bar @5 (key :RunKey) -> (standing :UInt8);
  # What became of a keyed request; the state is Claims::KeyState.
  key @6 (incarnation :UInt64, scope :Text, key :Text) -> (state :UInt8, status :UInt16, contentType :Text,
                                      version :Data, body :Data);
}
