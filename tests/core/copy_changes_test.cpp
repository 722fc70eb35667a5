#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "peers/packing.hpp"
#include "store/mirror.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

/// @brief A store that keeps each callback, for the test to answer.
struct held_store : store::async_store
{
    void list(std::string_view, listing_callback done) override
    {
        this->listed = std::move(done);
    }
    void watch(std::string_view, std::uint64_t, std::chrono::milliseconds,
               listing_callback done) override
    {
        this->watched = std::move(done);
    }
    void commit(const store::change&, change_callback) override {}
    void grant(std::chrono::milliseconds, lease_callback) override {}
    void renew(std::uint64_t, lease_callback) override {}
    void revoke(std::uint64_t, lease_callback) override {}

    listing_callback listed;
    listing_callback watched;
};

struct held_mirror
{
    explicit held_mirror(core::milliseconds grace = {})
        : mirror(loop, source,
                 {"e/", store::mirror_mode::watch, 1000ms, grace, {}, {}})
    {
    }

    /// @brief Fetches what changed, as it passes between hosts.
    bool pull(const held_mirror& from)
    {
        auto answer = peers::unpack_listing(
            peers::pack(from.mirror.changes_since(this->mirror.as_of())));
        return this->mirror.adopt(*answer);
    }

    boost::asio::io_context loop;
    held_store source;
    store::mirror mirror;
};

/// @brief A store's entries, changed at random.
struct changing_entries
{
    void change()
    {
        auto key = "e/" + std::to_string(this->random() % 40);
        this->revision++;
        if (this->random() % 2 == 0)
            this->removals.emplace_back(this->revision, key);
        if (this->removals.empty() || this->removals.back().first != revision)
            this->entries[key] = {key, std::to_string(this->revision),
                                  this->revision, false};
        else
            this->entries.erase(key);
    }

    store::listing listing() const
    {
        store::listing out{store::outcome::done, this->revision, {}};
        for (const auto& [key, entry] : this->entries)
            out.entries.push_back(entry);
        return out;
    }

    std::minstd_rand random{7};
    std::uint64_t revision = 1;
    std::map<std::string, store::entry> entries;
    std::vector<std::pair<std::uint64_t, std::string>> removals;
};

bool same(const store::mirror& copy, const changing_entries& wanted)
{
    if (copy.entries().size() != wanted.entries.size())
        return false;
    for (const auto& [key, entry] : wanted.entries)
        if (copy.find(key) == nullptr || copy.find(key)->value != entry.value)
            return false;
    return true;
}

} // namespace

// Guards against a copy that keeps a key which was removed, or lacks one that
// was written again: hosts follow one another in any order and miss pulls.
TEST_CASE("copies, followed by changes in any order, equal the store's entries")
{
    changing_entries entries;
    held_mirror reader;
    held_mirror other_reader;
    std::array<held_mirror, 4> followers;
    std::size_t partial = 0;
    for (int step = 0; step < 3000; step++)
    {
        entries.change();
        auto draw = entries.random() % 8;
        if (draw == 0)
            reader.mirror.adopt(entries.listing());
        if (draw == 1)
            other_reader.mirror.adopt(entries.listing());
        auto& follower = followers[entries.random() % followers.size()];
        const auto& from = draw < 5 ? reader
                           : draw == 5
                               ? other_reader
                               : followers[entries.random() % followers.size()];
        auto answer = from.mirror.changes_since(follower.mirror.as_of());
        partial += answer.base != 0 ? 1 : 0;
        auto before = follower.mirror.as_of();
        follower.pull(from);
        REQUIRE(follower.mirror.as_of() >= before);
        if (from.mirror.as_of() == entries.revision)
            REQUIRE(same(follower.mirror, entries));
    }
    CHECK(partial > 500);
    for (auto& follower : followers)
    {
        reader.mirror.adopt(entries.listing());
        follower.pull(reader);
        CHECK(same(follower.mirror, entries));
    }
}

// A watch names only a key's last change, so the reader never had this entry.
TEST_CASE("copies, entry written and removed in one watch, don't keep it")
{
    held_mirror reader;
    held_mirror follower;
    reader.mirror.start();
    reader.source.listed({store::outcome::done, 5, {{"e/a", "x", 4, false}}});
    follower.mirror.adopt({store::outcome::done,
                           7,
                           {{"e/a", "x", 4, false}, {"e/b", "x", 7, false}}});
    auto respond = std::move(reader.source.watched);
    respond({store::outcome::done, 9, {{"e/b", "", 9, true}}});
    auto changes = reader.mirror.changes_since(7);
    CHECK(changes.base == 7);
    CHECK(changes.entries.empty());
    CHECK(follower.pull(reader));
    CHECK(follower.mirror.find("e/b") == nullptr);
    CHECK(follower.mirror.find("e/a") != nullptr);
}

// Changes that arrive after the copy has advanced would lose what lies between.
TEST_CASE("copies, changes for another revision, are ignored")
{
    held_mirror reader;
    held_mirror follower;
    reader.mirror.adopt({store::outcome::done, 5, {{"e/a", "x", 4, false}}});
    follower.pull(reader);
    reader.mirror.adopt({store::outcome::done, 8, {{"e/a", "y", 8, false}}});
    auto late = reader.mirror.changes_since(5);
    follower.mirror.adopt({store::outcome::done, 6, {{"e/b", "x", 6, false}}});
    CHECK(late.base == 5);
    CHECK_FALSE(follower.mirror.adopt(late));
    CHECK(follower.mirror.as_of() == 6);
    CHECK(reader.mirror.changes_since(6).base == 0);
}

// The bytes of a fleet's start and of each change were those of all entries.
TEST_CASE("copies, one of 3000 entries changed, send one")
{
    held_mirror reader;
    store::listing all{store::outcome::done, 5, {}};
    for (int number = 0; number < 3000; number++)
        all.entries.push_back(
            {"e/" + std::to_string(number), std::string(180, 'x'), 4, false});
    reader.mirror.adopt(all);
    all.revision = 9;
    all.entries[7].revision = 8;
    all.entries.pop_back();
    reader.mirror.adopt(all);
    CHECK(peers::pack(reader.mirror.snapshot()).size() > 500000);
    CHECK(peers::pack(reader.mirror.changes_since(5)).size() < 300);
}

// The same as after a complete copy: what one host retains after an outage,
// another that has the entry retains, too, for its own grace.
TEST_CASE("copies, entries retained at the sender, are retained by changes")
{
    held_mirror follower(1000ms);
    follower.mirror.adopt({store::outcome::done, 5, {{"e/a", "x", 4, false}}});
    store::listing changes{store::outcome::done, 9, {}, {"e/a"}, 5, {}};
    CHECK(follower.mirror.adopt(changes));
    CHECK(follower.mirror.find("e/a") != nullptr);
    CHECK(follower.mirror.snapshot().entries.empty());
}
