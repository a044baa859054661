// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "Common/HttpClient.h"
#include "Core/Settings/Fold.h"
#include "Peers/Platform/PlatformClient.h"

// Calls that wait for their answer, for a command that does one thing after the other.
namespace Holdpost::OperatorTool
{
class Session
{
public:
  Session() : m_http(m_loop) {}

  Common::Result<Common::HttpReply> Get(const Common::Address& address, const std::string& path);
  // Folds the whole log up to its head.
  Common::Result<Settings::Fold> ReadFold(const std::vector<Common::Address>& platform);
  // Appends a change and says what became of it. If the answer is lost, the log is searched for
  // the change's id; it is never appended twice.
  Common::Result<Settings::Verdict> Publish(const std::vector<Common::Address>& platform,
                                            const Settings::Change& change);
  void Sleep(Common::Duration time);

private:
  Common::Result<PlatformPeer::LogRead> ReadLog(PlatformPeer::PlatformClient& client,
                                                Common::Offset after);

  Common::EventLoop m_loop;
  Common::HttpClient m_http;
};
} // namespace Holdpost::OperatorTool
