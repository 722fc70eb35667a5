#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "child_process.hpp"
#include "http/client.hpp"

namespace amaranthhatch::fleet
{

/// @brief A place where a node runs.
struct site
{
    std::string region;
    std::string zone;
};

/// @brief What a fleet on loopback consists of.
struct fleet_plan
{
    std::vector<site> sites;
    int entries = 3;
    int batch_hosts = 0;
    int engines = 3;
    int services = 0;
    std::string model = "despacho-llm";
    std::string strategy = "coordinated";
    std::string queue_order = "short_first";
    int initial_concurrency = 16;
    int most_concurrency = 64;
    std::string claim_window = "60s";
    std::string declarations;
    nlohmann::json engine_settings = nlohmann::json::object();
    std::string retry_percent = "10";
    std::string hedge_percent = "4";
};

/// @brief One started process with its address.
struct node
{
    std::string name;
    site place;
    std::string address;
    std::string metrics;
    std::vector<std::string> command;
    std::string log_file;
    std::unique_ptr<child_process> process;

    void start();
    void restart();
};

/// @brief Declarations with an online, an urgent and a batch class.
std::string default_declarations(const std::string& model);

/// @brief Three zones in two regions.
std::vector<site> three_zones();

/// @brief Starts the programs and the stand-ins on loopback ports.
class fleet
{
public:
    explicit fleet(fleet_plan plan);
    ~fleet();

    /// @brief Starts everything and waits until all entries are ready.
    void start();

    /// @brief Ends everything at once.
    void kill_all();

    std::vector<node> coordinators;
    std::vector<node> entries;
    std::vector<node> batch_hosts;
    std::vector<node> engines;
    std::vector<node> services;
    node store;
    node hosts;
    fleet_plan plan;
    std::string folder;
    std::string ctl_settings;

    /// @brief Writes the host list; names in leaving are shown so, names in
    /// absent are left out.
    void publish_hosts(const std::vector<std::string>& leaving = {},
                       const std::vector<std::string>& absent = {},
                       int lag_ms = 0);

    /// @brief Runs hatch-ctl; its output and exit status.
    struct ctl_result
    {
        int status = -1;
        std::string output;
    };
    ctl_result ctl(const std::vector<std::string>& arguments) const;

    /// @brief Writes declarations to a file and gives its name.
    std::string write_file(const std::string& name,
                           const std::string& text) const;

    /// @brief Deletes a batch host's data, as on a replaced host.
    void clear_data(const node& host) const;

private:
    node make_node(const std::string& name, const site& place);
    void write_settings();
    std::string node_table(const node& one) const;
};

/// @brief Makes fleets that end from now on keep their folders, with the logs
/// of all programs, or not. Also kept while HATCH_KEEP is set.
void keep_folders(bool keep);

/// @brief Removes a fleet's folder, or says on standard error where it is kept.
void remove_folder(const std::string& folder);

/// @brief The path of one of the project's programs.
std::string binary(const std::string& name);

/// @brief A loopback address whose port is free; no port is given twice.
std::string free_address();

/// @brief Posts JSON to a stand-in's switches.
nlohmann::json admin(const node& target, const nlohmann::json& change);

/// @brief Reads a stand-in's counters.
nlohmann::json counters(const node& target);

/// @brief Waits until a condition holds; false after the limit.
bool eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds limit = std::chrono::seconds(30));

/// @brief A GET or POST with a generous time limit.
http::reply get(const std::string& address, const std::string& path);
http::reply post(const std::string& address, const std::string& path,
                 const std::string& body,
                 const std::vector<http::header>& headers = {});

/// @brief The sum of a Prometheus counter over all its labels, or with one.
double metric(const node& target, const std::string& family,
              const std::string& label = "");

} // namespace amaranthhatch::fleet
