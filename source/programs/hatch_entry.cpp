#include "adapters/http_key_value_store.hpp"
#include "adapters/http_model_engine.hpp"
#include "entry/entry_node.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

using namespace amaranthhatch;

namespace
{

void run(settings::document& from, bool only_check)
{
    auto settings = entry::read_settings(from);
    if (only_check)
        return;
    logging::start("hatch-entry", settings.node.name);
    metrics::registry metrics(settings.metrics);
    adapters::http_model_engine engine;
    adapters::http_key_value_store store(settings.store);
    net::rpc_client peers;
    entry::entry_node node(settings, engine, store, metrics, peers);
    node.start();
    process::wait_for_stop();
    bool whole = node.drain();
    std::_Exit(whole ? 0 : 1);
}

} // namespace

int main(int argument_count, char** arguments)
{
    return process::run_daemon(
        argument_count, arguments,
        {"hatch-entry",
         "Serves callers over HTTP: completions, plain services, files and "
         "batches.",
         run});
}
