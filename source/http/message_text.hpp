#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/exchange.hpp"

namespace amaranthhatch::http
{

/// @brief The bytes that end a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @brief The reason phrase of a status code, such as "Not Found".
std::string_view status_phrase(int status);

/// @brief True for headers that apply to one connection only (RFC 9110, 7.6.1)
/// or to the framing of one message.
bool is_connection_header(std::string_view name);

/// @brief True if a text has visible ASCII characters only, so that it may
/// stand in a request line or a header without changing their form.
bool is_visible_text(std::string_view text);

/// @brief True if a text is a header's name (RFC 9110, 5.6.2).
bool is_header_name(std::string_view text);

/// @brief True if a text may be a header's value: any characters but control
/// characters, which could end its line.
bool is_header_value(std::string_view text);

/// @brief How a response shows where its body ends.
enum class body_framing : std::uint8_t
{
    length,
    chunks,
    /// The body ends with the connection; for HTTP/1.0, which has no chunks.
    connection_end,
    /// There is no body, whatever the headers say.
    none
};

/// @brief True for status codes whose responses never have a body.
bool is_bodiless(int status);

/// @brief The parts of a response's head that don't come from its handler.
struct response_form
{
    body_framing framing = body_framing::length;
    /// Bytes of the body where its framing is a length.
    std::size_t length = 0;
    /// The value of the Connection header; none if empty.
    std::string_view connection;
};

/// @brief The status line and headers of a response.
///
/// Connection headers of the list are omitted; the function writes its own.
std::string head_text(int status, const header_list& headers,
                      const response_form& form);

/// @brief The request line and headers of a request.
///
/// Connection headers of the list are omitted.
std::string request_text(std::string_view method, std::string_view target,
                         const header_list& headers, std::size_t length);

/// @brief A time as seconds with two decimals, as in Retry-After.
std::string seconds_text(std::chrono::milliseconds time);

/// @brief Appends one piece of a chunked body.
void append_chunk(std::string& out, std::string_view piece);

/// @brief Fills a request's path and query from its target.
void split_target(request& message);

} // namespace amaranthhatch::http
