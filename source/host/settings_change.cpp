#include "host/settings_change.hpp"

#include <string_view>

namespace amaranthhatch::host
{

namespace
{

template <typename Value>
struct field
{
    std::string_view name;
    Value host_settings::*member;
};

constexpr field<core::milliseconds> changing_times[] = {
    {"heartbeat", &host_settings::heartbeat},
    {"drain", &host_settings::drain},
    {"grace", &host_settings::grace},
    {"job_status", &host_settings::job_status},
    {"retry_after", &host_settings::retry_after}};
constexpr field<std::string> changing_texts[] = {
    {"store_address", &host_settings::store_address}};
constexpr field<std::vector<std::string>> changing_lists[] = {
    {"seeds", &host_settings::seeds}};
constexpr field<std::uint64_t> changing_sizes[] = {
    {"disk_bytes", &host_settings::disk_bytes}};
constexpr field<std::string> fixed_texts[] = {
    {"name", &host_settings::name},
    {"zone", &host_settings::zone},
    {"region", &host_settings::region},
    {"front_address", &host_settings::front_address},
    {"ready_address", &host_settings::ready_address},
    {"seed_address", &host_settings::seed_address},
    {"internal_address", &host_settings::internal_address},
    {"data_folder", &host_settings::data_folder}};
constexpr field<std::uint32_t> fixed_counts[] = {
    {"lost_disks", &host_settings::lost_disks}};

template <typename Value, std::size_t Count>
void apply(const field<Value> (&fields)[Count], const host_settings& read,
           settings_change& out)
{
    for (const auto& each : fields)
        if (out.next.*each.member != read.*each.member)
        {
            out.next.*each.member = read.*each.member;
            out.applied.emplace_back(each.name);
        }
}

template <typename Value, std::size_t Count>
void note_waiting(const field<Value> (&fields)[Count],
                  const host_settings& read, settings_change& out)
{
    for (const auto& each : fields)
        if (out.next.*each.member != read.*each.member)
            out.waiting.emplace_back(each.name);
}

} // namespace

settings_change compare_settings(const host_settings& in_force,
                                 const host_settings& read)
{
    settings_change out{in_force, {}, {}};
    apply(changing_times, read, out);
    apply(changing_texts, read, out);
    apply(changing_lists, read, out);
    apply(changing_sizes, read, out);
    note_waiting(fixed_texts, read, out);
    note_waiting(fixed_counts, read, out);
    return out;
}

} // namespace amaranthhatch::host
