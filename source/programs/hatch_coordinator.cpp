#include "adapters/http_host_list.hpp"
#include "adapters/http_key_value_store.hpp"
#include "adapters/http_model_engine.hpp"
#include "coordinator/coordinator_node.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

using namespace amaranthhatch;

namespace
{

void run(settings::document& from, bool only_check)
{
    auto settings = coordinator::read_settings(from);
    if (only_check)
        return;
    logging::start("hatch-coordinator", settings.node.name);
    metrics::registry metrics(settings.metrics);
    adapters::http_key_value_store store(settings.store);
    adapters::http_host_list hosts(settings.hosts);
    adapters::http_model_engine engine;
    net::rpc_client peers;
    coordinator::coordinator_node node(settings, store, hosts, engine, metrics,
                                       peers);
    node.start();
    process::wait_for_stop();
    node.drain();
    logging::event(logging::level::info, "stopped");
    std::_Exit(0);
}

} // namespace

int main(int argument_count, char** arguments)
{
    return process::run_daemon(
        argument_count, arguments,
        {"hatch-coordinator",
         "Grants slots on endpoints, keeps request claims, and carries "
         "membership and configuration between nodes.",
         run});
}
