#include <catch2/catch.hpp>

#include "core/workspaces/workspace_table.hpp"
#include "forward/caller_identity.hpp"

using namespace amaranthhatch;
using core::workspaces::revoked_keys;
using core::workspaces::workspace;
using core::workspaces::workspace_table;

namespace
{

workspace make(std::string name, std::vector<std::string> keys)
{
    workspace made;
    made.name = std::move(name);
    made.keys = std::move(keys);
    return made;
}

struct two_workspaces
{
    two_workspaces()
        : table({make("one", {"key-a", "key-b"}), make("two", {"key-c"}),
                 make("empty", {})})
    {
        this->names.credentials = "Authorization";
        this->names.parse_key =
            [](std::string_view value) -> std::optional<std::string_view>
        {
            constexpr std::string_view scheme = "Token ";
            if (!value.starts_with(scheme) || value == scheme)
                return std::nullopt;
            return value.substr(scheme.size());
        };
    }

    forward::caller_identity identify(const std::vector<std::string>& values)
    {
        this->headers = {};
        for (const auto& value : values)
            this->headers.add("authorization", value);
        return forward::identify_caller(this->names, this->table,
                                        this->headers);
    }

    forward::header_names names;
    http::header_list headers;
    workspace_table table;
};

} // namespace

// Guards against a key that is taken for another workspace's, or for none.
TEST_CASE_METHOD(two_workspaces, "workspaces, each key, names its holder")
{
    CHECK(this->table.find_by_key("key-a")->name == "one");
    CHECK(this->table.find_by_key("key-b")->name == "one");
    CHECK(this->table.find_by_key("key-c")->name == "two");
    for (const auto* key : {"", "key", "key-", "key-a ", "KEY-A", "key-aa"})
        CHECK(this->table.find_by_key(key) == nullptr);
    CHECK(this->table.find("empty")->keys.empty());
    CHECK(this->table.find("none") == nullptr);
}

TEST_CASE("workspaces, none declared, need no key; an empty list needs one")
{
    CHECK_FALSE(workspace_table().keys_required());
    workspace_table none_left(std::vector<workspace>{});
    CHECK(none_left.keys_required());
    CHECK(none_left.find_by_key("key-a") == nullptr);
}

// Guards against two workspaces that read each other's jobs by one key.
TEST_CASE("workspaces, a key of two, belongs to the first and is reported")
{
    workspace_table table(
        {make("one", {"same", "same"}), make("two", {"same", "own"})});
    CHECK(table.find_by_key("same")->name == "one");
    CHECK(table.find_by_key("own")->name == "two");
    REQUIRE(table.conflicts().size() == 1);
    CHECK(table.conflicts()[0].holder == "one");
    CHECK(table.conflicts()[0].ignored == "two");
}

TEST_CASE("revoked keys, withdrawn and given back, are told apart from others")
{
    workspace_table before({make("one", {"old", "kept"})});
    workspace_table after({make("one", {"kept"}), make("two", {"new"})});
    revoked_keys revoked;
    revoked.record(before, after);
    CHECK(revoked.contains("old"));
    CHECK_FALSE(revoked.contains("kept"));
    CHECK_FALSE(revoked.contains("new"));
    CHECK_FALSE(revoked.contains("never"));
}

// Guards against a caller that passes without a key, and one with a key that
// is refused.
TEST_CASE_METHOD(two_workspaces, "caller, forms of the header, is identified")
{
    CHECK(this->identify({"Token key-c"}).workspace->name == "two");
    CHECK(this->identify({}).failure == "key_missing");
    CHECK(this->identify({"Token nobody"}).failure == "key_unknown");
    CHECK(this->identify({"Token key-a", "Token key-a"}).failure ==
          "key_duplicate");
    for (const auto* value : {"", "Token", "Token ", "Bearer key-a", "key-a"})
    {
        auto caller = this->identify({value});
        CHECK(caller.workspace == nullptr);
        CHECK(caller.failure == "key_malformed");
    }
}
