#include "basilstream/transport/reactor/reactor.hpp"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <ctime>
#include <thread>
#include <unordered_map>
#include <utility>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Reactor.h>
#include <ace/Task.h>
#include <ace/Timer_Heap.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include "basilstream/transport/bounded_ring/bounded_ring.hpp"

namespace basilstream::transport {
namespace {

// File descriptors one reactor can watch, unless the process may open fewer:
// ACE refuses to open a reactor for more than those.
constexpr auto max_handles = rlim_t{8192};

// Time of ACE's timers. By default they follow the time of day: after a step
// back by an hour, no timer is due for an hour.
class steady_time_policy {
public:
    auto operator()() const -> ACE_Time_Value {
        auto now = timespec{};
        ::clock_gettime(CLOCK_MONOTONIC, &now);
        return ACE_Time_Value{now};
    }
    // Required by ACE; the source of time is fixed.
    auto set_gettimeofday(ACE_Time_Value (* /*source*/)()) -> void {}
};

using steady_timer_heap =
    ACE_Timer_Heap_T<ACE_Event_Handler*,
                     ACE_Event_Handler_Handle_Timeout_Upcall,
                     ACE_SYNCH_RECURSIVE_MUTEX, steady_time_policy>;

// Rounds the wait for the next timer up to whole milliseconds. The reactor
// hands its wait to epoll in whole milliseconds and would round it down, so
// that it polls without a pause for the last part of each wait.
class rounding_timer_heap final : public steady_timer_heap {
public:
    auto calculate_timeout(ACE_Time_Value* longest)
        -> ACE_Time_Value* override {
        return round_up(steady_timer_heap::calculate_timeout(longest));
    }

    auto calculate_timeout(ACE_Time_Value* longest, ACE_Time_Value* buffer)
        -> ACE_Time_Value* override {
        return round_up(steady_timer_heap::calculate_timeout(longest, buffer));
    }

private:
    auto round_up(ACE_Time_Value* wait) -> ACE_Time_Value* {
        constexpr auto tick = suseconds_t{1000};
        if (wait == nullptr || wait->usec() % tick == 0) {
            return wait;
        }
        rounded_ = *wait;
        rounded_ += ACE_Time_Value{0, tick - wait->usec() % tick};
        return &rounded_;
    }

    ACE_Time_Value rounded_;
};

// Runs a work item at each expiry of its timer.
class timer_handler final : public ACE_Event_Handler {
public:
    timer_handler(work_item work, bool repeats,
                  std::unordered_map<const timer_handler*,
                                     std::shared_ptr<timer_handler>>& owner)
        : work_{std::move(work)}, repeats_{repeats}, owner_{owner} {}

    auto handle_timeout(const ACE_Time_Value& /*now*/, const void* /*argument*/)
        -> int override {
        work_();
        if (!repeats_) {
            release();
        }
        return 0;
    }

private:
    // Destroys this object: nothing may follow.
    auto release() -> void { const auto self = owner_.extract(this); }

    work_item work_;
    bool repeats_;
    std::unordered_map<const timer_handler*, std::shared_ptr<timer_handler>>&
        owner_;
};

} // namespace

auto handle_limit() -> std::size_t {
    auto limit = rlimit{};
    const auto known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return known ? std::min(limit.rlim_cur, max_handles) : max_handles;
}

class reactor_thread::implementation final : public ACE_Task_Base {
public:
    implementation(std::string name, std::size_t ring_capacity)
        : name_{std::move(name)}, ring_{ring_capacity}, poll_{handle_limit(),
                                                              true, nullptr,
                                                              &timers_by_time_},
          reactor_{&poll_}, wake_{*this} {
        wake_.descriptor_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        reactor_.register_handler(wake_.descriptor_, &wake_,
                                  ACE_Event_Handler::READ_MASK);
    }

    ~implementation() override {
        reactor_.remove_handler(wake_.descriptor_,
                                ACE_Event_Handler::READ_MASK |
                                    ACE_Event_Handler::DONT_CALL);
        drop_pending();
        // Tells handlers that are still registered, while all members exist.
        reactor_.close();
        ::close(wake_.descriptor_);
    }

    auto svc() -> int override {
        ::pthread_setname_np(::pthread_self(), name_.substr(0, 15).c_str());
        thread_id_.store(std::this_thread::get_id());
        reactor_.owner(ACE_OS::thr_self());
        while (!stopping_.load()) {
            reactor_.handle_events();
        }
        run_posted();
        return 0;
    }

    auto post(work_item&& work) -> bool {
        if (stopping_.load() || !ring_.try_push(std::move(work))) {
            return false;
        }
        wake();
        return true;
    }

    auto add_timer(milliseconds delay, bool repeats, work_item work) -> void {
        if (stopping_.load()) {
            return;
        }
        auto handler =
            std::make_shared<timer_handler>(std::move(work), repeats, timers_);
        auto value = ACE_Time_Value{};
        value.msec(static_cast<long>(delay.count()));
        timers_.emplace(handler.get(), handler);
        reactor_.schedule_timer(handler.get(), nullptr, value,
                                repeats ? value : ACE_Time_Value::zero);
    }

    // Destroys pending work, which may own registered handlers.
    auto drop_pending() -> void {
        const auto timers = std::exchange(timers_, {});
        for (const auto& [key, timer] : timers) {
            reactor_.cancel_timer(timer.get());
        }
        ring_.drain([](work_item&& /*work*/) {});
    }

    auto wake() -> void {
        if (!signalled_.exchange(true)) {
            const auto one = std::uint64_t{1};
            [[maybe_unused]] const auto written =
                ::write(wake_.descriptor_, &one, sizeof one);
        }
    }

    auto run_posted() -> void {
        signalled_.store(false);
        ring_.drain([](work_item&& work) { work(); });
    }

    struct wake_handler final : ACE_Event_Handler {
        explicit wake_handler(implementation& owner) : owner_{owner} {}
        auto handle_input(ACE_HANDLE handle) -> int override {
            auto count = std::uint64_t{0};
            [[maybe_unused]] const auto bytes =
                ::read(handle, &count, sizeof count);
            owner_.run_posted();
            return 0;
        }
        implementation& owner_;
        int descriptor_ = -1;
    };

    std::string name_;
    bounded_ring<work_item> ring_;
    rounding_timer_heap timers_by_time_;
    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor reactor_;
    wake_handler wake_;
    std::unordered_map<const timer_handler*, std::shared_ptr<timer_handler>>
        timers_;
    std::atomic<bool> signalled_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<std::thread::id> thread_id_{};
    bool started_ = false;
};

reactor_thread::reactor_thread(std::string name, std::size_t ring_capacity)
    : implementation_{
          std::make_unique<implementation>(std::move(name), ring_capacity)} {}

reactor_thread::~reactor_thread() {
    stop();
}

auto reactor_thread::start() -> void {
    implementation_->started_ = true;
    implementation_->activate();
}

auto reactor_thread::stop() -> void {
    implementation_->stopping_.store(true);
    implementation_->signalled_.store(false);
    implementation_->wake();
    if (std::exchange(implementation_->started_, false)) {
        implementation_->wait();
    }
    implementation_->drop_pending();
}

auto reactor_thread::post(work_item work) -> bool {
    return implementation_->post(std::move(work));
}

auto reactor_thread::post_wait(work_item work) -> bool {
    // A refused push moves nothing.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!implementation_->post(std::move(work))) {
        if (implementation_->stopping_.load()) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

auto reactor_thread::every(milliseconds period, work_item work) -> void {
    implementation_->add_timer(period, true, std::move(work));
}

auto reactor_thread::after(milliseconds delay, work_item work) -> void {
    implementation_->add_timer(delay, false, std::move(work));
}

auto reactor_thread::reactor() -> ACE_Reactor& {
    return implementation_->reactor_;
}

auto reactor_thread::on_thread() const -> bool {
    return implementation_->thread_id_.load() == std::this_thread::get_id();
}

} // namespace basilstream::transport
