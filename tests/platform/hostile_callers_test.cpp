#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "hostile_callers.hpp"
#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

// Below the smallest hosts, so that few callers show the fault.
constexpr tests::program_memory small_hosts{64, 64, 256};
constexpr std::size_t body_limit = 4u << 20;
constexpr std::size_t block_bytes = 64u << 10;
// Time for a process to read what the kernel has accepted for it.
constexpr auto settle_time = 500ms;

const std::string post = "POST /again/x HTTP/1.1\r\nHost: app.example\r\n"
                         "Request-Id: hostile\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk_of(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string out;
    for (std::size_t at = 0; at < times; at++)
        out += text;
    return out;
}

/// @brief The peak of a process's resident memory, in MB.
double peak_memory_mb(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    constexpr double mb_per_kib = 1024 / 1e6;
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmHWM:"))
            return std::stod(line.substr(line.find_first_of("0123456789"))) *
                   mb_per_kib;
    return 0;
}

int open_descriptors(pid_t process)
{
    int count = 0;
    std::filesystem::directory_iterator all("/proc/" + std::to_string(process) +
                                            "/fd");
    for (const auto& each : all)
    {
        (void)each;
        count++;
    }
    return count;
}

/// @brief One entry and two batch hosts with little memory, and a sound worker.
struct hostile_requests
{
    hostile_requests() : fleet(1, 2, 1, small_hosts)
    {
        this->fleet.configuration["limits"]["max_body_bytes"] = body_limit;
        this->fleet.start();
    }

    void check(const fleet::node& of, int memory_mb)
    {
        INFO(of.name);
        REQUIRE(of.process->running());
        auto peak = peak_memory_mb(of.process->id());
        auto descriptors = open_descriptors(of.process->id());
        std::cerr << of.name << ": peak " << peak << " MB, " << descriptors
                  << " descriptors\n";
        CHECK(peak > 0);
        CHECK(peak < memory_mb);
        CHECK(descriptors < small_hosts.max_fds);
    }

    /// @brief Lets hostile callers send to a port, checks the processes while
    /// the connections are open, and makes one ordinary request afterwards.
    void press(const std::string& address, std::size_t count,
               const tests::hostile_bytes& bytes)
    {
        {
            tests::hostile_callers callers(count, address, bytes);
            callers.wait_until_sent();
            std::this_thread::sleep_for(settle_time);
            this->check(this->fleet.entries[0], small_hosts.entry_mb);
            for (const auto& host : this->fleet.batch_hosts)
                this->check(host, small_hosts.batch_mb);
        }
        int number = 0;
        CHECK(fleet::eventually(
            [&]
            {
                auto id = "ordinary-" + std::to_string(number++);
                auto reply = this->fleet.call(0, "POST", "/again/x", id, "");
                return reply.status == 200 &&
                       reply.body == tests::platform_fleet::stream_text(id);
            },
            10s));
    }

    /// @brief All ports that take HTTP requests.
    std::vector<std::string> ports() const
    {
        return {this->fleet.fronts[0], this->fleet.ready[0],
                this->fleet.entries[0].address,
                this->fleet.batch_hosts[0].address};
    }

    tests::platform_fleet fleet;
};

} // namespace

TEST_CASE_METHOD(hostile_requests,
                 "trailers without end, memory of the processes, stays under "
                 "its limit")
{
    constexpr std::size_t blocks = 1600;
    auto begin = chunked + chunk_of("hello") + "0\r\n";
    SECTION("one connection, short lines")
    this->press(this->fleet.fronts[0], 1,
                {begin, repeated("X-Line: x\r\n", block_bytes / 11), blocks});
    SECTION("one connection, one long line")
    this->press(this->fleet.fronts[0], 1,
                {begin + "X-Line: ", std::string(block_bytes, 'x'), blocks});
    SECTION("eight connections, each port")
    for (const auto& port : this->ports())
        this->press(
            port, 8,
            {begin, repeated("X-Line: x\r\n", block_bytes / 11), blocks / 8});
}

TEST_CASE_METHOD(hostile_requests,
                 "bodies that stop short of their end, memory of the "
                 "processes, stays under its limit")
{
    constexpr std::size_t callers = 24;
    constexpr std::size_t blocks = body_limit / block_bytes - 1;
    SECTION("large chunks, each port")
    for (const auto& port : this->ports())
        this->press(port, callers,
                    {chunked, chunk_of(std::string(block_bytes, 'x')), blocks});
    SECTION("chunks of one byte")
    this->press(this->fleet.fronts[0], callers,
                {chunked, repeated(chunk_of("x"), block_bytes), blocks});
    SECTION("announced length")
    this->press(
        this->fleet.fronts[0], callers,
        {post + "Content-Length: " + std::to_string(body_limit) + "\r\n\r\n",
         std::string(block_bytes, 'x'), blocks});
}

TEST_CASE_METHOD(hostile_requests,
                 "bodies over the limit, memory of the processes, stays under "
                 "its limit")
{
    constexpr std::size_t callers = 8;
    constexpr std::size_t blocks = 800;
    SECTION("announced")
    this->press(this->fleet.fronts[0], callers,
                {post + "Content-Length: 1000000000\r\n\r\n",
                 std::string(block_bytes, 'x'), blocks});
    SECTION("unannounced, in chunks")
    this->press(this->fleet.fronts[0], callers,
                {chunked, chunk_of(std::string(block_bytes, 'x')), blocks});
    SECTION("unannounced, one chunk")
    this->press(
        this->fleet.fronts[0], callers,
        {chunked + "3b9aca00\r\n", std::string(block_bytes, 'x'), blocks});
    SECTION("chunk extension without end")
    this->press(this->fleet.fronts[0], callers,
                {chunked + "5;", std::string(block_bytes, 'x'), blocks});
}

TEST_CASE_METHOD(hostile_requests,
                 "heads that never end, memory of the processes, stays under "
                 "its limit")
{
    this->press(this->fleet.fronts[0], 24, {post + "X-Line: ", "x", 20, 100ms});
}

TEST_CASE_METHOD(hostile_requests,
                 "pipeline of requests whose responses nobody reads, memory "
                 "of the processes, stays under its limit")
{
    auto request = post + "Content-Length: 0\r\n\r\n";
    this->press(this->fleet.fronts[0], 24,
                {"", repeated(request, block_bytes / request.size()), 100});
}

TEST_CASE_METHOD(hostile_requests,
                 "connections that send nothing, descriptors of the processes, "
                 "stay under their limit")
{
    for (const auto& port : this->ports())
        this->press(port, 400, {});
}
