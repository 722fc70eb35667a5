#include "log_folder.hpp"

#include "batches/disk_log.hpp"

namespace amaranthhatch::tests
{

std::vector<std::string> log_folder::replay()
{
    std::vector<std::string> frames;
    batches::disk_log log(this->loop, this->path);
    log.replay([&](std::string_view frame) { frames.emplace_back(frame); });
    return frames;
}

void log_folder::store(const std::vector<std::string>& frames)
{
    batches::disk_log log(this->loop, this->path);
    log.replay([](std::string_view) {});
    bool stored = false;
    log.append(frames, [&] { stored = true; });
    while (!stored)
    {
        this->loop.restart();
        this->loop.poll();
    }
}

std::string log_folder::file(int number) const
{
    return this->path + "/log-0000000" + std::to_string(number);
}

std::string log_folder::identity_file() const
{
    return this->path + "/identity";
}

} // namespace amaranthhatch::tests
