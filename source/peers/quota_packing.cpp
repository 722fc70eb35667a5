#include "peers/quota_packing.hpp"

#include <algorithm>
#include <cmath>

#include "packing/bytes.hpp"

namespace amaranthhatch::peers
{

namespace
{

namespace quotas = core::quotas;

// Must change with the fields of the messages.
constexpr std::uint32_t report_format = 1;
constexpr std::uint32_t state_format = 2;
// Bounds what an unreadable or hostile message makes of a bucket.
constexpr double largest_number = 1e9;

struct packed_report
{
    std::uint64_t workspace = 0;
    std::uint64_t asked = 0;
    std::int64_t admitted = 0;
    std::int64_t unconfirmed = 0;
    float expected_tokens = 0;
    MSGPACK_DEFINE(workspace, asked, admitted, unconfirmed, expected_tokens)
};

struct packed_state
{
    std::uint64_t workspace = 0;
    float tokens = 0;
    float asked_per_second = 0;
    float admitted_per_second = 0;
    std::int64_t included = 0;
    bool answers_report = false;
    MSGPACK_DEFINE(workspace, tokens, asked_per_second, admitted_per_second,
                   included, answers_report)
};

struct packed_report_message
{
    std::uint32_t format = 0;
    std::string sender;
    std::uint64_t incarnation = 0;
    std::int64_t sent_ms = 0;
    std::vector<packed_report> reports;
    MSGPACK_DEFINE(format, sender, incarnation, sent_ms, reports)
};

struct packed_state_message
{
    std::uint32_t format = 0;
    std::string sender;
    std::uint64_t receiver_incarnation = 0;
    std::int64_t answered_ms = 0;
    std::vector<packed_state> states;
    std::vector<std::string> owners;
    MSGPACK_DEFINE(format, sender, receiver_incarnation, answered_ms, states,
                   owners)
};

double bounded(float value)
{
    return std::isfinite(value)
               ? std::clamp<double>(value, -largest_number, largest_number)
               : 0;
}

quotas::report_message from_packed(packed_report_message&& packed)
{
    quotas::report_message out{
        std::move(packed.sender), packed.incarnation, packed.sent_ms, {}};
    for (const auto& each : packed.reports)
        out.reports.push_back({each.workspace, each.asked, each.admitted,
                               each.unconfirmed,
                               bounded(each.expected_tokens)});
    return out;
}

quotas::state_message from_packed(packed_state_message&& packed)
{
    quotas::state_message out{std::move(packed.sender),
                              packed.receiver_incarnation,
                              packed.answered_ms,
                              {},
                              std::move(packed.owners)};
    for (const auto& each : packed.states)
        out.states.push_back({each.workspace, bounded(each.tokens),
                              std::max(0.0, bounded(each.asked_per_second)),
                              std::max(0.0, bounded(each.admitted_per_second)),
                              each.included, each.answers_report});
    return out;
}

// The format is the first field of both messages.
bool has_format(std::string_view bytes, std::uint32_t format)
{
    constexpr std::size_t offset = 1;
    return bytes.size() > offset && bytes[offset] == static_cast<char>(format);
}

} // namespace

std::string pack(const quotas::report_message& message)
{
    packed_report_message packed{report_format,
                                 message.sender,
                                 message.incarnation,
                                 message.sent_ms,
                                 {}};
    for (const auto& each : message.reports)
        packed.reports.push_back({each.workspace, each.asked, each.admitted,
                                  each.unconfirmed,
                                  static_cast<float>(each.expected_tokens)});
    return packing::to_bytes(packed);
}

std::string pack(const quotas::state_message& message)
{
    packed_state_message packed{state_format,
                                message.sender,
                                message.receiver_incarnation,
                                message.answered_ms,
                                {},
                                message.owners};
    for (const auto& each : message.states)
        packed.states.push_back({each.workspace,
                                 static_cast<float>(each.tokens),
                                 static_cast<float>(each.asked_per_second),
                                 static_cast<float>(each.admitted_per_second),
                                 each.included, each.answers_report});
    return packing::to_bytes(packed);
}

std::variant<std::monostate, quotas::report_message, quotas::state_message>
unpack_quota_message(std::string_view bytes)
{
    if (has_format(bytes, report_format))
    {
        auto packed =
            packing::from_bytes<packed_report_message>(bytes, "quota report");
        if (packed)
            return from_packed(std::move(*packed));
    }
    if (has_format(bytes, state_format))
    {
        auto packed =
            packing::from_bytes<packed_state_message>(bytes, "quota state");
        if (packed)
            return from_packed(std::move(*packed));
    }
    return {};
}

} // namespace amaranthhatch::peers
