// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Claims/KeptAnswers.h"
#include "Core/Distribution/Actions.h"
#include "Core/Membership/Report.h"
#include "Core/Runs/Runs.h"
#include "Core/Settings/Fold.h"

// What instances of the system say to each other, as messages between the task that owns the
// decisions and whatever carries them: the RPC task here, another transport elsewhere.
namespace Holdpost::NodeCore
{
// Names a call of another instance that is to be answered; chosen by the RPC task.
using CallTag = std::uint64_t;

// Records after an offset, or a whole state when those records are gone.
struct LogStretch
{
  std::vector<Settings::LogRecord> records;
  Common::Offset state_position = 0;
  std::string state;
};

// Who calls: under its name it may have been replaced since it last called.
struct Sender
{
  std::string instance;
  Common::Address address;
  std::uint64_t incarnation = 0;
};

// Calls to other instances.

struct SendReport
{
  std::string to;
  Common::Address address;
  Membership::Report report;
};

struct SendAnnouncement
{
  Sender from;
  std::string to;
  Common::Address address;
  Distribution::Announcement announcement;
};

struct FetchPiece
{
  Distribution::FetchId id = 0;
  std::string from;
  std::string to;
  Common::Address address;
  Common::Digest version;
  std::uint32_t piece = 0;
};

struct CancelFetch
{
  Distribution::FetchId id = 0;
};

struct FetchRecords
{
  std::string to;
  Common::Address address;
  Common::Offset after = 0;
};

struct StartRun
{
  std::string to;
  Common::Address address;
  Runs::RunRequest request;
};

// Takes the next part of an answer off the receiver's hands; without it no further part is asked
// for.
struct TakeNextPart
{
  std::uint64_t number = 0;
};

struct CancelRun
{
  std::uint64_t number = 0;
};

struct AskToBar
{
  std::string to;
  Common::Address address;
  Runs::RunKey key;
};

// Answers to calls of other instances.

// What became of the request of a key that the receiver, an entry, holds.
struct AskKey
{
  std::uint64_t number = 0; // of the request here that waits for the answer
  std::string to;
  Common::Address address;
  std::uint64_t incarnation = 0; // of the holder when it claimed the key
  Claims::KeyName key;
};

struct AnswerReport
{
  CallTag tag = 0;
  Membership::Report report;
};

struct AnswerPiece
{
  CallTag tag = 0;
  Common::Result<Common::Bytes> result;
};

struct AnswerRecords
{
  CallTag tag = 0;
  LogStretch stretch;
};

struct AnswerHead
{
  CallTag tag = 0;
  int status = 0;
  std::string content_type;
  Common::Digest version;
};

struct AnswerChunk
{
  CallTag tag = 0;
  std::string data;
};

struct AnswerRunEnd
{
  CallTag tag = 0;
  std::optional<Common::Error> error; // empty for a whole answer
};

struct AnswerKey
{
  CallTag tag = 0;
  Claims::KeptAnswer answer;
};

struct AnswerBar
{
  CallTag tag = 0;
  Runs::Standing standing = Runs::Standing::Barred;
};

// What other instances ask.

struct ReportReceived
{
  CallTag tag = 0;
  Membership::Report report;
};

struct AnnouncementReceived
{
  Sender from;
  Distribution::Announcement announcement;
};

struct PieceRequested
{
  CallTag tag = 0;
  std::string from;
  Common::Digest version;
  std::uint32_t piece = 0;
};

// The peer does not wait for the piece any more.
struct PieceAbandoned
{
  CallTag tag = 0;
};

struct RecordsRequested
{
  CallTag tag = 0;
  Common::Offset after = 0;
};

struct RunRequested
{
  CallTag tag = 0;
  Runs::RunRequest request;
};

// The entry cancelled the run or went away; no answer is wanted any more.
struct RunAbandoned
{
  CallTag tag = 0;
};

// The entry has taken all parts sent so far.
struct RunDrained
{
  CallTag tag = 0;
};

struct KeyAsked
{
  CallTag tag = 0;
  std::uint64_t incarnation = 0;
  Claims::KeyName key;
};

struct BarRequested
{
  CallTag tag = 0;
  Runs::RunKey key;
};

// Answers of other instances.

struct ReportAnswered
{
  Membership::Report report;
};

struct PeerUnreachable
{
  std::string instance;
};

struct PieceFetched
{
  Distribution::FetchId id = 0;
  Common::Result<Common::Bytes> result;
};

struct RecordsFetched
{
  LogStretch stretch;
};

struct RunHead
{
  std::uint64_t number = 0;
  int status = 0;
  std::string content_type;
  Common::Digest version;
};

struct RunChunk
{
  std::uint64_t number = 0;
  std::string data;
};

struct RunEnded
{
  std::uint64_t number = 0;
  std::optional<Common::Error> error; // empty for a whole answer
};

struct KeyAnswered
{
  std::uint64_t number = 0;
  Common::Result<Claims::KeptAnswer> answer;
};

struct BarAnswered
{
  std::uint64_t number = 0;
  Common::Result<Runs::Standing> standing;
};

} // namespace Holdpost::NodeCore
