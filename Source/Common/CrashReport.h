// SPDX-License-Identifier: Apache-2.0
#pragma once

// The last line of a process that ends by a fault of its own: without it an operator would only see
// that the log stops.
namespace Holdpost::Common
{
// From now on an exception that nobody catches, or a signal such as SIGSEGV, writes one line of the
// structured log with the place where it happened, and the process ends as it would have without.
// Lines that were not written yet go out first.
void InstallCrashReport();
} // namespace Holdpost::Common
