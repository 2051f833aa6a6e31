#include "basilstream/daemon/stream_reader/stream_reader.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto max_read_records = std::uint32_t{1024};
constexpr auto long_poll_timeout = milliseconds{1000};
// Delay before the next read after a failed one.
constexpr auto retry_backoff = milliseconds{200};

} // namespace

stream_reader::stream_reader(const context& base,
                             transport::log_connection& connection,
                             std::string stream, std::uint64_t from,
                             read_handler handler)
    : base_{base}, connection_{connection}, stream_{std::move(stream)},
      from_{from}, handler_{std::move(handler)},
      self_{std::make_shared<stream_reader*>(this)} {}

auto stream_reader::tick() -> void {
    if (in_flight_ || base_.clock_.now() < next_read_) {
        return;
    }
    in_flight_ = true;
    connection_.read(
        stream_, from_, max_read_records, long_poll_timeout,
        [base = base_, self = std::weak_ptr<stream_reader*>{self_}](
            result<transport::log_read> read) {
            base.on_control([self, read = std::move(read)] {
                if (const auto alive = self.lock()) {
                    (*alive)->on_read_result(read);
                }
            });
        });
}

auto stream_reader::on_read_result(const result<transport::log_read>& read)
    -> void {
    in_flight_ = false;
    if (!read) {
        next_read_ = base_.clock_.now() + retry_backoff;
    } else if (read->truncated_) {
        from_ = read->first_offset_;
    } else if (!read->records_.empty()) {
        from_ = read->records_.back().offset_ + 1;
    }
    // The handler may destroy this reader, so no member may be used after it.
    const auto handler = handler_;
    handler(read);
}

} // namespace basilstream::daemon
