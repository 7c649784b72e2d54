#include "gateway.hpp"

#include <oriole/helpers/event_loop.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform's store: the JSON gateway of etcd v3, in memory");
    std::string listen;
    oriole::standin::rate_limits limits;
    app.add_option("--listen", listen, "Address to listen on, IP:PORT")->required();
    app.add_option("--writes-per-second", limits.writesPerSecond, "Writes and lease calls taken per second");
    app.add_option("--reads-per-second", limits.readsPerSecond, "Reads taken per second");
    CLI11_PARSE(app, argc, argv);

    const auto address = oriole::parseEndpoint(listen);
    if (address.has_error()) {
        std::cerr << "--listen: " << address.error().reason << "\n";
        return 2;
    }

    try {
        oriole::event_loop loop;
        oriole::standin::gateway store(limits);
        oriole::http_server server(address.value(), {}, [&](const auto& call) { return store.handle(call); });
        loop.onStopSignal([&] { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "standin_store: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
