#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "adapters/key_value_store.hpp"
#include "coordinator/shared_state.hpp"
#include "core/messages/members.hpp"
#include "net/rpc_client.hpp"

namespace amaranthhatch::operators
{

/// @brief The operators' commands on a running fleet.
///
/// Each command writes to out and gives the exit status: 0 done, 1 failed, 3
/// conflict with another operator, 4 unknown.
class control_tool
{
public:
    control_tool(adapters::key_value_store& store,
                 std::vector<std::string> coordinators, net::rpc_client& peers,
                 std::ostream& out);

    int validate(const std::string& file);
    int diff(const std::string& file);
    int apply(const std::string& file, const std::string& operator_name,
              std::chrono::milliseconds wait);
    int status();
    int jobs(const std::string& workspace);

private:
    struct current_configuration
    {
        bool reachable = false;
        coordinator::stored_configuration value;
        std::uint64_t version = 0;
    };

    current_configuration read_current();
    std::vector<core::messages::status_answer> ask_all();
    int wait_in_force(std::uint64_t revision, std::chrono::milliseconds wait);
    void print_difference(const std::string& from, const std::string& to);

    adapters::key_value_store& store;
    std::vector<std::string> coordinators;
    net::rpc_client& peers;
    std::ostream& out;
};

} // namespace amaranthhatch::operators
