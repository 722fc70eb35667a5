#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace amaranthhatch::tests
{

/// @brief Limits that the settings give the programs; 0: they name none.
struct program_memory
{
    int entry_mb = 0;
    int batch_mb = 0;
    /// Descriptors that each program may open.
    int max_fds = 0;
};

/// @brief The platform's programs on loopback, with its store and workers.
class platform_fleet
{
public:
    platform_fleet(int entries, int batch_hosts, int workers,
                   program_memory memory = {}, std::string bounds = "");
    ~platform_fleet();

    /// @brief Starts everything and waits until the entries are ready.
    void start();

    /// @brief Writes the operator's configuration with one more version.
    void configure(const std::function<void(nlohmann::json&)>& change = {});

    /// @brief Writes or renews a worker's entry.
    void register_worker(std::size_t worker, const std::string& state);
    /// @brief Writes the entry of a worker that has started again.
    void register_restarted_worker(std::size_t worker);
    void drop_worker(std::size_t worker);

    /// @brief Deletes a batch host's data folder.
    void wipe(std::size_t host);

    /// @brief A call to an entry as a client makes it.
    http::reply call(std::size_t entry, const std::string& method,
                     const std::string& path, const std::string& id,
                     const std::string& body,
                     const std::vector<http::header>& headers = {}) const;

    /// @brief The body of a worker's whole stream.
    static std::string stream_text(const std::string& id, int events = 10);

    /// @brief The body that submits a job of items with these bodies.
    ///
    /// With a prompt, each item's prompt is these parts and one of its own.
    static std::string job_body(const std::string& job,
                                const std::vector<std::string>& bodies,
                                const std::string& prompt = "");

    /// @brief Reads all results; empty where the answer isn't 200.
    nlohmann::json results(std::size_t entry, const std::string& job,
                           const std::vector<http::header>& headers = {}) const;

    /// @brief The lines that a node wrote to its standard output.
    std::string log_of(const fleet::node& node) const;

    fleet::node store;
    std::vector<fleet::node> entries;
    std::vector<fleet::node> batch_hosts;
    std::vector<fleet::node> workers;
    std::vector<std::string> fronts;
    std::vector<std::string> ready;
    nlohmann::json configuration;
    std::string folder;
    /// Further lines of the settings' table of bounds.
    std::string bounds;

private:
    fleet::node make(const std::string& name, const std::string& zone);
    void write_settings(const fleet::node& node, const std::string& front,
                        const std::string& ready_address,
                        const std::string& data) const;

    program_memory memory;
    /// How often each worker has started, as its incarnation.
    std::map<std::size_t, int> starts;
};

} // namespace amaranthhatch::tests
