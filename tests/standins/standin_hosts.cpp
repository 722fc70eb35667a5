#include <deque>
#include <mutex>

#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

struct pending_list
{
    std::chrono::steady_clock::time_point visible;
    json hosts;
};

/// @brief A list of live and leaving hosts that lags behind its settings.
///
/// PUT /admin takes {"hosts": [...], "lag_ms": n}.
class hosts
{
public:
    http::response handle(const http::request& asked)
    {
        std::lock_guard lock(this->guard);
        auto now = std::chrono::steady_clock::now();
        if (asked.path == "/admin" && asked.method == "PUT")
        {
            json change = json::parse(asked.body);
            auto lag = std::chrono::milliseconds(change.value("lag_ms", 0));
            this->pending.push_back({now + lag, change.at("hosts")});
            return standins::json_response(200, {{"taken", true}});
        }
        while (!this->pending.empty() && this->pending.front().visible <= now)
        {
            this->listed = this->pending.front().hosts;
            this->pending.pop_front();
        }
        return standins::json_response(200, {{"hosts", this->listed}});
    }

private:
    std::mutex guard;
    std::deque<pending_list> pending;
    json listed = json::array();
};

} // namespace

int main(int argument_count, char** arguments)
{
    hosts served;
    return standins::serve(argument_count, arguments,
                           [&](const http::request& asked)
                           { return served.handle(asked); });
}
