#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/instant.hpp"
#include "core/quarantine/crash_report.hpp"

namespace amaranthhatch::core::quarantine
{

/// @brief Decides when this host claims a trial of a quarantined part: one run
/// of a request with it, as nothing else could show that it crashes nothing.
///
/// Each trial of a part has a number, which one host of the fleet can claim. A
/// host that has claimed one keeps it until a request with the part comes.
class trial_schedule
{
public:
    struct limits
    {
        /// Trials of a part in the whole fleet.
        std::uint32_t trials = 3;
        /// Time from the quarantine to the first trial, in which endpoints that
        /// have crashed for another reason are back.
        milliseconds first_delay{2000};
        /// Time from one trial's claim to that of the next.
        milliseconds next_delay{10000};
        /// Time after which a claim without an answer is sent again.
        milliseconds claim_retry{2000};
        /// Time for which a waiting request counts after it was last seen.
        milliseconds wanted_time{3000};
    };

    /// @brief The claim of one trial of a part.
    struct claim
    {
        part_id part = 0;
        /// From 1 on.
        std::uint32_t number = 0;
        /// The store's revision of the claim; 0 if it was never stored.
        std::uint64_t revision = 0;
    };

    explicit trial_schedule(limits bounds);

    /// @brief Sets the parts that are quarantined now; drops what is known of
    /// all others.
    void set_quarantined(const std::vector<part_id>& parts, instant now);

    /// @brief Records that some host has claimed a part's trial.
    void record_claim(const claim& claimed, instant now);

    /// @brief Records that a host has returned a claim, which can be claimed
    /// again.
    void record_return(const claim& returned);

    /// @brief Records that this host has claimed a part's trial. Claims up to a
    /// revision that was recorded before are ignored, so that a trial isn't
    /// used twice.
    void grant(const claim& claimed, instant now);

    /// @brief Records that a request with the part waits at this host, which
    /// claims a trial for it after a delay at the earliest.
    void want(part_id part, milliseconds delay, instant now);

    /// @brief Returns the claims that are due, with the revisions at which they
    /// were returned; each is due again after claim_retry unless it was
    /// recorded by then.
    std::vector<claim> due_claims(instant now);

    /// @brief Returns this host's claims that it is to return: no request waits
    /// for the trial any more, or it was answered.
    std::vector<claim> due_returns(instant now);

    /// @brief Records that a trial of this host was answered, so that it
    /// needn't count against a later quarantine of the part.
    void record_answer(part_id part);

    /// @brief True if this host holds a trial of the part or may claim one.
    bool available(part_id part) const;

    /// @brief True if this host holds a trial of the part.
    bool holds(part_id part) const;

    /// @brief Uses the trial that this host holds.
    void use(part_id part);

    /// @brief Returns a trial whose request has reached no endpoint.
    void give_back(part_id part);

private:
    struct trial_state
    {
        bool claimed = false;
        std::uint64_t revision = 0;
    };

    struct part_state
    {
        instant next_claim{};
        /// By number, from 1 on; those that aren't known are free.
        std::map<std::uint32_t, trial_state> trials;
        bool held = false;
        /// Since when requests wait, when one was last seen, and the shortest
        /// delay of a claim for them.
        std::optional<instant> wanted_since;
        instant wanted_at{};
        milliseconds claim_delay{};
    };

    std::optional<claim> free_trial(part_id part,
                                    const part_state& state) const;
    bool wanted(const part_state& state, instant now) const;
    void forget_oldest_grant();

    limits bounds;
    std::map<part_id, part_state> parts;
    /// This host's last claims. Kept longer than the parts' other state, as a
    /// part can be released and quarantined again.
    std::map<part_id, claim> granted;
    std::vector<claim> answered;
};

} // namespace amaranthhatch::core::quarantine
