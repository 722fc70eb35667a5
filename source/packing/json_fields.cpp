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

// The library's parser with a callback takes time that is quadratic in the
// number of objects of an array.
class limited_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
    using base = nlohmann::detail::json_sax_dom_parser<json>;

public:
    limited_builder(json& into, const json_limits& limits)
        : base(into), limits(limits)
    {
    }

    bool start_object(std::size_t size)
    {
        this->enter();
        return this->base::start_object(size);
    }
    bool end_object()
    {
        this->depth--;
        return this->base::end_object();
    }
    bool start_array(std::size_t size)
    {
        this->enter();
        return this->base::start_array(size);
    }
    bool end_array()
    {
        this->depth--;
        return this->base::end_array();
    }
    bool null()
    {
        this->count();
        return this->base::null();
    }
    bool boolean(bool value)
    {
        this->count();
        return this->base::boolean(value);
    }
    bool number_integer(json::number_integer_t value)
    {
        this->count();
        return this->base::number_integer(value);
    }
    bool number_unsigned(json::number_unsigned_t value)
    {
        this->count();
        return this->base::number_unsigned(value);
    }
    bool number_float(json::number_float_t value, const std::string& text)
    {
        this->count();
        return this->base::number_float(value, text);
    }
    bool string(std::string& value)
    {
        this->count();
        return this->base::string(value);
    }

private:
    void enter()
    {
        this->count();
        if (++this->depth > this->limits.depth)
            throw over_limit("levels", this->limits.depth);
    }
    void count()
    {
        if (++this->values > this->limits.values)
            throw over_limit("values", this->limits.values);
    }

    const json_limits& limits;
    std::size_t depth = 0;
    std::size_t values = 0;
};

} // namespace

json parse_json(std::string_view text, const json_limits& limits)
{
    if (text.size() > limits.bytes)
        throw over_limit("bytes", limits.bytes);
    try
    {
        json document;
        limited_builder builder(document, limits);
        json::sax_parse(text, &builder);
        return document;
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

double json_fields::real_or(std::string_view field, double most,
                            double otherwise) const
{
    if (!this->contains(field))
        return otherwise;
    const auto& value = this->at(field);
    double number = value.is_number() ? value.get<double>() : -1;
    if (!(number >= 0 && number <= most))
        throw wrong(field, "it must be a number of 0 or more");
    return number;
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
