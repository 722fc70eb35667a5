#include "routing/view_client.hpp"

#include <algorithm>
#include <utility>

#include "configuration/parse.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"
#include "settings/document.hpp"

namespace amaranthhatch::routing
{

namespace
{

namespace messages = core::messages;

using std::chrono::milliseconds;

constexpr milliseconds ask_interval{200};
constexpr milliseconds ask_limit{400};
constexpr milliseconds fetch_limit{1000};

} // namespace

std::vector<std::string> fleet_view::regions(std::string_view own) const
{
    std::vector<std::string> found{std::string(own)};
    for (const auto& one : this->members)
    {
        bool counts = one.process_role == messages::role::coordinator &&
                      one.state == messages::liveness::alive;
        bool listed =
            std::find(found.begin(), found.end(), one.region) != found.end();
        if (counts && !listed)
            found.push_back(one.region);
    }
    return found;
}

std::vector<messages::member> fleet_view::batch_hosts() const
{
    std::vector<messages::member> hosts;
    for (const auto& one : this->members)
    {
        bool counts = one.process_role == messages::role::batch &&
                      (one.state == messages::liveness::alive ||
                       one.state == messages::liveness::suspect);
        if (counts)
            hosts.push_back(one);
    }
    return hosts;
}

view_client::view_client(messages::member self,
                         std::vector<std::string> coordinators,
                         net::rpc_client& peers, metrics::registry& metrics)
    : self(std::move(self)), coordinators(std::move(coordinators)),
      peers(peers), metrics(metrics),
      published(std::make_shared<const fleet_view>())
{
}

view_client::~view_client()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

void view_client::start()
{
    this->thread = std::thread([this] { this->run(); });
}

std::shared_ptr<const fleet_view> view_client::now() const
{
    std::lock_guard lock(this->guard);
    return this->published;
}

void view_client::run()
{
    while (!this->stopping)
    {
        this->refresh();
        std::this_thread::sleep_for(ask_interval);
    }
}

void view_client::refresh()
{
    std::lock_guard lock(this->asking);
    for (std::size_t index = 0; index < this->coordinators.size(); ++index)
    {
        if (!this->ask(this->coordinators[index]))
        {
            this->metrics.count("hatch_view_asks_failed_total", "coordinator",
                                this->coordinators[index]);
            continue;
        }
        // The one that answered is asked first from now on.
        std::swap(this->coordinators[0], this->coordinators[index]);
        return;
    }
}

void view_client::leave()
{
    this->stopping = true;
    {
        std::lock_guard lock(this->asking);
        this->self.state = messages::liveness::left;
    }
    this->refresh();
}

bool view_client::ask(const std::string& address)
{
    messages::view_request request;
    request.sender = this->self;
    request.sender.revision = this->configuration.revision();
    request.cached_digest = address == this->digest_of ? this->digest : 0;
    auto answer = net::decode_answer<messages::view_answer>(
        this->peers.ask(address, net::encode(request), ask_limit));
    if (!answer)
        return false;
    bool changed = false;
    if (!answer->members.empty())
    {
        this->building.members = answer->members;
        this->digest = answer->digest;
        this->digest_of = address;
        this->refute(answer->members);
        changed = true;
    }
    if (answer->revision > this->configuration.revision())
    {
        this->fetch_configuration(address);
        changed = true;
    }
    if (changed)
        this->publish();
    return true;
}

void view_client::refute(std::span<const messages::member> told)
{
    for (const auto& one : told)
    {
        bool wrong = one.name == this->self.name &&
                     this->self.state == messages::liveness::alive &&
                     one.state != messages::liveness::alive &&
                     one.incarnation >= this->self.incarnation;
        if (wrong)
            this->self.incarnation = one.incarnation + 1;
    }
}

void view_client::fetch_configuration(const std::string& address)
{
    messages::configuration_request request{this->configuration.revision()};
    auto answer = net::decode_answer<messages::configuration_answer>(
        this->peers.ask(address, net::encode(request), fetch_limit));
    if (!answer || answer->text.empty())
        return;
    try
    {
        auto declared = configuration::parse_declarations(
            answer->text, "revision " + std::to_string(answer->revision));
        if (!this->configuration.adopt(answer->revision, answer->text))
            return;
        this->building.declared = std::move(declared);
        this->building.revision = answer->revision;
        logging::event(logging::level::info, "configuration_adopted")
            .with("revision", static_cast<std::int64_t>(answer->revision));
        this->metrics.set("hatch_configuration_revision",
                          static_cast<double>(answer->revision));
    }
    catch (const settings::settings_error& error)
    {
        // apply validates before it writes, so this is another version's text.
        logging::event(logging::level::error, "configuration_refused")
            .with("reason", error.what());
    }
}

void view_client::publish()
{
    auto made = std::make_shared<const fleet_view>(this->building);
    std::lock_guard lock(this->guard);
    this->published = std::move(made);
}

} // namespace amaranthhatch::routing
