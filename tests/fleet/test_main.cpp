#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "fleet.hpp"

namespace
{

// A test case with a failed check keeps the logs of the fleets that it ran, so
// that a failure that shows once can be traced.
struct log_keeper : Catch::TestEventListenerBase
{
    using TestEventListenerBase::TestEventListenerBase;

    void testCaseStarting(const Catch::TestCaseInfo& info) override
    {
        TestEventListenerBase::testCaseStarting(info);
        amaranthhatch::fleet::keep_folders(false);
    }

    bool assertionEnded(const Catch::AssertionStats& stats) override
    {
        if (!stats.assertionResult.isOk())
            amaranthhatch::fleet::keep_folders(true);
        return true;
    }
};

} // namespace

CATCH_REGISTER_LISTENER(log_keeper)
