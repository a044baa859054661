// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/HttpMessage.h"
#include "Common/UnreadFields.h"
#include "Core/Gateway/Messages.h"
#include "Peers/Target/HeaderNames.h"

// Translates between HTTP heads and the requests that a gateway decides on.
namespace Holdpost::TargetPeer
{
// The status by which a target says that the request was meant for another one at its address.
inline constexpr int MISDIRECTED_STATUS = 421;

// What the gateway needs to know of a caller's whole request.
Gateway::CallerRequest ReadCallerRequest(const Common::HttpHead& head, std::string_view body,
                                         const HeaderNames& names);
// The rate limit that a target's answer names, in requests a second; empty if it names none, or
// none that can be kept.
std::optional<double> ReadRateLimit(const Common::HttpHead& answer, const HeaderNames& names);
// The time for which a target that turns a request away wants no more of them; empty if its answer
// names none, or none that can be read. A target's answer is asked about with its status.
std::optional<Common::Duration> ReadRest(const Common::HttpHead& answer);
// Whether an answer says that its target leaves.
bool SaysLeaving(const Common::HttpHead& answer, const HeaderNames& names);
// The fields of a target's answer that are read, or that need no reader.
Common::KnownFields KnownAnswerFields(const HeaderNames& names);
// The head of the request as the target gets it, before a body of so many bytes: method and path as
// the caller sent them, the caller's fields but for those of its connection, and what the gateway
// sets itself.
std::string WriteTargetHead(const Common::HttpHead& head, std::size_t body_bytes,
                            const Gateway::Dispatch& dispatch, const HeaderNames& names);
// The header lines of a target's answer, as the caller gets them.
std::string AnswerFieldLines(const Common::HttpHead& answer);
} // namespace Holdpost::TargetPeer
