#include "worker_runtime.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    std::string listen;
    CLI::App app("Stand-in for the platform's worker runtime", "standin_runtime");
    app.add_option("--listen", listen, "IP:PORT")->required();
    CLI11_PARSE(app, argc, argv);

    const auto address = oriole::parseEndpoint(listen);
    if (!address) {
        std::cerr << "--listen: " << address.error().reason << '\n';
        return 2;
    }

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    standin::worker_runtime runtime;
    oriole::http_server server(
        address.value(), {}, [&](const oriole::http_call& call) { return runtime.handle(call); });
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    return 0;
}
