#include "net/codec.hpp"

#include <type_traits>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace amaranthhatch::net
{

namespace
{

namespace messages = core::messages;

constexpr std::uint8_t protocol_version = 1;

// Limits hold for nested parts too, so that a short malformed frame can't
// announce a long list and make the process allocate it.
constexpr std::size_t list_limit = 1u << 20;
constexpr std::size_t text_limit_bytes = 64u << 20;
constexpr std::size_t depth_limit = 16;

template <typename Value>
concept has_fields = requires(Value value)
{
    value.fields();
};

template <typename Value>
struct is_vector : std::false_type
{
};

template <typename Element>
struct is_vector<std::vector<Element>> : std::true_type
{
};

using packer = msgpack::packer<msgpack::sbuffer>;

template <typename Value>
void write(packer& out, Value& value)
{
    if constexpr (has_fields<Value>)
    {
        auto fields = value.fields();
        out.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply([&](auto&... field) { (write(out, field), ...); }, fields);
    }
    else if constexpr (is_vector<Value>::value)
    {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (auto& element : value)
            write(out, element);
    }
    else if constexpr (std::is_enum_v<Value>)
    {
        out.pack(static_cast<std::uint64_t>(value));
    }
    else
    {
        out.pack(value);
    }
}

// The largest value of each enumeration that a frame may carry; a larger one
// would otherwise index past tables of names.
template <typename Value>
constexpr std::uint64_t enum_limit = 255;
template <>
constexpr std::uint64_t enum_limit<core::refusal> =
    static_cast<std::uint64_t>(core::refusal::count_of_refusals) - 1;
template <>
constexpr std::uint64_t enum_limit<core::outcome> = 2;
template <>
constexpr std::uint64_t enum_limit<messages::role> = 2;
template <>
constexpr std::uint64_t enum_limit<messages::liveness> = 3;
template <>
constexpr std::uint64_t enum_limit<messages::work_kind> = 1;
template <>
constexpr std::uint64_t enum_limit<messages::record_kind> = 4;
template <>
constexpr std::uint64_t enum_limit<messages::job_state> = 5;
template <>
constexpr std::uint64_t enum_limit<messages::forecast> = 2;
template <>
constexpr std::uint64_t enum_limit<messages::append_answer::verdict> = 3;

const msgpack::object_array& list_of(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY)
        throw codec_error("a list is missing");
    return object.via.array;
}

template <typename Value>
void read(const msgpack::object& object, Value& value)
{
    if constexpr (has_fields<Value>)
    {
        const auto& list = list_of(object);
        auto fields = value.fields();
        if (list.size != std::tuple_size_v<decltype(fields)>)
            throw codec_error("a message has another number of fields");
        std::uint32_t index = 0;
        std::apply([&](auto&... field)
                   { (read(list.ptr[index++], field), ...); },
                   fields);
    }
    else if constexpr (is_vector<Value>::value)
    {
        const auto& list = list_of(object);
        value.resize(list.size);
        for (std::uint32_t index = 0; index < list.size; ++index)
            read(list.ptr[index], value[index]);
    }
    else if constexpr (std::is_enum_v<Value>)
    {
        auto number = object.as<std::uint64_t>();
        if (number > enum_limit<Value>)
            throw codec_error("a value is out of its range");
        value = static_cast<Value>(number);
    }
    else
    {
        object.convert(value);
    }
}

msgpack::object_handle unpack(std::string_view frame)
{
    msgpack::unpack_limit limits(list_limit, 0, text_limit_bytes,
                                 text_limit_bytes, 0, depth_limit);
    return msgpack::unpack(frame.data(), frame.size(), nullptr, nullptr,
                           limits);
}

messages::message_kind read_head(const msgpack::object& object)
{
    const auto& list = list_of(object);
    if (list.size != 3 || list.ptr[0].as<std::uint8_t>() != protocol_version)
        throw codec_error("the frame has another protocol version");
    return static_cast<messages::message_kind>(list.ptr[1].as<std::uint8_t>());
}

} // namespace

template <typename Message>
std::string encode(Message message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(3);
    out.pack(protocol_version);
    out.pack(static_cast<std::uint8_t>(Message::kind_of_message));
    write(out, message);
    return std::string(buffer.data(), buffer.size());
}

template <typename Message>
Message decode(std::string_view frame)
{
    try
    {
        auto handle = unpack(frame);
        if (read_head(handle.get()) != Message::kind_of_message)
            throw codec_error("the frame is of another kind");
        Message message;
        read(handle.get().via.array.ptr[2], message);
        return message;
    }
    catch (const codec_error&)
    {
        throw;
    }
    catch (const std::exception& error)
    {
        throw codec_error(error.what());
    }
}

core::messages::message_kind kind_of(std::string_view frame)
{
    try
    {
        return read_head(unpack(frame).get());
    }
    catch (const std::exception&)
    {
        return core::messages::message_kind::none;
    }
}

#define HATCH_INSTANTIATE(name)                                                \
    template std::string encode<messages::name>(messages::name);               \
    template messages::name decode<messages::name>(std::string_view);

HATCH_INSTANTIATE(ping)
HATCH_INSTANTIATE(pong)
HATCH_INSTANTIATE(ping_request)
HATCH_INSTANTIATE(view_request)
HATCH_INSTANTIATE(view_answer)
HATCH_INSTANTIATE(configuration_request)
HATCH_INSTANTIATE(configuration_answer)
HATCH_INSTANTIATE(status_request)
HATCH_INSTANTIATE(status_answer)
HATCH_INSTANTIATE(want_slot)
HATCH_INSTANTIATE(slot_answer)
HATCH_INSTANTIATE(slot_report)
HATCH_INSTANTIATE(report_answer)
HATCH_INSTANTIATE(await_preemption)
HATCH_INSTANTIATE(preemption_answer)
HATCH_INSTANTIATE(endpoints_request)
HATCH_INSTANTIATE(endpoints_answer)
HATCH_INSTANTIATE(file_put)
HATCH_INSTANTIATE(stored_answer)
HATCH_INSTANTIATE(file_get)
HATCH_INSTANTIATE(file_answer)
HATCH_INSTANTIATE(job_submit)
HATCH_INSTANTIATE(submit_answer)
HATCH_INSTANTIATE(job_request)
HATCH_INSTANTIATE(job_answer)
HATCH_INSTANTIATE(output_request)
HATCH_INSTANTIATE(output_answer)
HATCH_INSTANTIATE(journal_append)
HATCH_INSTANTIATE(append_answer)
HATCH_INSTANTIATE(journal_seal)
HATCH_INSTANTIATE(seal_answer)
HATCH_INSTANTIATE(jobs_request)
HATCH_INSTANTIATE(jobs_answer)
HATCH_INSTANTIATE(journal_record)

} // namespace amaranthhatch::net
