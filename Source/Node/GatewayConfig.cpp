// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayConfig.h"

namespace Holdpost::Node
{
using Common::Milliseconds;
using Common::Problems;
using Common::YamlReader;

static constexpr double DAY_SECONDS = 86400;
static constexpr double BYTES_PER_MEBIBYTE = 1 << 20;
static constexpr double MIN_MEBIBYTES = 32;
static constexpr double MAX_MEBIBYTES = 1 << 20;

static Milliseconds ToMilliseconds(double seconds)
{
  return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
}

static Milliseconds ReadMilliseconds(YamlReader& reader, const std::string& field,
                                     Milliseconds fallback)
{
  const auto otherwise = static_cast<double>(fallback.count());
  return ToMilliseconds(reader.Real(field, otherwise, 0, DAY_SECONDS * 1000) / 1000);
}

static Milliseconds ReadSeconds(YamlReader& reader, const std::string& field, Milliseconds fallback)
{
  const double seconds = std::chrono::duration<double>(fallback).count();
  return ToMilliseconds(reader.Real(field, seconds, 0, DAY_SECONDS));
}

static std::size_t ReadMebibytes(YamlReader& reader, const std::string& field, std::size_t fallback)
{
  const double otherwise = static_cast<double>(fallback) / BYTES_PER_MEBIBYTE;
  const double mebibytes = reader.Real(field, otherwise, MIN_MEBIBYTES, MAX_MEBIBYTES);
  return static_cast<std::size_t>(mebibytes * BYTES_PER_MEBIBYTE);
}

static MeshConfig ReadMesh(YamlReader& reader)
{
  MeshConfig mesh;
  mesh.instance = reader.RequiredString("instance");
  mesh.region = reader.RequiredString("region");
  mesh.hall = reader.RequiredString("hall");
  mesh.mesh_listen = reader.ReadAddress("mesh_listen", true, true);
  mesh.admin_listen = reader.ReadAddress("admin_listen", true, true);
  mesh.platform = reader.ReadAddress("platform", true, false);
  mesh.seeds = reader.AddressList("seeds");
  mesh.switch_within = ReadMilliseconds(reader, "switch_within_ms", mesh.switch_within);
  mesh.start_grace = ReadMilliseconds(reader, "start_grace_ms", mesh.start_grace);
  mesh.drain_within = ReadMilliseconds(reader, "drain_within_ms", mesh.drain_within);
  mesh.stop_within = ReadSeconds(reader, "stop_within_seconds", mesh.stop_within);
  const double megabits = reader.Real("link_megabits_per_second", 0, 0, 1e6);
  mesh.link_bytes_per_second = static_cast<std::uint64_t>(megabits * 1e6 / 8);
  return mesh;
}

// Settings that a newer platform adds are not known here and do no harm: unknown fields are taken.
template <typename Config, typename Read>
static std::variant<Config, Problems> ReadConfig(const std::string& file, const Read& read)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  Config config = read(reader);
  if (!problems.empty())
    return problems;
  config.mesh.file = file;
  return config;
}

std::variant<GatewayConfig, Problems> ReadGatewayConfig(const std::string& file)
{
  return ReadConfig<GatewayConfig>(
      file,
      [](YamlReader& reader)
      {
        GatewayConfig config;
        config.mesh = ReadMesh(reader);
        config.caller_listen = reader.ReadAddress("caller_listen", true, true);
        config.ready_listen = reader.ReadAddress("ready_listen", true, true);
        config.ready_path = reader.String("ready_path", config.ready_path);
        config.memory_bytes = ReadMebibytes(reader, "memory_mebibytes", config.memory_bytes);
        config.retries.ratio = reader.Real("retry_ratio", config.retries.ratio, 0, 1);
        config.retries.extra = reader.Real("retry_extra", config.retries.extra, 0, 1e6);
        config.retries.window = ReadSeconds(reader, "retry_window_seconds", config.retries.window);
        return config;
      });
}

std::variant<SidecarConfig, Problems> ReadSidecarConfig(const std::string& file)
{
  return ReadConfig<SidecarConfig>(file,
                                   [](YamlReader& reader)
                                   {
                                     SidecarConfig config;
                                     config.mesh = ReadMesh(reader);
                                     config.target = reader.ReadAddress("target", true, false);
                                     config.service = reader.String("service", "");
                                     return config;
                                   });
}
} // namespace Holdpost::Node
