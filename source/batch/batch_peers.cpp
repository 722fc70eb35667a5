#include "batch/batch_peers.hpp"

#include <algorithm>

#include "control/control_loop.hpp"
#include "core/members/rendezvous.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

using core::milliseconds;
using verdict = messages::append_answer::verdict;

// The members' own protocol has judged by then; this only bridges a host's
// move from one coordinator to another.
constexpr milliseconds gone_limit{1000};

// A host that has just started doesn't know the others yet.
constexpr milliseconds learning_time{4000};

constexpr milliseconds append_limit{4000};
constexpr milliseconds file_limit{10'000};
constexpr std::size_t part_bytes = 4u << 20;

} // namespace

batch_peers::batch_peers(messages::member self, routing::view_client& view,
                         net::rpc_client& peers)
    : own(std::move(self)), view(view), peers(peers),
      started(control::monotonic_now())
{
}

std::vector<messages::member> batch_peers::others() const
{
    auto hosts = this->view.now()->batch_hosts();
    std::erase_if(hosts, [this](const auto& one)
                  { return one.name == this->own.name; });
    return hosts;
}

void batch_peers::look()
{
    auto now = control::monotonic_now();
    std::lock_guard lock(this->guard);
    for (const auto& one : this->others())
        this->seen_alive[one.name] = now;
}

bool batch_peers::is_alive(std::string_view host) const
{
    if (host == this->own.name)
        return true;
    auto now = control::monotonic_now();
    if (now < this->started + learning_time)
        return true;
    std::lock_guard lock(this->guard);
    auto found = this->seen_alive.find(host);
    return found != this->seen_alive.end() && now - found->second < gone_limit;
}

std::optional<messages::member> batch_peers::find(std::string_view host) const
{
    for (const auto& one : this->others())
    {
        if (one.name == host)
            return one;
    }
    return std::nullopt;
}

std::vector<messages::member>
batch_peers::second_hosts(std::string_view job,
                          const std::vector<std::string>& preferred) const
{
    auto hosts = this->others();
    std::erase_if(hosts, [this](const auto& one)
                  { return one.zone == this->own.zone; });
    auto ordered = core::members::rendezvous_order(job, hosts);
    // The link between regions is narrow and paid for, so a copy crosses it
    // only where this region has no other zone left.
    std::stable_partition(ordered.begin(), ordered.end(),
                          [this](const auto& one)
                          { return one.region == this->own.region; });
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const auto& one)
                          {
                              return std::find(preferred.begin(),
                                               preferred.end(),
                                               one.name) != preferred.end();
                          });
    return ordered;
}

verdict batch_peers::replicate(const journal_file& from, const std::string& job,
                               std::uint64_t epoch, std::uint64_t position,
                               const std::string& address)
{
    while (true)
    {
        messages::journal_append request;
        request.job = job;
        request.epoch = epoch;
        request.position = position;
        request.committed = from.committed();
        request.records = from.read(position, from.length(), part_bytes);
        auto answer = net::decode_answer<messages::append_answer>(
            this->peers.ask(address, net::encode(request), append_limit));
        if (!answer)
            return verdict::failed;
        if (answer->result == verdict::behind && answer->length < position)
        {
            position = answer->length;
            continue;
        }
        if (answer->result != verdict::stored)
            return answer->result;
        position += request.records.size();
        if (position >= from.length())
            return verdict::stored;
    }
}

fetch_result batch_peers::fetch(journal_file& into, const std::string& job,
                                std::uint64_t epoch, const std::string& address)
{
    messages::journal_seal request{job, epoch, 0};
    while (true)
    {
        auto answer = net::decode_answer<messages::seal_answer>(
            this->peers.ask(address, net::encode(request), append_limit));
        if (answer && !answer->found)
            return fetch_result::absent;
        if (!answer || answer->refused)
            return fetch_result::failed;
        messages::journal_append part;
        part.job = job;
        part.epoch = epoch;
        part.position = request.position;
        part.records = answer->records;
        if (into.append(part).result != verdict::stored)
            return fetch_result::failed;
        request.position = answer->next;
        if (answer->last)
            return fetch_result::fetched;
    }
}

bool batch_peers::put_file_copy(const messages::file_put& file,
                                const std::string& address)
{
    auto answer = net::decode_answer<messages::stored_answer>(
        this->peers.ask(address, net::encode(file), file_limit));
    return answer && answer->stored;
}

std::optional<std::string> batch_peers::get_file(const std::string& file)
{
    for (const auto& host :
         core::members::rendezvous_order(file, this->others()))
    {
        auto answer = net::decode_answer<messages::file_answer>(this->peers.ask(
            host.address, net::encode(messages::file_get{file}), file_limit));
        if (answer && answer->found)
            return answer->content;
    }
    return std::nullopt;
}

} // namespace amaranthhatch::batch
