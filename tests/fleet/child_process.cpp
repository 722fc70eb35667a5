#include "child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

#include "errors/failure.hpp"

extern char** environ;

namespace amaranthhatch::fleet
{

child_process::child_process(std::vector<std::string> command,
                             std::string log_file)
{
    std::vector<char*> arguments;
    for (auto& one : command)
        arguments.push_back(one.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    int code = posix_spawn(&this->pid, arguments[0], &actions, &attributes,
                           arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (code != 0)
        throw errors::failure("spawn", command[0], "can't be started");
}

child_process::child_process(child_process&& other) noexcept
    : pid(std::exchange(other.pid, -1)), status(other.status),
      ended(other.ended)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(this->pid, other.pid);
    std::swap(this->status, other.status);
    std::swap(this->ended, other.ended);
    return *this;
}

child_process::~child_process()
{
    this->kill();
}

void child_process::signal(int number) const
{
    if (this->pid > 0 && !this->ended)
        ::kill(this->pid, number);
}

void child_process::kill()
{
    if (this->pid <= 0 || this->ended)
        return;
    // A stopped process must go on before it can die.
    this->signal(SIGKILL);
    this->signal(SIGCONT);
    waitpid(this->pid, &this->status, 0);
    this->ended = true;
}

bool child_process::running()
{
    if (this->pid <= 0 || this->ended)
        return false;
    if (waitpid(this->pid, &this->status, WNOHANG) == this->pid)
        this->ended = true;
    return !this->ended;
}

int child_process::wait(std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds poll{10};
    auto end = std::chrono::steady_clock::now() + limit;
    while (this->running())
    {
        if (std::chrono::steady_clock::now() > end)
            return -1;
        std::this_thread::sleep_for(poll);
    }
    return WIFEXITED(this->status) ? WEXITSTATUS(this->status) : -1;
}

int child_process::stop(std::chrono::milliseconds limit)
{
    this->signal(SIGTERM);
    return this->wait(limit);
}

} // namespace amaranthhatch::fleet
