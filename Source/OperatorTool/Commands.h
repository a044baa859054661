// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

// The subcommands of `holdpost`. Each takes the arguments after its name and returns an exit code.
namespace Holdpost::OperatorTool
{
using Arguments = std::vector<std::string>;

int RunCheck(const Arguments& arguments);
int RunShow(const Arguments& arguments);
int RunDiff(const Arguments& arguments);
int RunPublish(const Arguments& arguments);
int RunManifest(const Arguments& arguments);
int RunStatus(const Arguments& arguments);
int RunWatch(const Arguments& arguments);
int RunExplain(const Arguments& arguments);
int RunLosses(const Arguments& arguments);
} // namespace Holdpost::OperatorTool
