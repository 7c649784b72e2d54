#include <oriole/api/result.hpp>

#include <utility>

namespace oriole {

failure notRun(failure_kind kind, std::string reason)
{
    return { kind, verdict::NotRun, std::move(reason) };
}

failure mayHaveRun(failure_kind kind, std::string reason)
{
    return { kind, verdict::MayHaveRun, std::move(reason) };
}

unsigned httpStatus(const failure& error)
{
    // 502 and 504 are the only refusals that may have run; every other status promises `not-run`.
    if (error.ran != verdict::NotRun)
        return error.kind == failure_kind::Timeout ? 504 : 502;

    switch (error.kind) {
    case failure_kind::InvalidInput:
        return 400;
    case failure_kind::NotFound:
        return 404;
    case failure_kind::Conflict:
        return 409;
    case failure_kind::TooLarge:
        return 413;
    case failure_kind::Impossible:
        return 422;
    case failure_kind::Overloaded:
        return 429;
    case failure_kind::Unavailable:
    case failure_kind::Broken:
    case failure_kind::Timeout:
        return 503;
    }
    return 503;
}

} // namespace oriole
