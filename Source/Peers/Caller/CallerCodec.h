// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Common/HttpServer.h"
#include "Core/Routing/CallerRequest.h"

// What callers send to an entry over HTTP: an OpenAI-style completion for a model, or a call to a
// plain service below /services/NAME/.
namespace Holdpost::CallerPeer
{
Common::Result<Routing::CallerRequest> ParseCallerRequest(const Common::HttpRequest& request);
} // namespace Holdpost::CallerPeer
