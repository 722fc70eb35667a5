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
std::string to_bytes(const Packed& from)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, from);
    return {buffer.data(), buffer.size()};
}

/// @brief Reads a message; nothing, and a log line, where it can't be read.
template <typename Packed>
std::optional<Packed> from_bytes(std::string_view bytes, std::string_view what)
{
    try
    {
        Packed out;
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(out);
        return out;
    }
    catch (const std::exception& error)
    {
        logging::event(logging::level::error, "message_unreadable")
            .with("what", what)
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::packing
