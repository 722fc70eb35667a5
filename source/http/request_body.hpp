#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace amaranthhatch::http
{

/// @brief A request's body as a text that takes memory only as bytes arrive.
///
/// The library's own text body takes the announced length at once.
struct request_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>&,
               value_type& body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length,
                  boost::system::error_code& error)
        {
            constexpr std::uint64_t reserved_bytes = 16u << 10;
            if (length)
                this->body.reserve(std::min(*length, reserved_bytes));
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers,
                        boost::system::error_code& error)
        {
            std::size_t count = 0;
            for (auto at = boost::asio::buffer_sequence_begin(buffers);
                 at != boost::asio::buffer_sequence_end(buffers); ++at)
            {
                boost::asio::const_buffer piece = *at;
                this->body.append(static_cast<const char*>(piece.data()),
                                  piece.size());
                count += piece.size();
            }
            error = {};
            return count;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body;
    };
};

} // namespace amaranthhatch::http
