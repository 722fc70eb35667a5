#pragma once

#include <msgpack.hpp>

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "logging/event.hpp"

namespace amaranthhatch::packing
{

/// @brief Encodes a message in MessagePack, for another host or for the disk.
template <typename Packed>
std::string to_bytes(const Packed& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// @brief Decodes a message; returns nullopt and logs an error if the bytes
/// can't be decoded. Sets length, if given, to the bytes that it took; more may
/// follow.
template <typename Packed>
std::optional<Packed> from_bytes(std::string_view bytes,
                                 std::string_view message_name,
                                 std::size_t* length = nullptr)
{
    try
    {
        Packed message;
        std::size_t offset = 0;
        msgpack::unpack(bytes.data(), bytes.size(), offset)
            .get()
            .convert(message);
        if (length != nullptr)
            *length = offset;
        return message;
    }
    catch (const std::exception& error)
    {
        logging::event(logging::level::error, "message_unreadable")
            .with("what", message_name)
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::packing
