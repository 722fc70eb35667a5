#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "batch/journal_file.hpp"
#include "core/instant.hpp"
#include "core/jobs/job_manifest.hpp"
#include "core/messages/members.hpp"
#include "net/rpc_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::batch
{

/// @brief How reading a peer's copy ended.
enum class fetch_result : std::uint8_t
{
    fetched,
    /// The peer is there and has no copy.
    absent,
    failed
};

/// @brief The other batch hosts: who lives, and their copies of journals.
class batch_peers : public core::jobs::host_liveness
{
public:
    batch_peers(core::messages::member self, routing::view_client& view,
                net::rpc_client& peers);

    /// @brief False only after a host has been seen gone for a while.
    bool is_alive(std::string_view host) const override;

    /// @brief Notes who lives now; to be called at intervals.
    void look();

    std::optional<core::messages::member> find(std::string_view host) const;

    /// @brief Hosts in other zones that can hold a second copy, in the order
    /// in which a job should try them.
    std::vector<core::messages::member>
    second_hosts(std::string_view job,
                 const std::vector<std::string>& preferred) const;

    /// @brief Brings a peer's copy up to this one, from a position on.
    core::messages::append_answer::verdict
    replicate(const journal_file& from, const std::string& job,
              std::uint64_t epoch, std::uint64_t position,
              const std::string& address);

    /// @brief Seals a peer's copy and reads it into this one.
    fetch_result fetch(journal_file& into, const std::string& job,
                       std::uint64_t epoch, const std::string& address);

    bool put_file_copy(const core::messages::file_put& file,
                       const std::string& address);
    std::optional<std::string> get_file(const std::string& file);

    const core::messages::member& self() const { return this->own; }

private:
    std::vector<core::messages::member> others() const;

    core::messages::member own;
    routing::view_client& view;
    net::rpc_client& peers;
    core::instant started;
    mutable std::mutex guard;
    std::map<std::string, core::instant, std::less<>> seen_alive;
};

} // namespace amaranthhatch::batch
