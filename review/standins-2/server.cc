// Stand-in of an application server: a process beside a node. Arguments are NAME=VALUE.
#include "net.h"

#include <signal.h>

#include <atomic>
#include <map>
#include <mutex>

using namespace review;

namespace {

std::map<std::string, std::string> options;
std::atomic<int> running{0};
std::atomic<bool> leaving{false};
std::atomic<bool> draining{false};
std::atomic<std::int64_t> sequence{0};

int number(const std::string& name)
{
    return std::atoi(options[name].c_str());
}

// A call to the control address of the own machine; returns the status, 0 without an answer.
int call(const std::string& method, const std::string& body)
{
    const int fd = connect_to(options["ip"], number("control"), 1000);
    if (fd < 0) {
        return 0;
    }
    message answer;
    std::string rest;
    const bool answered =
        send_all(fd, method + " /instances/" + options["id"] +
                         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body) &&
        read_message(fd, rest, answer, now_ms() + 1000);
    ::close(fd);
    return answered ? answer.status() : 0;
}

// A heartbeat with its number.
int beat(std::int64_t number)
{
    return call("PUT", "{\"service\":\"" + options["service"] + "\",\"address\":\"" + options["ip"] +
                      ":" + options["port"] + "\",\"zone\":\"" + options["zone"] +
                      "\",\"version\":\"" + options["version"] + "\",\"max-concurrency\":" + options["slots"] +
                      ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"warmup-left\":\"0ms\",\"sequence\":" +
                      std::to_string(number) + ",\"born\":" + options["born"] + "}");
}

bool caller_left(int fd)
{
    char next;
    return ::recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

int main(int argc, char** argv)
{
    options["version"] = "v1";
    options["born"] = std::to_string(unix_ms());
    for (int i = 1; i < argc; ++i) {
        const std::string item{argv[i]};
        const auto mark = item.find('=');
        options[item.substr(0, mark)] = item.substr(mark + 1);
    }
    ::signal(SIGPIPE, SIG_IGN);
    sigset_t blocked;
    ::sigemptyset(&blocked);
    ::sigaddset(&blocked, SIGUSR1);
    ::sigaddset(&blocked, SIGUSR2);
    ::pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    const record log{options["record"], std::atoll(options["origin"].c_str())};
    const int listener = listen_on(options["ip"], number("port"));
    if (listener < 0) {
        std::perror("server");
        return 2;
    }
    std::thread{[] {
        while (!leaving) {
            beat(++sequence);
            sleep_ms(1500);
        }
    }}.detach();
    // SIGUSR2: the server drains, and goes on serving. SIGUSR1: the server leaves. It says so with DELETE at once, serves for "stay" ms, and exits.
    // Its last heartbeat arrives "late" ms after it was sent.
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGUSR1);
    ::sigaddset(&signals, SIGUSR2);
    std::thread{[&log, signals] {
        int received{};
        ::sigwait(&signals, &received);
        if (received == SIGUSR2) {
            draining = true;
            log.write("server " + options["id"] + " says that it drains");
            beat(++sequence);
            return;
        }
        leaving = true;
        const auto last = ++sequence;
        const auto sent = now_ms();
        log.write("server " + options["id"] + " sends heartbeat " + std::to_string(last) +
                  ", which will arrive late, and then DELETE");
        const int status = call("DELETE", "");
        const auto acknowledged = now_ms();
        log.write("server " + options["id"] + " gets " + std::to_string(status) +
                  " for its DELETE");
        sleep_ms(sent + number("late") - now_ms());
        const int late = beat(last);
        log.write("server " + options["id"] + ": heartbeat " + std::to_string(last) +
                  " arrives, answer " + std::to_string(late));
        sleep_ms(acknowledged + number("stay") - now_ms());
        log.write("server " + options["id"] + " exits");
        std::_Exit(0);
    }}.detach();
    serve(listener, [&log](int fd, const message& request) {
        const auto id = request.header("Savorywheel-Request-Id");
        const auto path = request.word(1);
        const auto caller = request.header("Savorywheel-Caller-Service");
        const auto name = "Savorywheel-Request-Id: " + id + "\r\n";
        if (path == "/healthz") {
            return send_all(fd, make_response(leaving ? 503 : 200, "Savorywheel-Instance-Id: " + options["id"] +
                                                       "\r\n", ""));
        }
        if (id.empty()) {
            return send_all(fd, make_response(400, "Savorywheel-Not-Executed: 1\r\n", ""));
        }
        const auto expected = request.header("Savorywheel-Expected-Instance");
        if (!expected.empty() && expected != options["id"]) {
            return send_all(fd, make_response(421, name + "Savorywheel-Instance-Id: " +
                                                       options["id"] + "\r\n", ""));
        }
        if (running >= number("slots")) {
            return send_all(fd, make_response(503, name + "Savorywheel-Not-Executed: 1\r\n", ""));
        }
        ++running;
        const auto what = options["id"] + " request " + id + " " + request.word(0) + " " + path +
                          " body \"" + request.body + "\" of caller " + caller;
        if (!options["crash-path"].empty() && path == options["crash-path"] &&
            caller == options["crash-caller"]) {
            log.write("server CRASHES at " + what);
            ::kill(::getpid(), SIGKILL);
        }
        // "bad" of 100 requests to this version fail.
        const bool fails = static_cast<int>(std::hash<std::string>{}(id) % 100) < number("bad");
        log.write("server of " + options["version"] + " runs " + what + (fails ? ", it fails" : ""));
        const auto deadline = request.header("Savorywheel-Deadline-Ms");
        const auto start = now_ms();
        const auto work = number("work");
        const auto limit = deadline.empty() ? 60'000 : std::atoi(deadline.c_str());
        bool left = false;
        while (now_ms() - start < std::min(work, limit) && !left) {
            sleep_ms(5);
            left = caller_left(fd);
        }
        --running;
        if (left) {
            return false;
        }
        if (limit < work) {
            return send_all(fd, make_response(504, name + "Savorywheel-Server-Signature: s." + id +
                                                       "\r\n", ""));
        }
        return send_all(fd, make_response(fails ? 500 : 200, name + "Savorywheel-Server-Signature: s." + id +
                                                   "\r\nKeep-Alive: timeout=10\r\n",
                                          "answer to " + id + " of " + options["id"]));
    });
    return 0;
}
