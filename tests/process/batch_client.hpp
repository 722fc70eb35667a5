#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace amaranthhatch::tests
{

/// @brief A caller who sends one batch job and checks its output.
class batch_client
{
public:
    batch_client(fleet::fleet& running, std::uint32_t items,
                 std::uint32_t tokens);

    /// @brief Uploads the input, trying all entries in turn.
    void upload();

    /// @brief Creates the job by way of an entry; the answer as JSON.
    nlohmann::json create(std::size_t entry, const std::string& key);

    /// @brief Creates it and sends it again until it is accepted.
    void create_until_accepted(const std::string& key);

    nlohmann::json status(std::size_t entry) const;
    bool cancel(std::size_t entry) const;
    std::string output(std::size_t entry) const;

    /// @brief The job's manifest as the key-value service has it.
    nlohmann::json manifest() const;

    /// @brief What is wrong with an output: empty where each item stands in it
    /// once, with its right text or its own error.
    std::string check_output(const std::string& output) const;

    const std::string& job() const { return this->job_name; }

private:
    fleet::fleet& running;
    std::uint32_t items;
    std::uint32_t tokens;
    std::string file;
    std::string job_name;
};

} // namespace amaranthhatch::tests
