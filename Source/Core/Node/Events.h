// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <variant>
#include <vector>

#include "Core/Node/CallerMessages.h"
#include "Core/Node/InstanceMessages.h"
#include "Core/Node/PlatformMessages.h"
#include "Core/Node/TargetMessages.h"

// All that can happen to an instance, and all that it can do. The decisions take events and the
// present time and return actions; whoever embeds them carries the actions out.
namespace Holdpost::NodeCore
{
// The instance is to leave: SIGTERM, or its own mark on the platform's list.
struct LeaveRequested
{
};

using Event = std::variant<
    // from the platform
    LogReadDone, AppendDone, ListReadDone,
    // from other instances
    ReportReceived, AnnouncementReceived, PieceRequested, PieceAbandoned, RecordsRequested,
    RunRequested, RunAbandoned, BarRequested, ReportAnswered, PeerUnreachable, PieceFetched,
    RecordsFetched, RunHead, RunChunk, RunEnded, BarAnswered, KeyAsked, KeyAnswered,
    // from the target
    TargetLoaded, TargetAnswered, TargetRunEnded,
    // from callers
    CallerArrived, CallerGone,
    // from operators
    LeaveRequested>;

// The process may end now. A code other than 0 says that something was still running.
struct Quit
{
  int exit_code = 0;
};

using Action = std::variant<
    // to the platform
    ReadLog, AppendRecord, ReadList, FetchFromPlatform,
    // to other instances
    SendReport, SendAnnouncement, FetchPiece, CancelFetch, FetchRecords, StartRun, CancelRun,
    AskToBar, AskKey, AnswerKey, AnswerReport, AnswerPiece, AnswerRecords, AnswerHead, AnswerRunEnd,
    AnswerBar,
    // to the target
    LoadTarget, CancelLoad, RunOnTarget, CancelTargetRun,
    // to callers
    StartAnswer, PassPart, EndAnswer, CutAnswer, RefuseCaller,
    // to the process
    Quit>;

using Actions = std::vector<Action>;
} // namespace Holdpost::NodeCore
