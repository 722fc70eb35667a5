#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::settings
{

/// @brief A refused settings file; the text starts with "file:line: key:".
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Bounds of a whole number, both included.
struct number_range
{
    std::int64_t least;
    std::int64_t most;
};

/// @brief Bounds of a duration, both included.
struct duration_range
{
    std::chrono::milliseconds least;
    std::chrono::milliseconds most;
};

/// @brief A TOML file whose every key must be asked for once.
///
/// Keys are dotted paths such as "entry.listen". A getter without a default
/// refuses a file in which the key is missing. finish() refuses keys that no
/// getter asked for, so that a misspelt key is never silently ignored.
class document
{
public:
    /// @brief Reads a file. Throws settings_error where it is no valid TOML.
    static document from_file(const std::string& path);

    /// @brief Parses text; name stands for the file in errors.
    static document from_text(std::string_view text, std::string_view name);

    document(document&&) noexcept;
    document& operator=(document&&) noexcept;
    ~document();

    /// @brief True where the key or table is present.
    bool has(std::string_view key) const;

    /// @brief A string that must be present and not empty.
    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string_view otherwise);

    /// @brief A numeric address "IP:PORT".
    std::string address(std::string_view key);
    std::string address_or(std::string_view key, std::string_view otherwise);

    /// @brief A list of strings; empty where the key is missing.
    std::vector<std::string> texts(std::string_view key);

    /// @brief A list of numeric addresses; at least one must be given.
    std::vector<std::string> addresses(std::string_view key);

    std::int64_t number_or(std::string_view key, std::int64_t otherwise,
                           number_range range);
    bool flag_or(std::string_view key, bool otherwise);

    /// @brief A duration written with its unit: "250ms", "1.7s", "10m", "8h".
    std::chrono::milliseconds duration(std::string_view key,
                                       duration_range range);
    std::chrono::milliseconds duration_or(std::string_view key,
                                          std::chrono::milliseconds otherwise,
                                          duration_range range);

    /// @brief Names of the tables below a key, in file order.
    std::vector<std::string> children(std::string_view key);

    /// @brief Refuses a key with a reason, naming its place in the file.
    [[noreturn]] void refuse(std::string_view key,
                             std::string_view reason) const;

    /// @brief Throws where the file holds a key that nothing asked for.
    void finish() const;

private:
    struct state;
    explicit document(std::unique_ptr<state> parsed);
    std::unique_ptr<state> held;
};

/// @brief Parses "IP:PORT" with a numeric IPv4 address and a port in 1..65535.
bool is_numeric_address(std::string_view address);

} // namespace amaranthhatch::settings
