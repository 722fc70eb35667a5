#include "configuration/parse.hpp"

#include "settings/document.hpp"

namespace amaranthhatch::configuration
{

namespace
{

using core::messages::work_kind;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace declared = core::configuration;

constexpr settings::duration_range target_range{milliseconds(1), minutes(10)};
constexpr settings::duration_range deadline_range{milliseconds(10), hours(1)};
constexpr settings::duration_range due_range{seconds(1), hours(24 * 14)};
constexpr settings::number_range rank_range{0, 100};
constexpr settings::number_range token_range{1, 1'000'000};
constexpr settings::number_range concurrency_range{1, 100'000};
constexpr std::int64_t default_rank = 10;
constexpr std::int64_t default_max_tokens = 4096;
constexpr std::int64_t default_concurrency = 1000;

declared::work_class parse_class(settings::document& from,
                                 const std::string& name)
{
    std::string at = "class." + name + ".";
    declared::work_class parsed;
    parsed.name = name;
    std::string kind = from.text(at + "kind");
    if (kind != "online" && kind != "batch")
        from.refuse(at + "kind", "must be \"online\" or \"batch\"");
    parsed.kind = kind == "batch" ? work_kind::batch : work_kind::online;
    parsed.rank = static_cast<std::uint32_t>(
        from.number_or(at + "rank", default_rank, rank_range));
    if (parsed.kind == work_kind::batch)
    {
        parsed.completion_window = from.duration(at + "due", due_range);
        return parsed;
    }
    parsed.first_token = from.duration(at + "first_token", target_range);
    parsed.token_gap = from.duration(at + "token_gap", target_range);
    parsed.deadline = from.duration(at + "deadline", deadline_range);
    return parsed;
}

declared::model parse_model(settings::document& from, const std::string& name,
                            const declared::declarations& known)
{
    std::string at = "model." + name + ".";
    declared::model parsed;
    parsed.name = name;
    parsed.classes = from.texts(at + "classes");
    if (parsed.classes.empty())
        from.refuse(at + "classes", "must name at least one class");
    for (const auto& one : parsed.classes)
    {
        if (known.find_class(one) == nullptr)
            from.refuse(at + "classes", "names the class \"" + one +
                                            "\", which is not declared");
    }
    parsed.max_tokens = static_cast<std::uint32_t>(
        from.number_or(at + "max_tokens", default_max_tokens, token_range));
    return parsed;
}

declared::service parse_service(settings::document& from,
                                const std::string& name,
                                const declared::declarations& known)
{
    std::string at = "service." + name + ".";
    declared::service parsed;
    parsed.name = name;
    parsed.work_class = from.text(at + "class");
    const auto* named = known.find_class(parsed.work_class);
    if (named == nullptr || named->kind != work_kind::online)
        from.refuse(at + "class", "must name a declared online class");
    if (!from.has(at + "repeatable"))
        from.refuse("service." + name,
                    "must say whether calls are repeatable = true or false");
    parsed.repeatable = from.flag_or(at + "repeatable", false);
    return parsed;
}

declared::workspace parse_workspace(settings::document& from,
                                    const std::string& name)
{
    std::string at = "workspace." + name + ".";
    declared::workspace parsed;
    parsed.name = name;
    parsed.max_concurrent = static_cast<std::uint32_t>(from.number_or(
        at + "max_concurrent", default_concurrency, concurrency_range));
    return parsed;
}

} // namespace

core::configuration::declarations parse_declarations(std::string_view text,
                                                     std::string_view name)
{
    auto from = settings::document::from_text(text, name);
    declared::declarations parsed;
    for (const auto& one : from.children("class"))
        parsed.classes.push_back(parse_class(from, one));
    if (parsed.classes.empty())
        from.refuse("class", "at least one class must be declared");
    for (const auto& one : from.children("model"))
        parsed.models.push_back(parse_model(from, one, parsed));
    for (const auto& one : from.children("service"))
        parsed.services.push_back(parse_service(from, one, parsed));
    for (const auto& one : from.children("workspace"))
        parsed.workspaces.push_back(parse_workspace(from, one));
    from.finish();
    return parsed;
}

} // namespace amaranthhatch::configuration
