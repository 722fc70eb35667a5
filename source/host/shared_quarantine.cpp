#include "host/shared_quarantine.hpp"

#include <algorithm>
#include <cstdio>

#include "core/hash.hpp"
#include "forward/event_splitter.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

using core::quarantine::part_id;

namespace
{

// Connections to several endpoints that close within this time have most
// likely one cause, at this host or on its way to them.
constexpr core::milliseconds same_cause_time{20};

std::uint64_t endpoint_key(std::string_view endpoint, std::int64_t started_ms)
{
    return core::hash(std::string(endpoint) + "/" + std::to_string(started_ms));
}

std::string_view kind_of(part_id part)
{
    return core::quarantine::is_request(part) ? "request" : "prompt_part";
}

} // namespace

std::string hex_text(part_id part)
{
    char text[20];
    std::snprintf(text, sizeof text, "%llx",
                  static_cast<unsigned long long>(part));
    return text;
}

std::string hex_list(std::span<const part_id> parts)
{
    std::string out;
    for (auto part : parts)
        out += (out.empty() ? "" : ",") + hex_text(part);
    return out;
}

std::string crash_list(std::span<const core::quarantine::crash_report> reports)
{
    std::string out;
    for (const auto& each : reports)
        out += (out.empty() ? "" : ",") + hex_text(each.endpoint) + ":" +
               std::to_string(each.age.count());
    return out;
}

shared_quarantine::shared_quarantine(metrics::recorder& metrics)
    : metrics(metrics), table({})
{
}

void shared_quarantine::record_events(prompt_run& run, std::string_view events)
{
    if (run.events >= events_of_sound_run)
        return;
    forward::for_each_data(events, [&run](std::string_view) { run.events++; });
    if (run.events >= events_of_sound_run)
        this->clear(run);
}

void shared_quarantine::record_answer(const prompt_run& run)
{
    if (run.events < events_of_sound_run)
        this->clear(run);
}

void shared_quarantine::clear(const prompt_run& run)
{
    if (this->table.size() > 0)
        this->record_alive(run);
    this->table.record_answer(run.parts, core::hash(run.service), boot_now());
    if (this->table.size() > 0)
        this->check();
}

void shared_quarantine::record_alive(const prompt_run& run)
{
    this->table.record_alive(
        endpoint_key(run.endpoint, run.endpoint_started_ms), run.sent_at,
        boot_now());
}

void shared_quarantine::set_registered(
    std::span<const core::endpoints::endpoint> listed)
{
    this->registered.clear();
    for (const auto& each : listed)
        this->registered.insert(endpoint_key(each.id, each.started_ms));
}

void shared_quarantine::clear_registered(core::instant crashed_before)
{
    for (auto endpoint : this->table.reported_endpoints())
        if (this->registered.contains(endpoint))
            this->table.record_registered(endpoint, crashed_before, boot_now());
}

bool shared_quarantine::record_close(const prompt_run& run, int status)
{
    bool began = status == 0 || (status >= 200 && status < 300);
    if (!began || run.events >= events_of_sound_run || run.parts.empty())
        return false;
    // It has taken this request, so it hadn't crashed before.
    this->record_alive(run);
    auto now = boot_now();
    core::quarantine::crash_report report;
    report.endpoint = endpoint_key(run.endpoint, run.endpoint_started_ms);
    report.run = core::hash(run.request, report.endpoint);
    report.service = core::hash(run.service);
    report.parts = run.parts;
    // A request that was sent after the first close found its endpoint running.
    bool same_cause = run.sent_at < this->first_closed_at &&
                      now - this->first_closed_at < same_cause_time;
    if (!same_cause)
    {
        this->first_closed_at = now;
        this->first_closed_endpoint = report.endpoint;
    }
    report.cause = this->first_closed_endpoint;
    auto crash = report.endpoint;
    auto cause = report.cause;
    bool recorded = this->table.record_crash(std::move(report), now);
    this->metrics.count("hatch_runs_closed_at_start_total", "recorded",
                        recorded ? "yes" : "no");
    if (recorded)
        logging::event(logging::level::warning, "run_closed_at_start")
            .with("id", run.request)
            .with("endpoint", run.endpoint)
            .with("crash", hex_text(crash))
            .with("cause", hex_text(cause))
            .with("events", run.events)
            .with("parts", hex_list(run.parts));
    return true;
}

std::optional<core::milliseconds>
shared_quarantine::blocked_for(std::span<const part_id> parts) const
{
    return this->table.blocked_for(parts, boot_now());
}

std::optional<quarantine_block>
shared_quarantine::block_of(std::span<const part_id> parts) const
{
    for (const auto& [part, common] : this->table.quarantined())
    {
        bool blocks =
            std::all_of(common.begin(), common.end(),
                        [parts](part_id each) {
                            return std::find(parts.begin(), parts.end(),
                                             each) != parts.end();
                        });
        if (blocks)
            return quarantine_block{part,
                                    {common.begin(), common.end()},
                                    this->reports_of(part),
                                    this->time_left(part)};
    }
    return std::nullopt;
}

void shared_quarantine::add_to(core::peers::beacon& beacon) const
{
    beacon.crashes = this->table.reports_to_send(boot_now());
}

void shared_quarantine::receive(const core::peers::beacon& beacon)
{
    this->merge(beacon.crashes);
}

void shared_quarantine::merge(
    std::span<const core::quarantine::crash_report> reports)
{
    auto now = boot_now();
    for (const auto& report : reports)
        this->table.merge(report, now);
    if (!reports.empty())
        this->check();
}

void shared_quarantine::load(
    std::span<const core::quarantine::crash_report> reports)
{
    auto now = boot_now();
    for (const auto& report : reports)
        if (!this->table.contains(report.run))
            this->table.merge(report, now);
    this->check();
}

std::vector<core::quarantine::crash_report>
shared_quarantine::reports_of(part_id part) const
{
    return this->table.reports_of(part, boot_now());
}

core::milliseconds shared_quarantine::time_left(part_id part) const
{
    return this->table.time_left(part, boot_now());
}

void shared_quarantine::check()
{
    this->table.update(boot_now());
    this->log_changes();
}

void shared_quarantine::log_changes()
{
    const auto& quarantined = this->table.quarantined();
    if (quarantined.empty() && this->logged.empty())
        return;
    for (const auto& [part, common] : quarantined)
        if (this->logged.insert(part).second)
            logging::event(logging::level::warning, "part_quarantined")
                .with("part", hex_text(part))
                .with("kind", kind_of(part))
                .with("with",
                      hex_list(std::vector(common.begin(), common.end())))
                .with("crashes", crash_list(this->reports_of(part)));
    std::erase_if(this->logged,
                  [&](part_id part)
                  {
                      bool released = !quarantined.contains(part);
                      if (released)
                          logging::event(logging::level::info, "part_released")
                              .with("part", hex_text(part))
                              .with("kind", kind_of(part));
                      return released;
                  });
    this->metrics.set("hatch_quarantined_parts",
                      static_cast<double>(quarantined.size()));
}

} // namespace amaranthhatch::host
