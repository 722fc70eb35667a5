#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/model_engine.hpp"

namespace amaranthhatch::routing
{

/// @brief Cancels generations on engines without holding up the caller.
class cancellation_queue
{
public:
    explicit cancellation_queue(adapters::model_engine& engine);
    ~cancellation_queue();

    void cancel(std::string_view address, std::string_view request);

private:
    struct order
    {
        std::string address;
        std::string request;
    };

    void run();

    adapters::model_engine& engine;
    std::mutex guard;
    std::condition_variable arrived;
    std::deque<order> orders;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace amaranthhatch::routing
