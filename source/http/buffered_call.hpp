#pragma once

#include <functional>

#include "http/async_client.hpp"

namespace amaranthhatch::http
{

/// @brief A whole answer, or why there is none.
struct buffered_response
{
    call_end result = call_end::not_sent;
    int status = 0;
    header_list headers;
    std::string body;
    std::string detail;
};

/// @brief Makes a call and gives its whole answer, at the latest after limit.
///
/// A call that ran out of time counts as broken, or as not sent where no
/// connection stood.
std::shared_ptr<client_call>
start_buffered_call(async_client& client, boost::asio::io_context& loop,
                    std::string_view key, const std::string& address,
                    const client_request& outgoing,
                    std::chrono::milliseconds limit,
                    std::function<void(buffered_response)> done);

} // namespace amaranthhatch::http
