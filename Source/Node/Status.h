// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "Core/Node/Agent.h"
#include "Core/Node/Entry.h"

// The /status page of a daemon, as JSON.
namespace Holdpost::Node
{
std::string StatusOf(const NodeCore::Agent& agent);
std::string StatusOf(const NodeCore::Entry& entry, Common::TimePoint now);
} // namespace Holdpost::Node
