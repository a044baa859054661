// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "Core/Settings/Path.h"

// The closed list of settings that a node of the tree may state.
namespace Holdpost::Settings
{
enum class Field
{
  AnswerBytesMost,
  BurstTokens,
  CredentialSha256,
  DeadAfterMs,
  DeadlineMs,
  DrainMs,
  Enabled,
  HeartbeatMs,
  KeptAnswerBytes,
  KeptAnswerMs,
  Kind,
  LeaseMs,
  LinkBytesPerSecond,
  Model,
  Neighbours,
  PatienceMs,
  Pool,
  Priority,
  QueueMost,
  Repeatable,
  Replicas,
  ReportEntries,
  RetryPercent,
  ServingSharePercent,
  SlotsPerTarget,
  SnapshotRecords,
  StallMs,
  SwitchMost,
  TokensPerSecond,
  UploadQueueMost,
  Version,
  Weigh,
  Weight,
  WindowPieces,
};

enum class FieldType
{
  Integer,
  Boolean,
  Name,   // a-z, 0-9, "-"
  Digest, // 64 hex digits
  Choice, // one of the words in `choices`
};

using Value = std::variant<std::int64_t, bool, std::string>;
using Values = std::map<Field, Value>;

struct FieldRule
{
  Field field;
  std::string_view name; // as in the tree's YAML and in records
  FieldType type;
  std::int64_t least;
  std::int64_t most;
  std::string_view choices; // separated by spaces
  Level deepest;            // the lowest level at which the field makes sense
  Level highest;            // the uppermost level that may state it
  Value fallback;           // in force where no level states it
  std::string_view help;    // with the unit
};

std::span<const FieldRule> FieldRules();
const FieldRule& RuleFor(Field field);
// Null if no field has the name.
const FieldRule* FindRule(std::string_view name);
// Empty if the value fits the rule, else "found X, expected Y".
std::string ExplainValue(const FieldRule& rule, const Value& value);
// Reads a YAML scalar by the rule's type; a text that does not fit stays a text, which ExplainValue
// then refuses.
Value ParseValue(const FieldRule& rule, const std::string& text);
std::string ValueText(const Value& value);
} // namespace Holdpost::Settings
