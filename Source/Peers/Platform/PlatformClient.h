// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Common/Error.h"
#include "Common/HttpClient.h"
#include "Core/Node/PlatformMessages.h"

// The platform's services over HTTP: the append-only log, the list of instances, the origin of
// weights. Their protocol is described in docs/PLATFORM.md.
namespace Holdpost::PlatformPeer
{
using NodeCore::LogRead;

class PlatformClient
{
public:
  // Several addresses are the same platform; after a failure the next one is used.
  PlatformClient(Common::HttpClient& http, std::vector<Common::Address> addresses);

  // Records after an offset. Waits up to `wait` for the first one to come.
  void ReadLog(Common::Offset after, Common::Milliseconds wait,
               std::function<void(Common::Result<LogRead>)> done);
  // On an error the record may or may not be in the log: look for its id before appending again.
  void Append(const std::string& record, std::function<void(Common::Result<Common::Offset>)> done);
  // Asks only for what changed since the last call.
  void ListInstances(std::function<void(NodeCore::ListRead)> done);
  // A piece of a version, or its manifest for MANIFEST_PIECE, from the weight store or the origin.
  // SourceBusy says when to come back.
  Common::HttpClient::CallId FetchPiece(Distribution::PlatformSource source,
                                        const Common::Digest& version, std::uint32_t piece,
                                        std::function<void(Common::Result<Common::Bytes>)> done);
  void Cancel(Common::HttpClient::CallId call) { m_http.Cancel(call); }

private:
  Common::HttpClient::CallId Get(const std::string& path, Common::Milliseconds idle_timeout,
                                 std::function<void(Common::Result<Common::HttpReply>)> done,
                                 const Common::HttpHeaders& headers = {});
  const Common::Address& CurrentAddress() const { return m_addresses[m_current]; }
  void OnFailed() { m_current = (m_current + 1) % m_addresses.size(); }

  Common::HttpClient& m_http;
  std::vector<Common::Address> m_addresses;
  std::size_t m_current = 0;
  std::string m_list_tag; // of the list that was read last
};
} // namespace Holdpost::PlatformPeer
