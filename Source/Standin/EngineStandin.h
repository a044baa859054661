// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/HttpServer.h"
#include "Common/YamlReader.h"
#include "Core/Distribution/Manifest.h"

// Takes a model engine's place: takes weights and fenced orders, streams answers that show which
// version, organisation and request they belong to.
namespace Holdpost::Standin
{
struct EngineConfig
{
  Common::Address listen;
  Common::Milliseconds token_time{5};
  bool checks_fence = true;
  // Keeps the pieces of versions that are not loaded.
  bool keeps_weights = false;
};

std::variant<EngineConfig, Common::Problems> ReadEngineConfig(const std::string& file);

class EngineStandin
{
public:
  EngineStandin(Common::EventLoop& loop, EngineConfig config);
  Common::Result<Common::Address> Listen() { return m_server.Listen(m_config.listen); }

private:
  using Exchange = std::shared_ptr<Common::HttpExchange>;

  struct Weights
  {
    std::string manifest;
    std::map<std::uint32_t, std::string> pieces;
  };

  struct Faults
  {
    int cut_answers = 0;   // a stream is cut in the middle
    int refuse_loads = 0;  // an order to load fails
    int stall_answers = 0; // a stream stops and stays open
    int oversize_answers = 0;
    int hold_loads = 0; // an order to load is looked at only when it is released
  };

  // A completion under way; keeps the version that it began with.
  struct Stream
  {
    Exchange exchange;
    std::string version;
    std::string organisation;
    std::string request;
    int next = 0;
    int count = 0;
    bool is_event_stream = true;
    bool is_cut = false;
  };

  void Handle(const Exchange& exchange);
  bool IsFenced(const Exchange& exchange);
  void TakeWeights(const Exchange& exchange);
  void HandleLoad(const Exchange& exchange);
  void TakeLoad(const Exchange& exchange);
  void HandleCompletion(const Exchange& exchange);
  void SendToken(const std::shared_ptr<Stream>& stream);
  void HandleFaults(const Exchange& exchange);
  void HandleStats(const Exchange& exchange);

  Common::EventLoop& m_loop;
  EngineConfig m_config;
  Common::HttpServer m_server;
  std::map<std::string, Weights> m_weights;
  std::string m_loaded;
  std::string m_model;
  // The claim and, within it, the number of the newest order.
  std::pair<std::uint64_t, std::uint64_t> m_newest_order;
  std::map<std::string, int> m_runs; // by request
  nlohmann::json m_loads = nlohmann::json::array();
  Faults m_faults;
  int m_corrupt_pieces_taken = 0;
  std::vector<Exchange> m_held_loads;
  int m_fenced = 0;
};
} // namespace Holdpost::Standin
