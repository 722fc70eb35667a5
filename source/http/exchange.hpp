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

/// @brief The header lines of a message; names compare without case.
class header_list
{
public:
    void add(std::string_view name, std::string_view value);

    /// @brief True where two header names are equal without case.
    static bool same_name(std::string_view left, std::string_view right);

    /// @brief The first value under a name, or an empty view.
    std::string_view get(std::string_view name) const;

    std::span<const header> all() const { return this->lines; }

private:
    std::vector<header> lines;
};

/// @brief A request that was read whole.
struct request
{
    std::string method;
    /// The path and query exactly as sent; empty where a server splits them.
    std::string target;
    std::string path;
    std::string query;
    header_list headers;
    std::string body;
};

/// @brief Bytes of a streamed body, pulled by the connection's own thread.
class body_source
{
public:
    virtual ~body_source() = default;

    /// @brief What a call to read() gave.
    enum class state
    {
        data,
        end,
        failed
    };

    /// @brief Fills chunk, waiting for bytes as needed.
    ///
    /// After failed the connection is closed without an end mark, so that the
    /// caller can't take a cut answer for a whole one.
    virtual state read(std::string& chunk) = 0;
};

/// @brief An answer with either a whole body or a streamed one.
struct response
{
    int status = 200;
    header_list headers;
    std::string body;
    std::unique_ptr<body_source> stream;
};

/// @brief The value of a key in a query string, or an empty view.
std::string_view query_value(std::string_view query, std::string_view key);

} // namespace amaranthhatch::http
