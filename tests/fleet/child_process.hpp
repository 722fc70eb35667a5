#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace amaranthhatch::fleet
{

/// @brief A process that the fixture started; it is killed at the end.
class child_process
{
public:
    child_process(std::vector<std::string> command, std::string log_file);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    ~child_process();

    void signal(int number) const;

    /// @brief Kills at once and waits.
    void kill();

    /// @brief Sends SIGTERM and waits; the exit status, or -1 after the limit.
    int stop(std::chrono::milliseconds limit);

    /// @brief Waits for the end of a process that was told to stop; returns its
    /// status, or -1 if it didn't exit by itself within the limit.
    int wait(std::chrono::milliseconds limit);

    bool running();
    pid_t id() const { return this->pid; }

private:
    pid_t pid = -1;
    int status = 0;
    bool ended = false;
};

} // namespace amaranthhatch::fleet
