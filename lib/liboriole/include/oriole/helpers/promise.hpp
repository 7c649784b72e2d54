/// @file
/// @brief Bridges between callbacks and kj promises.
#pragma once

#include <kj/async.h>

#include <functional>
#include <memory>
#include <utility>

namespace oriole {

/// @brief A promise, and a callback that resolves it. The callback may be copied; the first call counts.
template <typename Value>
struct promise_callback {
    kj::Promise<Value> promise;
    std::function<void(Value)> resolve;
};

template <typename Value>
promise_callback<Value> makePromiseCallback()
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    return { kj::mv(pair.promise), [fulfiller](Value value) { (*fulfiller)->fulfill(std::move(value)); } };
}

} // namespace oriole
