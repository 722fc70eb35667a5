#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/instant.hpp"
#include "core/quarantine/crash_report.hpp"
#include "core/quarantine/crash_times.hpp"

namespace amaranthhatch::core::quarantine
{

/// @brief Finds the parts of prompts that crash endpoints, and blocks requests
/// that contain them.
///
/// Most requests that an endpoint runs when it crashes are sound. A part is
/// suspected if requests with it were just beginning on several endpoints when
/// these crashed; a single answer to a request with it clears it. A part is
/// quarantined if nothing has cleared it while other requests were answered.
///
/// Parts that always come together can't be told apart. A request is blocked
/// only if it contains all parts that the crashed requests with a quarantined
/// part had in common, so that requests that share some of them still run. A
/// crash has one cause: where parts that occur in fewer requests explain it, it
/// doesn't count against a part that more requests share.
///
/// The request itself is tracked like a part. If one request crashes endpoint
/// after endpoint, only its repeats are blocked. If several such requests share
/// a part that nothing clears, the part is suspected as well.
class part_quarantine
{
public:
    using part_set = std::set<part_id>;

    struct limits
    {
        /// Crashed endpoints without an answer after which a part can be the
        /// cause, as weighed by crash_times.
        std::size_t crashes = 3;
        /// Time in which an answer can still clear such a part.
        milliseconds confirmation_delay{500};
        /// The same for a part whose crashes are mostly explained by it and
        /// another part together.
        milliseconds partly_explained_delay{2500};
        /// Answers of the crashed endpoints' services to requests without the
        /// part in that time. Without them the endpoints may be down for
        /// another reason.
        std::uint64_t other_answers = 4;
        std::uint64_t partly_explained_answers = 12;
        /// A report counts for this time after the crash.
        milliseconds duration{300000};
        /// Largest number of reports.
        std::size_t reports = 128;
        /// Largest number of reports with the same uncleared parts; more add
        /// nothing.
        std::size_t reports_per_part = 6;
    };

    explicit part_quarantine(limits bounds);

    /// @brief Adds a crash that this host has seen; false if it is ignored.
    bool record_crash(crash_report report, instant now);

    /// @brief Clears the parts of a request that an endpoint of a service
    /// answers.
    void record_answer(std::span<const part_id> parts, std::uint64_t service,
                       instant now);

    /// @brief Clears an endpoint's crashes that were reported shortly before a
    /// request was sent to it which it then took: it hasn't crashed.
    void record_alive(std::uint64_t endpoint, instant sent_at, instant now);

    /// @brief Clears the crashes before a time of an endpoint whose
    /// registration has outlasted them: it hasn't crashed.
    void record_registered(std::uint64_t endpoint, instant crashed_before,
                           instant now);

    /// @brief The endpoints that have uncleared reports.
    std::set<std::uint64_t> reported_endpoints() const;

    /// @brief Merges another host's version of a report.
    void merge(const crash_report& report, instant now);

    /// @brief Confirms causes and removes old reports; to be called often.
    void update(instant now);

    bool contains(std::uint64_t run) const
    {
        return this->records.contains(run);
    }

    /// @brief Returns for how long a request with these parts stays blocked;
    /// nothing if it isn't.
    std::optional<milliseconds> blocked_for(std::span<const part_id> parts,
                                            instant now) const;

    /// @brief Returns the quarantined parts that a request with these parts is
    /// blocked for, one of each set that comes together.
    std::vector<part_id> blocking(std::span<const part_id> parts) const;

    /// @brief Returns for how long an uncleared part stays suspected.
    milliseconds time_left(part_id part, instant now) const;

    /// @brief True if a request with these parts may be the cause of more than
    /// one crash.
    bool suspects(std::span<const part_id> parts) const;

    /// @brief The quarantined parts, each with the parts that a blocked request
    /// also contains.
    const std::map<part_id, part_set>& quarantined() const
    {
        return this->blocked;
    }

    /// @brief Reports for the other hosts: those that changed a short time ago,
    /// and at intervals those of quarantined parts, for hosts that start.
    std::vector<crash_report> reports_to_send(instant now) const;

    /// @brief The reports that a part is quarantined for.
    std::vector<crash_report> reports_of(part_id part, instant now) const;

    std::size_t size() const { return this->records.size(); }

private:
    struct record
    {
        crash_report report;
        instant crashed_at{};
        instant changed_at{};
    };

    /// @brief Parts that the same crashed requests have in common.
    struct explanation
    {
        part_set common;
        std::set<std::uint64_t> endpoints;
        std::set<std::uint64_t> causes;

        /// @brief True if only repeats of one request match.
        bool one_request() const;
        bool matches_fewer_than(const explanation& other) const;
    };

    /// @brief The uncleared reports of a part.
    struct part_reports
    {
        std::vector<std::uint64_t> runs;
        std::size_t endpoints = 0;
        /// Their crashes as evidence against the part.
        double weight = 0;
    };

    /// @brief Crashes that explanations taken before account for.
    struct explained_crashes
    {
        std::set<std::uint64_t> any;
        /// Those of requests that are strong enough to be quarantined.
        std::set<std::uint64_t> by_requests;
        /// Those of parts that are strong enough to be quarantined.
        std::set<std::uint64_t> by_parts;
        /// What these requests' crashes have in common.
        std::vector<part_set> requests;

        /// @brief True if nothing is left for this explanation to explain.
        bool cover(const explanation& each) const;
    };

    /// @brief A part that may be the cause, until it is confirmed or cleared.
    struct candidate
    {
        instant since{};
        std::uint64_t answers_before = 0;
    };

    bool accepts(const crash_report& report) const;
    template <class Predicate>
    bool clear_crashes(Predicate unfounded, instant now);
    void add(crash_report report, instant now);
    void make_room();
    void remember_cleared(const record& removed);
    void rebuild();
    void index_parts();
    void suspect(const explanation& each, bool partly_explained);
    std::vector<const record*> uncleared_records(part_id part) const;
    std::size_t crashed_endpoints(part_id part) const;
    bool enough(part_id part) const;
    bool confirmed(part_id part) const;
    void confirm(part_id part, instant now);
    std::uint64_t answers_beside(part_id part) const;
    int need_of(const record& stored) const;
    static part_set common_parts(std::span<const record* const> records);
    std::vector<explanation> explanations() const;
    double weigh(const std::set<std::uint64_t>& endpoints,
                 const std::set<std::uint64_t>& causes) const;
    crash_report with_age(const record& stored, instant now) const;

    limits bounds;
    std::map<std::uint64_t, record> records;
    /// The crashes of all reports, also of those that were cleared and removed.
    crash_times times;
    std::map<part_id, part_reports> uncleared;
    std::map<part_id, candidate> candidates;
    std::map<part_id, part_set> blocked;
    /// Parts that explain enough crashes to be quarantined, confirmed or not;
    /// true where other parts explain most of them, too.
    std::map<part_id, bool> suspected;
    /// The common parts of requests that may have caused several crashes.
    std::vector<part_set> repeated_causes;
    /// Runs whose cleared reports were removed, and until when they are
    /// refused: another host, or the store, may still have them uncleared.
    std::map<std::uint64_t, instant> removed_runs;
    /// When an endpoint's reports were last found unfounded.
    std::map<std::uint64_t, instant> unfounded_at;
    /// Answers by service.
    std::map<std::uint64_t, std::uint64_t> answers;
};

} // namespace amaranthhatch::core::quarantine
