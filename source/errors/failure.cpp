#include "errors/failure.hpp"

namespace amaranthhatch::errors
{

namespace
{

std::string join(std::string_view step, std::string_view peer,
                 std::string_view detail)
{
    std::string text(step);
    if (!peer.empty())
    {
        text += " (";
        text += peer;
        text += ")";
    }
    text += ": ";
    text += detail;
    return text;
}

} // namespace

failure::failure(std::string_view step, std::string_view peer,
                 std::string_view detail)
    : std::runtime_error(join(step, peer, detail)), failed_step(step),
      failed_peer(peer)
{
}

} // namespace amaranthhatch::errors
