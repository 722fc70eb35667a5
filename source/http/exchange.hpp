#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::http
{

/// @brief One header line.
struct header
{
    std::string name;
    std::string value;
};

/// @brief The header lines of a message; names are case-insensitive.
class header_list
{
public:
    void add(std::string_view name, std::string_view value);

    /// @brief True if two header names are equal, ignoring case.
    static bool same_name(std::string_view left, std::string_view right);

    /// @brief The first value under a name, or an empty view.
    std::string_view get(std::string_view name) const;

    std::span<const header> all() const { return this->lines; }

private:
    std::vector<header> lines;
};

/// @brief A request that was read completely.
struct request
{
    std::string method;
    /// The path and query exactly as sent.
    std::string target;
    std::string path;
    std::string query;
    header_list headers;
    std::string body;
};

/// @brief Source of a streamed body, read on the thread of its request.
class body_source
{
public:
    virtual ~body_source() = default;

    /// @brief The result of a call to read().
    enum class state
    {
        data,
        end,
        failed
    };

    /// @brief Fills chunk, waiting for bytes as needed.
    ///
    /// After failed, the server closes the connection without the end mark of
    /// the body, so that the caller can't take a truncated response for a
    /// complete one.
    virtual state read(std::string& chunk) = 0;
};

/// @brief A response with either a complete body or a streamed one.
struct response
{
    int status = 200;
    header_list headers;
    std::string body;
    std::unique_ptr<body_source> stream;
};

/// @brief True if a response shows where its body ends: by its status, a
/// length or chunks. Else the body ends with the connection.
bool is_framed(int status, const header_list& headers);

/// @brief The value of a key in a query string, or an empty view.
std::string_view query_value(std::string_view query, std::string_view key);

} // namespace amaranthhatch::http
