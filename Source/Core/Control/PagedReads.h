// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "Core/Control/ControlMessages.h"

// Joins the pages in which a platform delivers what it was asked for.
namespace Holdpost::Control
{
// The later of two documents counts.
inline void AppendPage(OperatorChanges* read, OperatorChanges page)
{
  if (page.document)
  {
    read->document = std::move(page.document);
    read->text = std::move(page.text);
  }
  std::ranges::move(page.weights, std::back_inserter(read->weights));
  read->next = page.next;
}

inline void AppendPage(TargetsRead* read, TargetsRead page)
{
  std::ranges::move(page.changes, std::back_inserter(read->changes));
  read->is_whole = page.is_whole;
  read->next = page.next;
}

template <typename T>
void AppendPage(std::vector<T>* read, std::vector<T> page)
{
  std::ranges::move(page, std::back_inserter(*read));
}
} // namespace Holdpost::Control
