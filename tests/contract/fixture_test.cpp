#include <catch2/catch.hpp>

#include <array>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.hpp"

using namespace amaranthhatch;

namespace
{

constexpr std::size_t longest_address = 64;

/// @brief A second test program that has chosen an address and still runs.
class other_program
{
public:
    other_program()
    {
        fleet::free_address();
        REQUIRE(pipe(this->chosen.data()) == 0);
        REQUIRE(pipe(this->finish.data()) == 0);
        this->child = fork();
        if (this->child == 0)
            this->choose_and_wait();
        close(this->chosen[1]);
        close(this->finish[0]);
    }

    ~other_program()
    {
        close(this->finish[1]);
        waitpid(this->child, nullptr, 0);
        close(this->chosen[0]);
    }

    std::string address() const
    {
        std::array<char, longest_address> text{};
        auto length = read(this->chosen[0], text.data(), text.size());
        return {text.data(), static_cast<std::size_t>(std::max(length, 0L))};
    }

private:
    // Only calls that are safe behind a fork: no check of Catch2 runs here.
    [[noreturn]] void choose_and_wait()
    {
        close(this->finish[1]);
        auto address = fleet::free_address();
        char end = 0;
        bool told = write(this->chosen[1], address.data(), address.size()) > 0;
        while (told && read(this->finish[0], &end, 1) > 0)
            continue;
        _exit(0);
    }

    std::array<int, 2> chosen{};
    std::array<int, 2> finish{};
    pid_t child = 0;
};

} // namespace

// Both programs go on from the same port, as two with near process ids may.
TEST_CASE("fixture, two programs that choose an address, never get the same")
{
    other_program other;
    std::string taken = other.address();
    REQUIRE_FALSE(taken.empty());
    CHECK(fleet::free_address() != taken);
}
