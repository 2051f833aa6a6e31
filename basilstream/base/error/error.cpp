#include "basilstream/base/error/error.hpp"

namespace basilstream {

auto error::to_string() const -> std::string {
    auto text = std::string{error_code_names.name_of(code_)};
    text += " at ";
    text += step_names.name_of(step_);
    if (!peer_.empty()) {
        text += " (" + peer_ + ")";
    }
    if (!detail_.empty()) {
        text += ": " + detail_;
    }
    return text;
}

auto http_status(error_code code) -> int {
    switch (code) {
    case error_code::invalid_argument:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::not_found:
        return 404;
    case error_code::timeout:
        return 408;
    case error_code::conflict:
    case error_code::duplicate_in_progress:
    case error_code::stale_epoch:
    case error_code::stale_generation:
        return 409;
    case error_code::answer_expired:
        return 410;
    case error_code::payload_too_large:
        return 413;
    case error_code::idempotency_mismatch:
    case error_code::quarantined:
        return 422;
    case error_code::overloaded:
        return 429;
    case error_code::cancelled:
        return 499;
    case error_code::internal:
        return 500;
    case error_code::outcome_unknown:
    case error_code::incomplete_answer:
    case error_code::crossed_answer:
    case error_code::backend_error:
        return 502;
    case error_code::deadline_unreachable:
    case error_code::unavailable:
    case error_code::not_ready:
    case error_code::capacity_exceeded:
        return 503;
    }
    return 500;
}

} // namespace basilstream
