#pragma once

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include "core/quarantine/part_quarantine.hpp"

namespace amaranthhatch::tests
{

inline constexpr core::quarantine::part_id first_part = 1;
inline constexpr core::quarantine::part_id subject = 2;
inline constexpr core::quarantine::part_id other_subject = 3;
inline constexpr core::quarantine::part_id deadly = 666;
inline constexpr std::uint64_t service = 5;

/// @brief The table of one host, with crashes and answers at times of its own.
struct quarantine_table
{
    quarantine_table() : table({}) {}

    void crash(std::uint64_t endpoint,
               std::vector<core::quarantine::part_id> parts)
    {
        core::quarantine::crash_report report;
        report.run = ++this->runs;
        report.endpoint = endpoint;
        report.service = service;
        report.parts = std::move(parts);
        this->table.record_crash(report, this->now);
    }

    void deadly_crashes(int count, core::quarantine::part_id with = subject)
    {
        for (int at = 0; at < count; at++)
            this->crash(++this->endpoints, {first_part, with, deadly});
    }

    /// @brief Lets time pass in which requests with these parts are answered.
    void answer_others(std::vector<core::quarantine::part_id> parts = {900})
    {
        for (int at = 0; at < 10; at++)
        {
            this->now += std::chrono::milliseconds(100);
            this->table.record_answer(parts, service, this->now);
            this->table.update(this->now);
        }
    }

    bool blocked(std::vector<core::quarantine::part_id> parts) const
    {
        return this->table.blocked_for(parts, this->now).has_value();
    }

    core::quarantine::part_quarantine table;
    core::instant now{100000};
    std::uint64_t runs = 0;
    std::uint64_t endpoints = 0;
};

} // namespace amaranthhatch::tests
