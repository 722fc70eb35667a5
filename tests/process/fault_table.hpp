#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace amaranthhatch::tests
{

/// @brief One row of a fault table: its fields, split at the bars.
using fault_row = std::vector<std::string>;

/// @brief Reads a table below tests/cases/faults.
std::vector<fault_row> read_faults(const std::string& file);

/// @brief Splits a field at blanks.
std::vector<std::string> words_of(const std::string& text);

/// @brief Finds a node of a fleet by its name.
fleet::node& node_of(fleet::fleet& running, const std::string& name);

/// @brief Runs steps such as "kill:engine0" or "sleep:500".
///
/// Names that the resolver knows, such as "owner", are replaced first; steps
/// that are not listed here go to it too, and it says whether it took them.
struct step_resolver
{
    std::function<std::string(const std::string&)> name;
    std::function<bool(const std::string&)> step;
};

void run_steps(fleet::fleet& running, const std::string& steps,
               const step_resolver& resolver);

} // namespace amaranthhatch::tests
