// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Settings/Tree.h"

// The settings as one whole document with a version, for platforms that hand out all of them at
// once instead of a log of changes.
namespace Holdpost::Settings
{
// Versions only rise. 0 means that no document is known.
using DocumentVersion = std::uint64_t;

// What may be done with a request again.
enum class Repetition
{
  // May run more than once.
  Idempotent,
  // Runs at most once.
  Once,
};

struct WeightedService
{
  std::string service;
  std::uint32_t weight = 1;
};

// Where requests of a host and path prefix go, and how they are treated.
struct Route
{
  std::string name;
  std::string host;
  std::string path_prefix; // begins and ends with a slash
  std::vector<WeightedService> services;
  Repetition repetition = Repetition::Once;
  // The answer is a stream of events.
  bool is_stream = false;
  // A broken stream may be continued by another run after the last event.
  bool is_resumable = false;
  bool allows_anonymous = false;
  // An answer is given up after so long.
  Common::Milliseconds timeout{30000};
  // An answer, or a stream's first event, is on time within so long.
  Common::Milliseconds goal{1000};
  // A stream is on time while its events are no farther apart; 0 if that is not known.
  Common::Milliseconds pause_goal{0};
  // 0 is the most urgent.
  int priority = 0;
  // Targets that one request may be sent to.
  std::uint32_t max_attempts = 1;
};

// How long a model engine takes; requests that run together share each step.
struct EngineProfile
{
  std::uint32_t slots = 1;
  double step_ms = 0;
  double step_per_sequence_ms = 0;
  double step_per_context_ms = 0; // for each 1,000 tokens of context of a sequence
  double prompt_tokens_per_ms = 1;
  double prompt_pairs_ms = 0; // for each million pairs of prompt tokens
  std::uint32_t tokens_per_event = 1;
  std::uint32_t usual_prompt_tokens = 1;
  std::uint32_t usual_answer_tokens = 1;

  bool operator==(const EngineProfile&) const = default;
};

// A model of a service, as its weights are handed out.
struct ModelSettings
{
  std::string name;
  std::uint32_t pieces = 0;
  std::uint32_t piece_bytes = 0;
  // From the order to load until requests are taken again.
  Common::Milliseconds warm_up{0};
  std::uint32_t layers = 0; // 0 if not known
};

struct ServiceSettings
{
  std::string name;
  // Connections that one target takes from all callers together; 0 if not known.
  std::uint32_t connections_most = 0;
  // For services whose targets are model engines.
  std::optional<EngineProfile> engine;
  std::vector<ModelSettings> models;
  // The page at which a target says who it is; empty if there is none.
  std::string health_path = {};
};

// Where weights come from.
struct OriginSettings
{
  Common::Address address;
  std::string hall;
  std::uint32_t connections_most = 0;
  // Of its link; 0 if not known.
  std::uint64_t bytes_per_second = 0;
};

struct OrganisationSettings
{
  std::string name;
  std::vector<std::string> credentials;
  // Outranks the route's priority if given.
  std::optional<int> priority;
};

// What callers may send.
struct CallerLimits
{
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4 << 20;
  Common::Milliseconds header_timeout{10000};
  Common::Milliseconds idle_timeout{75000};
};

struct Document
{
  DocumentVersion version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSettings> services;
  std::vector<OrganisationSettings> organisations;
  std::optional<OriginSettings> origin;
  CallerLimits limits;
  // The same settings by level, for what inherits.
  Tree tree;
};
} // namespace Holdpost::Settings
