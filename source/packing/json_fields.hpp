#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace amaranthhatch::packing
{

/// @brief Bounds on a JSON text, which may come from an unknown writer.
struct json_limits
{
    std::size_t bytes = 0;
    /// Levels of arrays and objects.
    std::size_t depth = 0;
    /// Values of all levels; each takes up to about 100 bytes of memory.
    std::size_t values = 0;
};

/// @brief Parses a JSON text; throws errors::failure if it is malformed or
/// over a limit, without building what lies beyond it.
nlohmann::json parse_json(std::string_view text, const json_limits& limits);

/// @brief Smallest and largest value of a number.
struct whole_range
{
    std::int64_t first = 0;
    std::int64_t last = 0;
};

/// @brief Reads the fields of one JSON object.
///
/// Fields that are missing, of another type or out of range throw
/// errors::failure, which names the field but doesn't repeat its value.
class json_fields
{
public:
    /// The object must outlive it.
    explicit json_fields(const nlohmann::json& object);

    bool contains(std::string_view field) const;
    std::string text(std::string_view field) const;
    bool flag_or(std::string_view field, bool otherwise) const;

    /// @brief Reads a whole number, in any notation.
    std::int64_t whole(std::string_view field, whole_range allowed) const;
    std::int64_t whole_or(std::string_view field, whole_range allowed,
                          std::int64_t otherwise) const;

    /// @brief Reads a number; a fraction is cut off.
    std::int64_t number_or(std::string_view field, whole_range allowed,
                           std::int64_t otherwise) const;

    /// @brief Reads a number of 0 or more, which may have a fraction.
    double real_or(std::string_view field, double most, double otherwise) const;

    /// @brief Reads an array.
    const nlohmann::json& list(std::string_view field) const;
    /// @brief Reads an object.
    json_fields object(std::string_view field) const;
    /// @brief The object itself.
    const nlohmann::json& all() const { return *this->from; }

private:
    const nlohmann::json& at(std::string_view field) const;

    const nlohmann::json* from;
};

} // namespace amaranthhatch::packing
