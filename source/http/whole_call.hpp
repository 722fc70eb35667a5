#pragma once

#include <functional>

#include "http/async_client.hpp"

namespace amaranthhatch::http
{

/// @brief A whole answer, or why there is none.
struct whole_answer
{
    call_end how = call_end::not_sent;
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
call_whole(async_client& client, boost::asio::io_context& loop,
           std::string_view key, const std::string& address,
           const client_request& asked, std::chrono::milliseconds limit,
           std::function<void(whole_answer)> done);

} // namespace amaranthhatch::http
