// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/HttpMessage.h"
#include "Peers/Target/HeaderNames.h"

// Reads which parts a caller's prompt consists of.
namespace Holdpost::TargetPeer
{
// The ids of the parts that other prompts may share: all but the last one, in order and each once,
// up to a maximum number. Hex ids are equal whatever their case and leading zeros; other ids are
// taken as they are.
std::vector<std::string> ReadSharedParts(const Common::HttpHead& head, const HeaderNames& names);
} // namespace Holdpost::TargetPeer
