// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/EventLoop.h"
#include "Common/HttpClient.h"
#include "UnitTests/Process/Program.h"

// Real daemons and stand-ins on loopback, for tests of kills, cuts and freezes.
namespace Holdpost::Process
{
// A process that has said where it listens.
class Daemon : public ChildProcess
{
public:
  Daemon(const std::string& program, const std::vector<std::string>& arguments,
         const std::string& log_file);

  Common::Address At(const std::string& name) const { return m_addresses.at(name).front(); }
  const std::vector<Common::Address>& AllAt(const std::string& name) const
  {
    return m_addresses.at(name);
  }

private:
  std::map<std::string, std::vector<Common::Address>> m_addresses;
};

// HTTP calls that wait for their answer.
class Caller
{
public:
  Caller() : m_http(m_loop) {}
  Common::Result<Common::HttpReply> Call(Common::HttpCall call);
  Common::Result<Common::HttpReply> Get(const Common::Address& address, const std::string& path);
  nlohmann::json Json(const Common::Address& address, const std::string& path);
  // Starts a call whose answer is waited for later with Finish.
  std::shared_ptr<Common::Result<Common::HttpReply>> Start(Common::HttpCall call);
  void Finish();
  // Moves started calls on without waiting.
  void RunDue() { m_loop.RunDue(); }

private:
  Common::EventLoop m_loop;
  Common::HttpClient m_http;
  int m_open = 0;
  bool m_is_waiting = false;
};

class Hall
{
public:
  // A folder for files, a platform, `agents` agents each with a model engine, `entries` entries.
  Hall(int agents, int entries, const nlohmann::json& platform_extra = {});
  ~Hall();
  Hall(const Hall&) = delete;
  Hall& operator=(const Hall&) = delete;

  void StartAgent(const std::string& name, const std::string& engine,
                  const std::string& target_name, bool checks_fence = true,
                  std::size_t platform_listener = 0);
  // An agent of an engine that is none of the hall's.
  void StartAgentOf(const Common::Address& engine, const std::string& name,
                    const std::string& target_name);
  void StartEngine(const std::string& name, const nlohmann::json& extra = {});
  void StartEntry(const std::string& name);
  // Where agents and entries that are started from now on reach the platform.
  void SetWayToPlatform(const Common::Address& way) { m_way_to_platform = way; }
  // Makes weights and returns their version.
  std::string MakeWeights(const std::string& name, std::size_t bytes, std::size_t piece_bytes);
  // Publishes a tree that wants the version at every agent; returns the operator's exit code.
  int Publish(const std::string& version, const nlohmann::json& root = {},
              const nlohmann::json& service = {});
  void SetFaults(const std::string& daemon, const nlohmann::json& faults);

  Daemon& Get(const std::string& name) { return *m_daemons.at(name); }
  Caller& Http() { return m_caller; }
  nlohmann::json Status(const std::string& name);
  nlohmann::json Stats(const std::string& name);
  bool Serves(const std::string& agent, const std::string& version);
  double CopiesFetched(const std::string& version);
  // A completion through an entry, as organisation bygg.
  Common::HttpCall Completion(const std::string& entry, int tokens) const;
  // Waits until the condition holds; fails the test after a long time, and leaves the logs behind.
  void WaitUntil(const std::string& what, const std::function<bool()>& condition);
  void WaitServing(const std::vector<std::string>& agents, const std::string& version);
  std::string Path(const std::string& name) const { return m_dir + "/" + name; }

private:
  Daemon& Start(const std::string& name, const std::string& program, const std::string& subcommand,
                const nlohmann::json& config);
  void List(const std::string& name, const std::string& role);
  // The configuration of an agent or an entry, with what is particular to it.
  nlohmann::json ConfigOf(const std::string& name, const nlohmann::json& own,
                          std::size_t platform_listener = 0) const;

  std::string m_dir;
  std::map<std::string, std::unique_ptr<Daemon>> m_daemons;
  Caller m_caller;
  int m_starts = 0;
  std::optional<Common::Address> m_way_to_platform;
  // Also when the test is over.
  bool m_keeps_files = false;
};
} // namespace Holdpost::Process
