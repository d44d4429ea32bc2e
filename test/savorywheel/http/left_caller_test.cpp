#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/http/async_http_server.hpp>
#include <savorywheel/io/io_loop.hpp>

#include <gtest/gtest.h>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <unistd.h>

#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

/** Records the targets of the requests that were started, and responds to each. */
class started_requests final : public async_http_handler {
public:
    void start(http_request request, const std::shared_ptr<cancellation>& /*cancel_signal*/,
               responder respond) override
    {
        {
            const std::scoped_lock lock{mutex_};
            targets_.push_back(request.target);
        }
        respond({200, {}, "ok"});
    }

    [[nodiscard]] std::vector<std::string> targets() const
    {
        const std::scoped_lock lock{mutex_};
        return targets_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::string> targets_;
};

std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/** Occupies the thread of a loop while it exists. */
class busy_loop_thread {
public:
    explicit busy_loop_thread(io_loop& loop)
    {
        auto busy = std::make_shared<std::promise<void>>();
        auto is_busy = busy->get_future();
        loop.post([busy, released = release_.get_future().share()] {
            busy->set_value();
            released.wait();
        });
        is_busy.wait();
    }
    busy_loop_thread(const busy_loop_thread&) = delete;
    busy_loop_thread& operator=(const busy_loop_thread&) = delete;
    busy_loop_thread(busy_loop_thread&&) = delete;
    busy_loop_thread& operator=(busy_loop_thread&&) = delete;
    ~busy_loop_thread() { release_.set_value(); }

private:
    std::promise<void> release_;
};

struct left_caller : testing::Test {
    left_caller()
    {
        ::close(listen_on_loopback(endpoint));
        loop.start("test");
        EXPECT_TRUE(server.start(endpoint));
    }
    left_caller(const left_caller&) = delete;
    left_caller& operator=(const left_caller&) = delete;
    left_caller(left_caller&&) = delete;
    left_caller& operator=(left_caller&&) = delete;
    ~left_caller() override
    {
        server.stop();
        loop.stop();
    }

    system_clock_source time;
    io_loop loop{time};
    started_requests handler;
    async_http_server server{handler, loop, {}, nullptr};
    network_endpoint endpoint;
};

} // namespace

TEST_F(left_caller, request_read_after_its_caller_has_left_is_not_started)
{
    std::optional<raw_http_connection> kept{std::in_place, endpoint};
    ASSERT_TRUE(kept->send(get("/kept")));
    ASSERT_EQ(kept->read_status(), 200);
    {
        const busy_loop_thread busy{loop};
        ASSERT_TRUE(kept->send(get("/left-kept")));
        kept.reset();
        const raw_http_connection fresh{endpoint};
        ASSERT_TRUE(fresh.send(get("/left-new")));
    }
    raw_http_connection later{endpoint};
    ASSERT_TRUE(later.send(get("/later")));
    ASSERT_EQ(later.read_status(), 200);
    EXPECT_EQ(handler.targets(), (std::vector<std::string>{"/kept", "/later"}));
}

} // namespace savorywheel::test
