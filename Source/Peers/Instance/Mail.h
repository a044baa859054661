// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <variant>

#include "Core/Node/InstanceMessages.h"

// What the RPC task is told and what it tells.
namespace Holdpost::InstancePeer
{
using namespace NodeCore; // the messages are the same inside and outside of the task

struct StopTask
{
};

using ToRpc =
    std::variant<SendReport, SendAnnouncement, FetchPiece, CancelFetch, FetchRecords, StartRun,
                 TakeNextPart, CancelRun, AskToBar, AskKey, AnswerKey, AnswerReport, AnswerPiece,
                 AnswerRecords, AnswerHead, AnswerChunk, AnswerRunEnd, AnswerBar, StopTask>;

using FromRpc = std::variant<ReportReceived, AnnouncementReceived, PieceRequested, PieceAbandoned,
                             RecordsRequested, RunRequested, RunAbandoned, RunDrained, BarRequested,
                             ReportAnswered, PeerUnreachable, PieceFetched, RecordsFetched, RunHead,
                             RunChunk, RunEnded, BarAnswered, KeyAsked, KeyAnswered>;
} // namespace Holdpost::InstancePeer
