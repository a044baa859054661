// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "Peers/Instance/Instance.capnp.h"
#include "Peers/Instance/Mail.h"

// Between the wire's structs and the system's own types. Readers of untrusted input never throw on
// odd values: numbers out of range become the nearest meaning.
namespace Holdpost::InstancePeer
{
void Write(const Membership::Report& report, Wire::Report::Builder out);
Membership::Report Read(Wire::Report::Reader in);

void Write(const Distribution::Announcement& announcement, Wire::Announcement::Builder out);
Distribution::Announcement Read(Wire::Announcement::Reader in);

void Write(const Sender& sender, Wire::Sender::Builder out);
Sender Read(Wire::Sender::Reader in);

void Write(const Common::Error& error, Wire::Failure::Builder out);
// Empty if the struct says success.
std::optional<Common::Error> Read(Wire::Failure::Reader in);

void Write(const Runs::RunKey& key, Wire::RunKey::Builder out);
Runs::RunKey Read(Wire::RunKey::Reader in);

void Write(const Runs::RunRequest& request, Wire::RunRequest::Builder out);
Runs::RunRequest Read(Wire::RunRequest::Reader in);

void Write(const Claims::KeptAnswer& answer, Wire::Instance::KeyResults::Builder out);
Claims::KeptAnswer Read(Wire::Instance::KeyResults::Reader in);

void Write(const LogStretch& stretch, Wire::Instance::RecordsResults::Builder out);
LogStretch Read(Wire::Instance::RecordsResults::Reader in);

capnp::Data::Reader ToData(const Common::Digest& digest);
Common::Digest ToDigest(capnp::Data::Reader data);
std::string ToString(capnp::Data::Reader data);
} // namespace Holdpost::InstancePeer
