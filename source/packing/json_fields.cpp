#include "packing/json_fields.hpp"

#include <cmath>

#include "errors/failure.hpp"

namespace amaranthhatch::packing
{

using nlohmann::json;

namespace
{

errors::failure wrong(std::string_view field, const std::string& detail)
{
    return {"read field", field, detail};
}

errors::failure not_in(std::string_view field, std::string_view kind,
                       whole_range allowed)
{
    return wrong(field, "it must be " + std::string(kind) + " from " +
                            std::to_string(allowed.first) + " to " +
                            std::to_string(allowed.last));
}

errors::failure over_limit(std::string_view what, std::size_t limit)
{
    return {"parse JSON", "text",
            "more than " + std::to_string(limit) + " " + std::string(what)};
}

// Converting a float that the integer type can't represent is undefined, so the
// range is checked first. Its bounds are exact as floats up to 2^53.
bool in_range(const json& value, whole_range allowed)
{
    if (value.is_number_unsigned())
        return value.get<std::uint64_t>() <= INT64_MAX &&
               value.get<std::int64_t>() >= allowed.first &&
               value.get<std::int64_t>() <= allowed.last;
    if (value.is_number_integer())
        return value.get<std::int64_t>() >= allowed.first &&
               value.get<std::int64_t>() <= allowed.last;
    constexpr double exact_limit = 9007199254740992.0;
    auto number = value.get<double>();
    return std::abs(number) <= exact_limit &&
           number >= static_cast<double>(allowed.first) &&
           number <= static_cast<double>(allowed.last);
}

bool is_whole(const json& value)
{
    return value.is_number_integer() ||
           (value.is_number_float() &&
            std::trunc(value.get<double>()) == value.get<double>());
}

} // namespace

json parse_json(std::string_view text, const json_limits& limits)
{
    if (text.size() > limits.bytes)
        throw over_limit("bytes", limits.bytes);
    std::size_t values = 0;
    auto check = [&](int depth, json::parse_event_t event, json&)
    {
        bool opens = event == json::parse_event_t::array_start ||
                     event == json::parse_event_t::object_start;
        if (opens && static_cast<std::size_t>(depth) >= limits.depth)
            throw over_limit("levels", limits.depth);
        bool counted = opens || event == json::parse_event_t::value;
        if (counted && ++values > limits.values)
            throw over_limit("values", limits.values);
        return true;
    };
    try
    {
        return json::parse(text, check);
    }
    catch (const json::parse_error& error)
    {
        throw errors::failure("parse JSON", "text",
                              "not JSON at byte " + std::to_string(error.byte));
    }
    catch (const json::exception&)
    {
        // The text of this error may repeat the value.
        throw errors::failure("parse JSON", "text", "a number is out of range");
    }
}

json_fields::json_fields(const json& object) : from(&object)
{
    if (!object.is_object())
        throw errors::failure("read fields", "value", "it must be an object");
}

bool json_fields::contains(std::string_view field) const
{
    return this->from->find(field) != this->from->end();
}

const json& json_fields::at(std::string_view field) const
{
    auto found = this->from->find(field);
    if (found == this->from->end())
        throw wrong(field, "it is missing");
    return *found;
}

std::string json_fields::text(std::string_view field) const
{
    const auto& value = this->at(field);
    if (!value.is_string())
        throw wrong(field, "it must be a text");
    return value.get<std::string>();
}

bool json_fields::flag_or(std::string_view field, bool otherwise) const
{
    if (!this->contains(field))
        return otherwise;
    const auto& value = this->at(field);
    if (!value.is_boolean())
        throw wrong(field, "it must be true or false");
    return value.get<bool>();
}

std::int64_t json_fields::whole(std::string_view field,
                                whole_range allowed) const
{
    const auto& value = this->at(field);
    if (!is_whole(value) || !in_range(value, allowed))
        throw not_in(field, "a whole number", allowed);
    return value.get<std::int64_t>();
}

std::int64_t json_fields::whole_or(std::string_view field, whole_range allowed,
                                   std::int64_t otherwise) const
{
    return this->contains(field) ? this->whole(field, allowed) : otherwise;
}

std::int64_t json_fields::number_or(std::string_view field, whole_range allowed,
                                    std::int64_t otherwise) const
{
    if (!this->contains(field))
        return otherwise;
    const auto& value = this->at(field);
    if (!value.is_number() || !in_range(value, allowed))
        throw not_in(field, "a number", allowed);
    return value.get<std::int64_t>();
}

const json& json_fields::list(std::string_view field) const
{
    const auto& value = this->at(field);
    if (!value.is_array())
        throw wrong(field, "it must be an array");
    return value;
}

json_fields json_fields::object(std::string_view field) const
{
    const auto& value = this->at(field);
    if (!value.is_object())
        throw wrong(field, "it must be an object");
    return json_fields(value);
}

} // namespace amaranthhatch::packing
