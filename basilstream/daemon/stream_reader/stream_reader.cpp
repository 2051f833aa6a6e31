#include "basilstream/daemon/stream_reader/stream_reader.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto max_read_records = std::uint32_t{1024};
constexpr auto long_poll = milliseconds{1000};
// Pause after a failed read.
constexpr auto backoff = milliseconds{200};

} // namespace

stream_reader::stream_reader(const context& base,
                             transport::log_connection& connection,
                             std::string stream, std::uint64_t from,
                             read_handler take)
    : base_{base},
      connection_{connection}, stream_{std::move(stream)}, from_{from},
      take_{std::move(take)}, self_{std::make_shared<stream_reader*>(this)} {}

auto stream_reader::tick() -> void {
    if (in_flight_ || base_.clock_.now() < not_before_) {
        return;
    }
    in_flight_ = true;
    connection_.read(
        stream_, from_, max_read_records, long_poll,
        [base = base_, self = std::weak_ptr<stream_reader*>{self_}](
            result<transport::log_read> read) {
            base.on_control([self, read = std::move(read)] {
                if (const auto alive = self.lock()) {
                    (*alive)->take_answer(read);
                }
            });
        });
}

auto stream_reader::take_answer(const result<transport::log_read>& read)
    -> void {
    in_flight_ = false;
    if (!read) {
        not_before_ = base_.clock_.now() + backoff;
    } else if (read->truncated_) {
        from_ = read->first_offset_;
    } else if (!read->records_.empty()) {
        from_ = read->records_.back().offset_ + 1;
    }
    // The handler may destroy this reader: nothing follows it.
    const auto take = take_;
    take(read);
}

} // namespace basilstream::daemon
