/// @file
/// @brief The fault proxy as a program: forwards one address to another and takes faults from standard input.
#include "harness/fault_proxy.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>

#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace oriole;
    using namespace oriole::harness;

    CLI::App app("TCP proxy that injects faults. A line on standard input sets the fault:\n"
                 "none, drop, cut, freeze, half-open or lose-reply.");
    std::string listen;
    std::string target;
    link_state state;
    unsigned delayMs = 0;
    app.add_option("--listen", listen, "address to listen on, IP:PORT")->required();
    app.add_option("--target", target, "address to forward to, IP:PORT")->required();
    app.add_option("--delay-ms", delayMs, "one-way delay");
    app.add_option("--bytes-per-second", state.bytesPerSecond, "limit of each direction");
    CLI11_PARSE(app, argc, argv);

    const auto from = parseEndpoint(listen);
    const auto to = parseEndpoint(target);
    if (!from || !to) {
        std::cerr << "--listen and --target have to be IP:PORT\n";
        return 2;
    }
    fault_proxy proxy(from.value(), to.value());
    state.delay = std::chrono::milliseconds(delayMs);
    proxy.set(state);
    for (std::string line; std::getline(std::cin, line);) {
        const auto fault = parseLinkFault(line);
        if (!fault) {
            std::cerr << "unknown fault '" << line << "'\n";
            continue;
        }
        state.fault = *fault;
        proxy.set(state);
    }
    // Without input it goes on forwarding until a signal ends it.
    ::pause();
    return 0;
}
