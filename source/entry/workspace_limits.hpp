#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "core/configuration/declarations.hpp"

namespace amaranthhatch::entry
{

/// @brief Requests of each workspace that this entry serves at once.
class workspace_limits
{
public:
    /// @brief Holds one place until it is destroyed.
    class place
    {
    public:
        place() = default;
        place(workspace_limits& owner, std::string workspace)
            : owner(&owner), workspace(std::move(workspace))
        {
        }
        place(place&& other) noexcept;
        place& operator=(place&& other) noexcept;
        ~place();

        explicit operator bool() const { return this->owner != nullptr; }

    private:
        workspace_limits* owner = nullptr;
        std::string workspace;
    };

    /// @brief Takes a place; empty where the workspace has none left.
    place enter(const core::configuration::declarations& declared,
                std::string_view workspace);

private:
    void leave(const std::string& workspace);

    std::mutex guard;
    std::map<std::string, std::uint32_t, std::less<>> running;
};

} // namespace amaranthhatch::entry
