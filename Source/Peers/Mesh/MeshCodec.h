// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Mesh/MeshMessages.h"

// Mesh messages as Cap'n Proto.
namespace Holdpost::MeshPeer
{
struct Envelope
{
  Mesh::Sender from;
  Mesh::Message message;
};

std::string Encode(const Mesh::Sender& from, const Mesh::Message& message);
// Empty if the bytes are no message.
std::optional<Envelope> Decode(std::string_view bytes);
} // namespace Holdpost::MeshPeer
