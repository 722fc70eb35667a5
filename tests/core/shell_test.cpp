#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "batch/journal_file.hpp"
#include "configuration/parse.hpp"
#include "coordinator/coordinator_node.hpp"
#include "core/hash.hpp"
#include "entry/entry_node.hpp"
#include "net/codec.hpp"
#include "openai/batch_input.hpp"
#include "openai/completion_request.hpp"
#include "schedules.hpp"
#include "settings/document.hpp"

using namespace amaranthhatch;
namespace messages = core::messages;
using verdict = messages::append_answer::verdict;

namespace
{

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream from(path);
    std::ostringstream text;
    text << from.rdbuf();
    return text.str();
}

std::filesystem::path cases_folder()
{
    return std::filesystem::path(HATCH_CASES);
}

struct journal_in_file
{
    journal_in_file()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "journal-XXXXXX")
                .string();
        this->folder = mkdtemp(pattern.data());
        this->path = (this->folder / "job.journal").string();
    }

    ~journal_in_file() { std::filesystem::remove_all(this->folder); }

    messages::journal_append append(std::uint64_t epoch, std::uint64_t position,
                                    std::vector<std::string> records) const
    {
        return {"job", epoch, position, 0, std::move(records)};
    }

    std::filesystem::path folder;
    std::string path;
};

messages::want_slot sample_want()
{
    messages::want_slot want;
    want.requester = "entry";
    want.group = "model@sul";
    want.excluded = {"a", "b"};
    want.expected_tokens = 77;
    return want;
}

} // namespace

TEST_CASE_METHOD(journal_in_file, "journal file, reopened, holds its records")
{
    {
        batch::journal_file journal(this->path);
        CHECK(journal.append(this->append(3, 0, {"one", "two"})).result ==
              verdict::stored);
    }
    batch::journal_file journal(this->path);
    CHECK(journal.epoch() == 3);
    CHECK(journal.read(0, 9, 1000) == std::vector<std::string>{"one", "two"});
    CHECK(journal.append(this->append(2, 2, {"late"})).result ==
          verdict::sealed);
}

TEST_CASE_METHOD(journal_in_file,
                 "journal file, torn at any byte, keeps its whole entries")
{
    {
        batch::journal_file journal(this->path);
        journal.append(this->append(1, 0, {"first"}));
        journal.append(this->append(1, 1, {"second", "third"}));
    }
    std::string whole = read_file(this->path);
    std::size_t last = 0;
    for (std::size_t size = 0; size <= whole.size(); ++size)
    {
        std::ofstream(this->path, std::ios::binary | std::ios::trunc)
            << whole.substr(0, size);
        batch::journal_file journal(this->path);
        auto length = journal.length();
        CHECK(length >= last);
        last = length;
        auto records = journal.read(0, length, 1000);
        const std::vector<std::string> all = {"first", "second", "third"};
        CHECK(std::equal(records.begin(), records.end(), all.begin()));
    }
    CHECK(last == 3);
}

TEST_CASE_METHOD(journal_in_file,
                 "journal file, any byte damaged, gives no wrong record")
{
    {
        batch::journal_file journal(this->path);
        journal.append(this->append(1, 0, {"first", "second"}));
    }
    std::string whole = read_file(this->path);
    for (std::size_t at = 0; at < whole.size(); ++at)
    {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
        std::ofstream(this->path, std::ios::binary | std::ios::trunc)
            << damaged;
        batch::journal_file journal(this->path);
        auto records = journal.read(0, journal.length(), 1000);
        const std::vector<std::string> all = {"first", "second"};
        REQUIRE(records.size() <= all.size());
        CHECK(std::equal(records.begin(), records.end(), all.begin()));
    }
}

TEST_CASE_METHOD(journal_in_file,
                 "journal file, tail replaced by a later epoch, stays so")
{
    {
        batch::journal_file journal(this->path);
        journal.append(this->append(1, 0, {"one", "old"}));
        CHECK(journal.append(this->append(2, 0, {"one", "new"})).result ==
              verdict::stored);
    }
    batch::journal_file journal(this->path);
    CHECK(journal.read(0, 9, 1000) == std::vector<std::string>{"one", "new"});
}

TEST_CASE("codec, message written and read, is the same")
{
    auto want = sample_want();
    auto read = net::decode<messages::want_slot>(net::encode(want));
    CHECK(read.group == want.group);
    CHECK(read.excluded == want.excluded);
    CHECK(read.expected_tokens == 77);
    CHECK(net::kind_of(net::encode(want)) == messages::message_kind::want_slot);
}

TEST_CASE("codec, mutated frames, are refused or read but never crash")
{
    messages::ping ping;
    ping.sender.name = "node";
    ping.updates.resize(3);
    messages::journal_append append{"job", 2, 5, 4, {"record", "another"}};
    const std::string frames[] = {net::encode(sample_want()), net::encode(ping),
                                  net::encode(append),
                                  net::encode(messages::slot_report{}),
                                  net::encode(messages::job_answer{})};
    std::mt19937_64 random(20261204);
    std::uint64_t refused = 0;
    std::uint64_t total = tests::schedule_count() * 100;
    for (std::uint64_t turn = 0; turn < total; ++turn)
    {
        std::string frame = frames[turn % std::size(frames)];
        auto changes = 1 + random() % 4;
        for (std::uint64_t change = 0; change < changes; ++change)
        {
            auto at = random() % frame.size();
            switch (random() % 3)
            {
            case 0:
                frame[at] = static_cast<char>(random());
                break;
            case 1:
                frame.resize(std::max<std::size_t>(at, 1));
                break;
            default:
                frame.insert(at, 1, static_cast<char>(random()));
            }
        }
        net::kind_of(frame);
        try
        {
            net::decode<messages::want_slot>(frame);
            net::decode<messages::ping>(frame);
        }
        catch (const net::codec_error&)
        {
            ++refused;
        }
        try
        {
            net::decode<messages::journal_append>(frame);
        }
        catch (const net::codec_error&)
        {
            ++refused;
        }
    }
    CHECK(refused > total / 2);
}

TEST_CASE("declarations, faulty files, are refused with their place")
{
    for (const auto& entry :
         std::filesystem::directory_iterator(cases_folder() / "declarations"))
    {
        if (entry.path().extension() != ".toml")
            continue;
        auto expected = read_file(entry.path().string() + ".expected");
        INFO(entry.path().filename().string());
        std::string said = "valid\n";
        try
        {
            configuration::parse_declarations(read_file(entry.path()),
                                              entry.path().filename().string());
        }
        catch (const settings::settings_error& error)
        {
            said = std::string(error.what()) + "\n";
        }
        CHECK(said == expected);
    }
}

TEST_CASE("settings, faulty files, are refused with their place")
{
    for (const auto& entry :
         std::filesystem::directory_iterator(cases_folder() / "settings"))
    {
        if (entry.path().extension() != ".toml")
            continue;
        auto name = entry.path().filename().string();
        auto expected = read_file(entry.path().string() + ".expected");
        INFO(name);
        std::string said = "valid\n";
        try
        {
            auto from =
                settings::document::from_text(read_file(entry.path()), name);
            if (name.starts_with("entry"))
                entry::read_settings(from);
            else
                coordinator::read_settings(from);
        }
        catch (const settings::settings_error& error)
        {
            said = std::string(error.what()) + "\n";
        }
        CHECK(said == expected);
    }
}

TEST_CASE("batch input, line 7 is bad, is refused and names the line")
{
    std::string good;
    for (int index = 0; index < 6; ++index)
        good += "{\"custom_id\":\"c" + std::to_string(index) +
                "\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":"
                "{\"model\":\"m\",\"prompt\":\"p\"}}\n";
    CHECK(openai::check_batch_input(good) == 6);
    CHECK_THROWS_WITH(openai::check_batch_input(good + "{\"custom_id\":"),
                      Catch::StartsWith("line 7: no valid JSON"));
    CHECK_THROWS_WITH(openai::check_batch_input(good + "{}"),
                      Catch::StartsWith("line 7: \"custom_id\""));
    CHECK_THROWS_WITH(
        openai::check_batch_input(good + good.substr(0, good.find('\n'))),
        Catch::StartsWith("line 7: \"custom_id\" stands on an earlier"));
    CHECK_THROWS(openai::check_batch_input(""));
}

TEST_CASE("completion request, mutated bodies, never crash")
{
    const std::string body = R"({"model":"m","messages":[{"role":"user",)"
                             R"("content":[{"type":"text","text":"x"}]}],)"
                             R"("max_tokens":5,"stream":true})";
    std::mt19937_64 random(4);
    for (std::uint64_t turn = 0; turn < tests::schedule_count() * 20; ++turn)
    {
        std::string changed = body;
        for (int change = 0; change < 3; ++change)
            changed[random() % changed.size()] = static_cast<char>(random());
        try
        {
            openai::parse_completion(changed, true);
        }
        catch (const openai::bad_completion&)
        {
        }
    }
    CHECK(openai::parse_completion(body, true).prompt == "user: x\n");
}
