#include "adapters/http_key_value_store.hpp"
#include "adapters/http_model_engine.hpp"
#include "batch/batch_node.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

using namespace amaranthhatch;

namespace
{

void run(settings::document& from, bool only_check)
{
    auto settings = batch::read_settings(from);
    if (only_check)
        return;
    logging::start("hatch-batch", settings.node.name);
    metrics::registry metrics(settings.metrics);
    adapters::http_model_engine engine;
    adapters::http_key_value_store store(settings.store);
    net::rpc_client peers;
    batch::batch_node node(settings, engine, store, metrics, peers);
    node.start();
    process::wait_for_stop();
    node.drain();
    std::_Exit(0);
}

} // namespace

int main(int argument_count, char** arguments)
{
    return process::run_daemon(
        argument_count, arguments,
        {"hatch-batch",
         "Accepts batch jobs durably and runs their items on slots that "
         "online work may take back.",
         run});
}
