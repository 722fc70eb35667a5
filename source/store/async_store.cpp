#include "store/async_store.hpp"

namespace amaranthhatch::store
{

std::string_view outcome_name(outcome value)
{
    switch (value)
    {
    case outcome::done:
        return "done";
    case outcome::conflict:
        return "conflict";
    case outcome::missing:
        return "missing";
    case outcome::history_lost:
        return "history_lost";
    case outcome::refused:
        return "refused";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace amaranthhatch::store
