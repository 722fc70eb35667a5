#pragma once

#include <functional>

#include "http/async_client.hpp"

namespace amaranthhatch::http
{

/// @brief A complete response, or the reason why there is none.
struct buffered_response
{
    call_end result = call_end::not_sent;
    int status = 0;
    header_list headers;
    std::string body;
    std::string detail;
};

/// @brief Starts a call and passes its complete response to done, at the latest
/// after limit.
///
/// A call that exceeds limit ends with broken. If the connect limit of the
/// request expires first, it ends with not_sent.
std::shared_ptr<client_call>
start_buffered_call(async_client& client, boost::asio::io_context& loop,
                    std::string_view key, const std::string& address,
                    const client_request& outgoing,
                    std::chrono::milliseconds limit,
                    std::function<void(buffered_response)> done);

} // namespace amaranthhatch::http
