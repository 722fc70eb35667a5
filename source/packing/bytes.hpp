#pragma once

#include <msgpack.hpp>

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "logging/event.hpp"

namespace amaranthhatch::packing
{

/// @brief The bytes of a message between hosts or on the disk.
template <typename Packed>
std::string to_bytes(const Packed& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// @brief Reads a message; nothing, and a log line, where it can't be read.
template <typename Packed>
std::optional<Packed> from_bytes(std::string_view bytes,
                                 std::string_view message_name)
{
    try
    {
        Packed message;
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(message);
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
