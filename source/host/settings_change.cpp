#include "host/settings_change.hpp"

#include <string_view>

namespace amaranthhatch::host
{

namespace
{

template <typename Value>
struct setting
{
    std::string_view name;
    Value host_settings::*member;
};

constexpr setting<core::milliseconds> reloadable_times[] = {
    {"heartbeat", &host_settings::heartbeat},
    {"drain", &host_settings::drain},
    {"grace", &host_settings::grace},
    {"job_status", &host_settings::job_status},
    {"revocation_limit", &host_settings::revocation_limit},
    {"retry_after", &host_settings::retry_after}};
constexpr setting<double> reloadable_numbers[] = {
    {"quota_slack", &host_settings::quota_slack}};
constexpr setting<bool> reloadable_flags[] = {
    {"fail_closed", &host_settings::fail_closed}};
constexpr setting<std::string> reloadable_texts[] = {
    {"store_address", &host_settings::store_address}};
constexpr setting<std::vector<std::string>> reloadable_lists[] = {
    {"seeds", &host_settings::seeds}};
constexpr setting<std::uint64_t> reloadable_sizes[] = {
    {"disk_bytes", &host_settings::disk_bytes}};
constexpr setting<std::string> restart_only_texts[] = {
    {"name", &host_settings::name},
    {"zone", &host_settings::zone},
    {"region", &host_settings::region},
    {"front_address", &host_settings::front_address},
    {"ready_address", &host_settings::ready_address},
    {"seed_address", &host_settings::seed_address},
    {"internal_address", &host_settings::internal_address},
    {"data_folder", &host_settings::data_folder}};
constexpr setting<std::uint32_t> restart_only_counts[] = {
    {"lost_disks", &host_settings::lost_disks}};

template <typename Value, std::size_t Count>
void apply(const setting<Value> (&fields)[Count], const host_settings& reloaded,
           settings_change& result)
{
    for (const auto& field : fields)
        if (result.next.*field.member != reloaded.*field.member)
        {
            result.next.*field.member = reloaded.*field.member;
            result.applied.emplace_back(field.name);
        }
}

template <typename Value, std::size_t Count>
void record_after_restart(const setting<Value> (&fields)[Count],
                          const host_settings& reloaded,
                          settings_change& result)
{
    for (const auto& field : fields)
        if (result.next.*field.member != reloaded.*field.member)
            result.after_restart.emplace_back(field.name);
}

} // namespace

settings_change compare_settings(const host_settings& in_force,
                                 const host_settings& reloaded)
{
    settings_change result{in_force, {}, {}};
    apply(reloadable_times, reloaded, result);
    apply(reloadable_flags, reloaded, result);
    apply(reloadable_numbers, reloaded, result);
    apply(reloadable_texts, reloaded, result);
    apply(reloadable_lists, reloaded, result);
    apply(reloadable_sizes, reloaded, result);
    record_after_restart(restart_only_texts, reloaded, result);
    record_after_restart(restart_only_counts, reloaded, result);
    return result;
}

} // namespace amaranthhatch::host
