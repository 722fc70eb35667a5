#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "http/request_budget.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

/// @brief Requests of one budget of 1,000,000 bytes, and which of them ended.
struct received_requests
{
    std::size_t begin()
    {
        auto at = this->shares.size();
        this->ended.push_back(false);
        this->shares.push_back(std::make_unique<http::request_budget::share>(
            this->budget, [this, at] { this->ended[at] = true; }));
        this->shares[at]->begin(this->now);
        return at;
    }

    void receive(std::size_t at, std::size_t bytes,
                 std::optional<std::size_t> remaining = std::nullopt)
    {
        this->shares[at]->update(bytes, bytes, remaining, this->now);
    }

    std::shared_ptr<http::request_budget> budget =
        std::make_shared<http::request_budget>(1'000'000);
    std::vector<bool> ended;
    std::vector<std::unique_ptr<http::request_budget::share>> shares;
    http::request_budget::time_point now{};
};

} // namespace

// Ending the largest alone would end every request shortly before its end.
TEST_CASE_METHOD(received_requests,
                 "request budget, one nearly complete and one just begun, ends "
                 "the latter")
{
    auto old = this->begin();
    this->receive(old, 400'000, 500'000);
    this->now += 900ms;
    this->receive(old, 850'000, 50'000);
    auto begun = this->begin();
    this->receive(begun, 160'000);
    CHECK(this->ended[begun]);
    CHECK_FALSE(this->ended[old]);
    CHECK(this->budget->held_bytes() == 850'000);
}

// Callers that stop short of a body's end would else keep their memory.
TEST_CASE_METHOD(received_requests,
                 "request budget, bodies that stopped, end before those that "
                 "arrive, the largest first")
{
    auto smaller = this->begin();
    this->receive(smaller, 300'000);
    auto larger = this->begin();
    this->receive(larger, 600'000);
    this->now += 3s;
    auto begun = this->begin();
    this->receive(begun, 200'000);
    CHECK(this->ended[larger]);
    CHECK_FALSE(this->ended[smaller]);
    CHECK_FALSE(this->ended[begun]);
}

// Large requests alone must not shut out the small ones of ordinary callers.
TEST_CASE_METHOD(received_requests,
                 "request budget, used up by a large request and small ones, "
                 "ends none of the small ones")
{
    auto large = this->begin();
    this->receive(large, 980'000);
    for (int at = 0; at < 10; at++)
        this->receive(this->begin(), 3'000);
    CHECK(this->ended[large]);
    CHECK(std::count(this->ended.begin(), this->ended.end(), true) == 1);
}

// One request within the limit for bodies is served, also on a small host.
TEST_CASE_METHOD(received_requests,
                 "request budget, one large request alone, doesn't end")
{
    auto large = this->begin();
    this->receive(large, 1'200'000);
    CHECK_FALSE(this->ended[large]);
    CHECK(this->shares[large]->complete(2'400'000, this->now));
}

// Requests that are handled can't be ended; more of them would fill the memory.
TEST_CASE_METHOD(received_requests,
                 "request budget, used up by handled requests, admits small "
                 "ones only")
{
    auto handled = this->begin();
    CHECK(this->shares[handled]->complete(1'200'000, this->now));
    auto large = this->begin();
    CHECK_FALSE(this->shares[large]->complete(300'000, this->now));
    this->shares[large]->release();
    auto small = this->begin();
    CHECK(this->shares[small]->complete(4'000, this->now));
    this->shares[handled]->release();
    CHECK(this->budget->held_bytes() == 4'000);
}
