// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/HttpServer.h"
#include "Common/YamlReader.h"
#include "Core/Distribution/LinkBudget.h"
#include "Standin/StandinLog.h"

// Takes the platform's place in tests and first runs: log, list of instances and origin of weights.
namespace Holdpost::Standin
{
struct PlatformConfig
{
  // Several listeners, so that instances that use one of them can be cut off.
  std::vector<Common::Address> listen;
  std::string weights_dir; // DIGEST.manifest and DIGEST.weights
  std::uint64_t origin_bytes_per_second = 0;
  // The weight store holds the same versions if it is switched on.
  bool has_store = false;
  std::uint64_t store_bytes_per_second = 0;
  std::size_t retain_records = 100000;
};

std::variant<PlatformConfig, Common::Problems> ReadPlatformConfig(const std::string& file);

class PlatformStandin
{
public:
  PlatformStandin(Common::EventLoop& loop, PlatformConfig config);
  // The addresses in use, or the first failure.
  Common::Result<std::vector<Common::Address>> Listen();

private:
  struct Faults
  {
    std::vector<bool> cut; // by listener: every call on it is dropped
    bool is_log_down = false;
    bool is_origin_down = false;
    int lose_append_answers = 0; // the append happens, its answer does not come
    int corrupt_pieces = 0;
    Common::Milliseconds log_delay{0};
  };

  struct Version
  {
    Common::Bytes manifest;
    std::string weights;
    std::uint32_t piece_bytes = 0;
    std::uint64_t bytes_fetched = 0; // from the origin
    std::uint64_t store_bytes_fetched = 0;
  };

  using Exchange = std::shared_ptr<Common::HttpExchange>;

  void Handle(std::size_t listener, const Exchange& exchange);
  void HandleLog(const Exchange& exchange);
  void ReadLog(const Exchange& exchange, Common::Offset after, Common::TimePoint until);
  void AppendLog(const Exchange& exchange);
  void HandleInstances(const Exchange& exchange);
  void HandleWeights(const Exchange& exchange, bool is_store);
  void HandleFaults(const Exchange& exchange);
  void HandleStats(const Exchange& exchange);
  void SendLimited(const Exchange& exchange, std::string data, Distribution::LinkBudget& link,
                   std::uint64_t* fetched);
  Version* FindVersion(const std::string& digest);

  Common::EventLoop& m_loop;
  PlatformConfig m_config;
  std::vector<std::unique_ptr<Common::HttpServer>> m_servers;
  StandinLog m_log;
  std::map<std::string, nlohmann::json> m_instances;
  std::map<std::string, Version> m_versions;
  Distribution::LinkBudget m_origin_link;
  Distribution::LinkBudget m_store_link;
  Faults m_faults;
  std::uint64_t m_list_revision = 1;
  std::uint64_t m_appends = 0;
  std::uint64_t m_origin_requests = 0;
};
} // namespace Holdpost::Standin
