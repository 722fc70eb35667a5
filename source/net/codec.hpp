#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/messages/jobs.hpp"
#include "core/messages/members.hpp"
#include "core/messages/slots.hpp"

namespace amaranthhatch::net
{

/// @brief A frame that is no message of ours.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Writes a message as a frame: [version, kind, fields].
template <typename Message>
std::string encode(Message message);

/// @brief Reads a frame of a known kind; throws codec_error where it is none.
template <typename Message>
Message decode(std::string_view frame);

/// @brief The kind of a frame; none where it is malformed.
core::messages::message_kind kind_of(std::string_view frame);

/// @brief Reads an answer; nothing where it is missing, empty or malformed.
template <typename Message>
std::optional<Message> decode_answer(const std::optional<std::string>& frame)
{
    if (!frame || frame->empty())
        return std::nullopt;
    try
    {
        return decode<Message>(*frame);
    }
    catch (const codec_error&)
    {
        return std::nullopt;
    }
}

} // namespace amaranthhatch::net
