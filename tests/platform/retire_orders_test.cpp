#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "retire_orders.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

const std::string own_name = "storage-1";
const std::string order_key = "op/retire/" + own_name;
const std::string status_key = "status/retire/" + own_name;
const std::string running_text = R"({"state":"running"})";
const std::string done_text = R"({"state":"done"})";

/// @brief A store in memory that can lose the answer to a write and do that
/// write later, if its conditions still hold.
class late_store : public store::async_store
{
public:
    void list(std::string_view prefix, listing_callback done) override
    {
        store::listing out{store::outcome::done, this->revision, {}};
        for (const auto& [key, held] : this->entries)
            if (key.starts_with(prefix))
                out.entries.push_back(held);
        done(out);
    }
    void watch(std::string_view, std::uint64_t, std::chrono::milliseconds,
               listing_callback) override
    {
    }
    void commit(const store::change& wanted, change_callback done) override
    {
        if (this->lose_next)
        {
            this->lose_next = false;
            this->late.push_back(wanted);
            return done({store::outcome::unknown, 0});
        }
        bool applied = this->apply(wanted);
        done({applied ? store::outcome::done : store::outcome::conflict,
              this->revision});
    }
    void grant(std::chrono::milliseconds, lease_callback done) override
    {
        done({});
    }
    void renew(std::uint64_t, lease_callback done) override { done({}); }
    void revoke(std::uint64_t, lease_callback done) override { done({}); }

    void set(const std::string& key, const std::string& value)
    {
        this->entries[key] = {key, value, ++this->revision};
    }

    /// @brief Does the writes whose answers were lost.
    void apply_late()
    {
        for (const auto& change : this->late)
            this->apply(change);
        this->late.clear();
    }

    std::string value(const std::string& key) const
    {
        auto found = this->entries.find(key);
        return found == this->entries.end() ? "" : found->second.value;
    }

    bool lose_next = false;

private:
    bool apply(const store::change& wanted)
    {
        for (const auto& condition : wanted.conditions)
        {
            auto found = this->entries.find(condition.key);
            auto current =
                found == this->entries.end() ? 0 : found->second.revision;
            if (current != condition.revision)
                return false;
        }
        for (const auto& write : wanted.writes)
            this->set(write.key, write.value);
        return true;
    }

    std::uint64_t revision = 1;
    std::map<std::string, store::entry, std::less<>> entries;
    std::vector<store::change> late;
};

/// @brief A host whose retirement the operator orders.
struct ordered_host
{
    void order()
    {
        this->store.set(order_key, "{}");
        this->orders.start();
        this->retiring.follow(this->orders);
    }

    bool reports(const std::string& status)
    {
        auto end = std::chrono::steady_clock::now() + 3s;
        while (this->store.value(status_key) != status &&
               std::chrono::steady_clock::now() < end)
        {
            this->loop.restart();
            this->loop.run_for(20ms);
        }
        return this->store.value(status_key) == status;
    }

    boost::asio::io_context loop;
    late_store store;
    store::mirror orders{
        this->loop, this->store, {"op/", store::mirror_mode::watch, 1s}};
    bool emptied = false;
    platform::retire_orders retiring{this->loop,
                                     this->store,
                                     own_name,
                                     {[](const std::set<std::string>&) {},
                                      [this] { return this->emptied; }}};
};

} // namespace

// The operator waits for "done", which nobody wrote again.
TEST_CASE_METHOD(ordered_host,
                 "retire status, an earlier write takes effect late, stays "
                 "done")
{
    this->store.lose_next = true;
    this->order();
    this->emptied = true;
    REQUIRE(this->reports(done_text));
    this->store.apply_late();
    CHECK(this->store.value(status_key) == done_text);
}

// A host whose status is "done" is removed with its disk.
TEST_CASE_METHOD(ordered_host,
                 "retire status, done of an earlier order takes effect late, "
                 "stays running")
{
    this->emptied = true;
    this->store.lose_next = true;
    this->order();
    this->emptied = false;
    REQUIRE(this->reports(running_text));
    this->store.apply_late();
    CHECK(this->store.value(status_key) == running_text);
}

TEST_CASE_METHOD(ordered_host, "retire status, host is emptied, is reported")
{
    this->order();
    REQUIRE(this->reports(running_text));
    this->emptied = true;
    CHECK(this->reports(done_text));
}
