#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "batches/disk_log.hpp"
#include "batches/job_store.hpp"
#include "batches/placement_agent.hpp"
#include "host/host_runtime.hpp"
#include "http/async_client.hpp"
#include "http/async_server.hpp"
#include "metrics/recorder.hpp"

#include "data_folder.hpp"

namespace amaranthhatch::tests
{

/// @brief A store that holds one placement and answers writes as the test says.
class placement_store : public store::async_store
{
public:
    void list(std::string_view prefix, listing_callback done) override;
    void watch(std::string_view prefix, std::uint64_t after_revision,
               std::chrono::milliseconds wait, listing_callback done) override;
    void commit(const store::change& wanted, change_callback done) override;
    void grant(std::chrono::milliseconds, lease_callback done) override
    {
        done({});
    }
    void renew(std::uint64_t, lease_callback done) override { done({}); }
    void revoke(std::uint64_t, lease_callback done) override { done({}); }

    /// @brief Answers the writes that were held back with write_outcome.
    void release_writes();

    /// @brief Changes the placement as another host does, at the next
    /// revision, and tells the watching host.
    void publish(core::batches::placement changed);

    std::string placement_key;
    core::batches::placement placement;
    std::uint64_t revision = 1;
    store::outcome write_outcome = store::outcome::done;
    /// True while writes are recorded, but not answered.
    bool hold_writes = false;
    /// The placements that were written, oldest first.
    std::vector<core::batches::placement> written;
    /// The revision that each of these writes required the placement to have.
    std::vector<std::uint64_t> required_revisions;

private:
    listing_callback watcher;
    std::vector<change_callback> held;
};

/// @brief Settings of the host that owns partitions, on a free address.
host::host_settings owner_settings();

/// @brief A host whose disk holds copies of another host's partitions.
class copy_host
{
public:
    copy_host(boost::asio::io_context& loop, std::string name);

    /// @brief Starts the process, which reads its jobs back from the disk.
    ///
    /// partitions is 0 while it hasn't read a placement.
    void start(std::size_t partitions);
    void stop();

    core::peers::beacon beacon(const host::host_runtime& to) const;

    const std::string& name() const { return this->host_name; }
    batches::job_store& jobs() { return *this->held_jobs; }
    const std::string& disk() const { return this->identity; }

    /// @brief Handles the appends that were held back, in order of arrival.
    void release_appends();
    std::size_t held_appends() const { return this->held.size(); }

    /// False while its beacons don't arrive.
    bool heard = false;
    /// True while appends that arrive are held back, as on a slow connection.
    bool hold_appends = false;

private:
    using exchange_ptr = std::shared_ptr<http::server_exchange>;

    void respond(const exchange_ptr& exchange);
    void append(const exchange_ptr& exchange);

    boost::asio::io_context& loop;
    std::string host_name;
    std::string address;
    data_folder folder;
    std::string identity;
    std::uint64_t incarnation = 0;
    std::unique_ptr<batches::disk_log> log;
    std::unique_ptr<batches::job_store> held_jobs;
    std::unique_ptr<http::async_server> server;
    std::vector<exchange_ptr> held;
};

/// @brief A host that owns partitions, and the hosts of the copies, in one
/// process.
class disk_fleet
{
public:
    disk_fleet();

    /// @brief Starts the owner's host with a placement of these partitions.
    void start(std::vector<core::batches::partition_place> partitions);

    /// @brief A partition that the owner's host owns in epoch 1.
    core::batches::partition_place
    owned_place(const std::vector<std::string>& copy_disks) const;

    /// @brief Runs all hosts until a condition holds; false if it doesn't
    /// within the time.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit);

    /// @brief Runs all hosts until the owner of a job's partition is in a
    /// state, such as serving; false if it isn't within five seconds.
    bool wait_for_owner(const std::string& job,
                        bool (batches::partition_owner::*state)() const);

    const std::string& owner_disk() const { return this->disk.identity(); }

    boost::asio::io_context loop;
    copy_host first{this->loop, "first"};
    copy_host second{this->loop, "second"};
    copy_host spare{this->loop, "spare"};
    placement_store store;

private:
    void deliver_beacons();

    data_folder folder;
    batches::disk_log disk{this->loop, this->folder.path()};
    http::async_client client{this->loop};
    metrics::recorder metrics;

public:
    host::host_runtime runtime;
    batches::job_store jobs{this->disk, 0};
    batches::placement_agent agent;
};

/// @brief The first record of a job that has one item.
core::batches::record_ptr accepted_record(const std::string& job,
                                          std::uint64_t epoch);

} // namespace amaranthhatch::tests
