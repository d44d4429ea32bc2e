// Stand-ins for the review's scripts: the platform's store, servers, clients and a proxy, and the
// means to start, kill and restart nodes of the deploy file. Loopback only, real clock.
#ifndef REVIEW_STANDIN_MESH_H
#define REVIEW_STANDIN_MESH_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point epoch = steady::now();

/** Milliseconds since the start of the script. */
inline long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - epoch).count();
}

inline void sleep_ms(long ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{ms});
    }
}

inline void sleep_until_ms(long at)
{
    sleep_ms(at - now_ms());
}

/** Writes record.txt. */
class recorder {
public:
    void open(const std::string& path) { file_.open(path, std::ios::trunc); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list values;
        va_start(values, format);
        std::vsnprintf(text, sizeof text, format, values);
        va_end(values);
        const std::scoped_lock lock{mutex_};
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", now_ms() / 1000.0);
        file_ << time << text << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline recorder record;

// ---------------------------------------------------------------------------------------- HTTP

struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream in{start};
        std::string text;
        for (int i = 0; i <= index; ++i) {
            text.clear();
            in >> text;
        }
        return text;
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

inline bool fill(int fd, std::string& buffer, long deadline)
{
    pollfd item{fd, POLLIN, 0};
    const auto left = deadline - now_ms();
    if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const auto got = recv(fd, bytes, sizeof bytes, 0);
    if (got <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
}

/** Reads one message with a length or in chunks; the rest stays in the buffer. */
inline std::optional<message> read_message(int fd, std::string& buffer, long deadline)
{
    std::size_t end{};
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(fd, buffer, deadline)) {
            return std::nullopt;
        }
    }
    message result;
    std::istringstream lines{buffer.substr(0, end)};
    buffer.erase(0, end + 4);
    std::string text;
    std::getline(lines, result.start);
    while (!result.start.empty() && result.start.back() == '\r') {
        result.start.pop_back();
    }
    while (std::getline(lines, text)) {
        while (!text.empty() && text.back() == '\r') {
            text.pop_back();
        }
        const auto colon = text.find(':');
        if (colon != std::string::npos) {
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.headers.emplace_back(text.substr(0, colon), value);
        }
    }
    if (result.header("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t line{};
            while ((line = buffer.find("\r\n")) == std::string::npos) {
                if (!fill(fd, buffer, deadline)) {
                    return std::nullopt;
                }
            }
            const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line + 2 + size + 2) {
                if (!fill(fd, buffer, deadline)) {
                    return std::nullopt;
                }
            }
            result.body += buffer.substr(line + 2, size);
            buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return result;
            }
        }
    }
    const auto length = static_cast<std::size_t>(std::atol(result.header("Content-Length").c_str()));
    while (buffer.size() < length) {
        if (!fill(fd, buffer, deadline)) {
            return std::nullopt;
        }
    }
    result.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return result;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto done = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (done <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

inline std::string format_message(const message& item)
{
    std::string text = item.start + "\r\n";
    for (const auto& [name, value] : item.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(item.body.size()) + "\r\n\r\n" + item.body;
}

struct endpoint {
    std::string ip;
    int port{};
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in address_of(const endpoint& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(target.port));
    inet_pton(AF_INET, target.ip.c_str(), &address.sin_addr);
    return address;
}

/** A connection to the target; -1 if it is refused or takes longer than a second. */
inline int dial(const endpoint& target)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto address = address_of(target);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/** Sends one request on a new connection; nothing if no whole answer comes in time. */
inline std::optional<message> call(const endpoint& target, const message& request, long timeout_ms)
{
    const int fd = dial(target);
    if (fd < 0) {
        return std::nullopt;
    }
    std::optional<message> answer;
    if (send_all(fd, format_message(request))) {
        std::string buffer;
        answer = read_message(fd, buffer, now_ms() + timeout_ms);
    }
    close(fd);
    return answer;
}

/** HTTP server with a thread for each connection. */
class http_server {
public:
    using handler = std::function<std::optional<message>(const message&)>;

    http_server(const endpoint& local, handler handle) : handle_{std::move(handle)}
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = address_of(local);
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            listen(fd_, 256) != 0) {
            std::cerr << "cannot listen on " << local.text() << '\n';
            std::exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

private:
    void accept_all()
    {
        while (true) {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread{[this, fd] { serve(fd); }}.detach();
            }
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        while (const auto request = read_message(fd, buffer, now_ms() + 60'000)) {
            const auto answer = handle_(*request);
            if (!answer || !send_all(fd, format_message(*answer))) {
                break;
            }
        }
        close(fd);
    }

    int fd_{};
    handler handle_;
};

// --------------------------------------------------------------------------------------- store

/** The platform's metadata store, as PROTOCOL.md tells it. */
class object_store {
public:
    explicit object_store(const endpoint& local)
        : server_{local, [this](const message& request) { return handle(request); }}
    {
    }

    /** The operator's write; returns when the store has acknowledged it, in ms. */
    long put_spec(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::scoped_lock lock{mutex_};
        auto& item = objects_[kind][name];
        if (item.is_null()) {
            item = make(name, spec);
        }
        item["spec"] = spec;
        change(kind, name);
        return now_ms();
    }

    /** A text field of an object's status; empty if there is none. */
    std::string status_field(const std::string& kind, const std::string& name,
                             const std::string& field)
    {
        const std::scoped_lock lock{mutex_};
        const auto& status = objects_[kind][name]["status"];
        return status.is_object() ? status.value(field, "") : "";
    }

private:
    struct event {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool deleted;
    };

    json make(const std::string& name, const json& spec)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", 0},
                  {"create-rev", revision_ + 1},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", spec},
                {"status", nullptr}};
    }

    void change(const std::string& kind, const std::string& name, bool deleted = false)
    {
        auto& item = objects_[kind][name];
        item["metadata"]["revision"] = ++revision_;
        history_.push_back({revision_, kind, item, deleted});
        if (deleted) {
            objects_[kind].erase(name);
        }
        changed_.notify_all();
    }

    static message answer(int status, const json& body)
    {
        return {"HTTP/1.1 " + std::to_string(status) + " Answer",
                {{"Content-Type", "application/json"}},
                body.dump()};
    }

    static std::string query_of(const std::string& target, const std::string& key)
    {
        const auto start = target.find('?');
        std::istringstream parts{start == std::string::npos ? "" : target.substr(start + 1)};
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.starts_with(key + "=")) {
                return part.substr(key.size() + 1);
            }
        }
        return {};
    }

    std::optional<message> handle(const message& request)
    {
        sleep_ms(4);
        const auto method = request.word(0);
        const auto target = request.word(1);
        std::vector<std::string> path;
        std::istringstream parts{target.substr(0, target.find('?'))};
        std::string part;
        while (std::getline(parts, part, '/')) {
            if (!part.empty()) {
                path.push_back(part);
            }
        }
        if (path.size() < 2 || path[0] != "objects") {
            return answer(404, json::object());
        }
        std::unique_lock lock{mutex_};
        if (method == "GET" && path.size() == 2 && !query_of(target, "watch").empty()) {
            return watch(lock, path[1], std::stoull(query_of(target, "watch")),
                         std::stol(query_of(target, "wait-ms")));
        }
        if (method == "GET" && path.size() == 2) {
            json items = json::array();
            for (const auto& [name, item] : objects_[path[1]]) {
                if (name > query_of(target, "after")) {
                    items.push_back(item);
                }
            }
            return answer(200, {{"items", items}, {"more", false}, {"at", revision_}});
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (method == "POST") {
            const std::string name = body["metadata"]["name"];
            if (objects_[path[1]].contains(name)) {
                return answer(409, objects_[path[1]][name]);
            }
            objects_[path[1]][name] = make(name, body["spec"]);
            change(path[1], name);
            return answer(201, objects_[path[1]][name]);
        }
        if (path.size() < 3 || !objects_[path[1]].contains(path[2])) {
            return answer(404, json::object());
        }
        auto& item = objects_[path[1]][path[2]];
        if (method == "GET") {
            return answer(200, item);
        }
        auto expected = query_of(target, "revision");
        if (body.is_object() && body.contains("metadata") &&
            body["metadata"].contains("revision")) {
            expected = body["metadata"]["revision"].dump();
        }
        if (!expected.empty() && expected != item["metadata"]["revision"].dump()) {
            return answer(409, item);
        }
        if (method == "DELETE") {
            const auto copy = item;
            change(path[1], path[2], true);
            return answer(200, copy);
        }
        const std::string member = path.size() > 3 ? "status" : "spec";
        if (item[member] != body[member]) {
            item[member] = body[member];
            change(path[1], path[2]);
        }
        return answer(200, item);
    }

    message watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after,
                  long wait_ms)
    {
        const auto found = [&] {
            json events = json::array();
            for (const auto& item : history_) {
                if (item.revision > after && item.kind == kind) {
                    events.push_back({{"object", item.object}, {"deleted", item.deleted}});
                }
            }
            return events;
        };
        json events;
        changed_.wait_for(lock, std::chrono::milliseconds{wait_ms}, [&] {
            events = found();
            return !events.empty();
        });
        return answer(200, {{"events", events}, {"at", revision_}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{10};
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<event> history_;
    http_server server_;
};

// --------------------------------------------------------------------------------------- proxy

/** TCP proxy; silence() stops all bytes on the connections that are open, and keeps them open. */
class tcp_proxy {
public:
    tcp_proxy(const endpoint& local, endpoint target) : target_{std::move(target)}
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = address_of(local);
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            listen(fd_, 256) != 0) {
            std::cerr << "cannot listen on " << local.text() << '\n';
            std::exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

    /** Returns the number of connections that have gone silent. */
    int silence()
    {
        const std::scoped_lock lock{mutex_};
        int count = 0;
        for (const auto& item : links_) {
            if (!item->closed) {
                item->silent = true;
                ++count;
            }
        }
        return count;
    }

private:
    struct link {
        int client;
        int server;
        std::atomic<bool> silent{};
        std::atomic<bool> closed{};
    };

    void accept_all()
    {
        while (true) {
            const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) {
                continue;
            }
            const int server = dial(target_);
            if (server < 0) {
                close(client);
                continue;
            }
            const auto item = std::make_shared<link>();
            item->client = client;
            item->server = server;
            {
                const std::scoped_lock lock{mutex_};
                links_.push_back(item);
            }
            std::thread{[item] { pump(item); }}.detach();
        }
    }

    static void pump(const std::shared_ptr<link>& item)
    {
        std::array<pollfd, 2> both{{{item->client, POLLIN, 0}, {item->server, POLLIN, 0}}};
        bool open = true;
        while (open) {
            poll(both.data(), both.size(), -1);
            for (int i = 0; i < 2 && open; ++i) {
                if (both[static_cast<std::size_t>(i)].revents == 0) {
                    continue;
                }
                char bytes[16384];
                const auto got = recv(both[static_cast<std::size_t>(i)].fd, bytes, sizeof bytes, 0);
                if (got <= 0) {
                    open = false;
                }
                else if (!item->silent) {
                    open = send_all(both[static_cast<std::size_t>(1 - i)].fd,
                                    std::string(bytes, static_cast<std::size_t>(got)));
                }
            }
        }
        item->closed = true;
        close(item->client);
        close(item->server);
    }

    endpoint target_;
    int fd_{};
    std::mutex mutex_;
    std::vector<std::shared_ptr<link>> links_;
};

// --------------------------------------------------------------------------------------- nodes

/** A node of the deploy file; run from the repository's root. */
class node_process {
public:
    node_process(std::string name, std::string ip, std::string zone, std::string service,
                 endpoint store, std::string folder)
        : name_{std::move(name)}, ip_{std::move(ip)}, zone_{std::move(zone)},
          service_{std::move(service)}, store_{std::move(store)}, folder_{std::move(folder)}
    {
    }

    [[nodiscard]] endpoint outbound() const { return {ip_, 8629}; }
    [[nodiscard]] endpoint ready() const { return {ip_, 8625}; }
    [[nodiscard]] endpoint control() const { return {ip_, 8620}; }
    [[nodiscard]] endpoint app() const { return {ip_, 8628}; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }

    void start()
    {
        const auto path = folder_ + "/" + name_ + ".yaml";
        std::ofstream{path} << settings();
        const auto log = folder_ + "/" + name_ + ".log";
        const auto variable = "SAVORYWHEEL_CONFIG=" + path;
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            std::string path_variable = "PATH=/usr/bin:/bin";
            char* const arguments[] = {const_cast<char*>(program), nullptr};
            char* const variables[] = {const_cast<char*>(variable.c_str()), path_variable.data(),
                                       nullptr};
            execve(program, arguments, variables);
            _exit(127);
        }
        record.line("node %s started", name_.c_str());
    }

    void signal_with(int number)
    {
        record.line("node %s gets signal %d", name_.c_str(), number);
        kill(pid_, number);
    }

    /** Waits for the end of the process. */
    void join()
    {
        if (pid_ > 0) {
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    ~node_process()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            join();
        }
    }

    [[nodiscard]] bool is_ready() const
    {
        const auto answer = call(ready(), {"GET /readyz HTTP/1.1", {{"Host", ip_}}, {}}, 500);
        return answer && answer->status() == 200;
    }

private:
    static constexpr const char* program = "target/bin/savorywheel-platform-node";

    /** Fills in the template of the deploy file. */
    [[nodiscard]] std::string settings() const
    {
        std::ifstream file{"deploy/node.yaml.template"};
        std::stringstream all;
        all << file.rdbuf();
        auto text = all.str();
        const std::map<std::string, std::string> values{
            {"node-name", name_},
            {"zone", zone_},
            {"region", "region-" + zone_.substr(0, zone_.find('-'))},
            {"listen.outbound", outbound().text()},
            {"listen.control", control().text()},
            {"listen.ready", ready().text()},
            {"ip", ip_},
            {"internal-ports.0", "7600"},
            {"internal-ports.1", "7615"},
            {"service", service_},
            {"platform.address", store_.text()},
            {"bounds.budget-slack", "64"}};
        for (const auto& [key, value] : values) {
            const auto placeholder = "{{" + key + "}}";
            for (auto at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder)) {
                text.replace(at, placeholder.size(), value);
            }
        }
        if (text.find("{{") != std::string::npos) {
            std::cerr << "the template has an unknown placeholder\n";
            std::exit(2);
        }
        return text;
    }

    std::string name_;
    std::string ip_;
    std::string zone_;
    std::string service_;
    endpoint store_;
    std::string folder_;
    pid_t pid_{};
};

// ------------------------------------------------------------------------------------- servers

struct run_of_request {
    long at;
    std::string id;
    std::string server;
    std::string service;
    std::string version;
    std::string caller;
    std::string path;
    bool good{};
};

/** All runs, as the servers have seen them. */
class run_log {
public:
    void add(run_of_request item)
    {
        record.line("request %s (%s) runs at %s of %s %s, caller service %s%s", item.id.c_str(),
                    item.path.c_str(), item.server.c_str(), item.service.c_str(),
                    item.version.c_str(), item.caller.c_str(), item.good ? "" : ", fails");
        const std::scoped_lock lock{mutex_};
        runs_.push_back(std::move(item));
    }
    [[nodiscard]] std::vector<run_of_request> all()
    {
        const std::scoped_lock lock{mutex_};
        return runs_;
    }

private:
    std::mutex mutex_;
    std::vector<run_of_request> runs_;
};

/** An application server beside a node. */
class app_server {
public:
    app_server(const node_process& node, std::string id, run_log& runs,
               std::string version = "v1", int fail_percent = 0, long work_ms = 20)
        : id_{std::move(id)}, service_{node.service()}, version_{std::move(version)},
          zone_{node.zone()}, local_{node.app()}, control_{node.control()}, runs_{runs},
          fail_percent_{fail_percent}, work_ms_{work_ms},
          server_{local_, [this](const message& request) { return handle(request); }}
    {
        std::thread{[this] { announce(); }}.detach();
    }

    [[nodiscard]] const std::string& id() const { return id_; }

    /** When the last run ended, in ms; 0 if none has. */
    [[nodiscard]] long last_end() const { return last_end_; }

    /** A heartbeat of the present moment. */
    [[nodiscard]] message beat(const std::string& state)
    {
        const json body{{"service", service_},   {"address", local_.text()},
                        {"zone", zone_},         {"version", version_},
                        {"max-concurrency", 12}, {"state", state},
                        {"warmup-left", "0ms"},  {"sequence", ++sequence_},
                        {"born", born_}};
        return {"PUT /instances/" + id_ + " HTTP/1.1",
                {{"Host", control_.text()}, {"Content-Type", "application/json"}},
                body.dump()};
    }

    [[nodiscard]] const endpoint& control() const { return control_; }

    void stop_beats() { beating_ = false; }

    /** From now on the heartbeats say that the server leaves; the first is sent at once. */
    void drain()
    {
        draining_ = true;
        static_cast<void>(call(control_, beat("draining"), 1000));
        record.line("server %s says that it is draining", id_.c_str());
    }

    /** DELETE /instances/ID; returns true if it is acknowledged within a second. */
    bool leave()
    {
        const auto answer = call(
            control_, {"DELETE /instances/" + id_ + " HTTP/1.1", {{"Host", control_.text()}}, {}},
            1000);
        const bool acknowledged = answer && answer->status() == 200;
        record.line("server %s says DELETE /instances/%s: %s", id_.c_str(), id_.c_str(),
                    acknowledged ? "acknowledged" : "not acknowledged");
        return acknowledged;
    }

private:
    void announce()
    {
        while (true) {
            if (beating_) {
                static_cast<void>(call(control_, beat(draining_ ? "draining" : "ready"), 1000));
            }
            sleep_ms(1500);
        }
    }

    std::optional<message> handle(const message& request)
    {
        const auto request_id = request.header("Savorywheel-Request-Id");
        const auto path = request.word(1);
        if (path == "/healthz") {
            return message{"HTTP/1.1 200 OK", {{"Savorywheel-Instance-Id", id_}}, {}};
        }
        const auto expected = request.header("Savorywheel-Expected-Instance");
        if (!expected.empty() && expected != id_) {
            record.line("request %s expects %s; %s answers 421", request_id.c_str(),
                        expected.c_str(), id_.c_str());
            return message{"HTTP/1.1 421 Misdirected Request",
                           {{"Savorywheel-Request-Id", request_id},
                            {"Savorywheel-Instance-Id", id_}},
                           {}};
        }
        const bool fails = static_cast<int>(count_++ * 37 % 100) < fail_percent_;
        runs_.add({now_ms(), request_id, id_, service_, version_,
                   request.header("Savorywheel-Caller-Service"), path, !fails});
        sleep_ms(work_ms_);
        record.line("the run of %s at %s ends", request_id.c_str(), id_.c_str());
        last_end_ = now_ms();
        return message{fails ? "HTTP/1.1 500 Failed" : "HTTP/1.1 200 OK",
                       {{"Savorywheel-Request-Id", request_id},
                        {"Savorywheel-Server-Signature", "sig." + id_ + "." + request_id}},
                       "from " + id_ + "\n"};
    }

    std::string id_;
    std::string service_;
    std::string version_;
    std::string zone_;
    endpoint local_;
    endpoint control_;
    run_log& runs_;
    int fail_percent_;
    long work_ms_;
    long born_{std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()};
    std::atomic<unsigned> count_{};
    std::atomic<long> last_end_{};
    std::atomic<int> sequence_{};
    std::atomic<bool> beating_{true};
    std::atomic<bool> draining_{};
    http_server server_;
};

// ------------------------------------------------------------------------------------- clients

struct sent_request {
    long at;
    std::string id;
    std::string node;
    int status;
};

/** Clients that send requests to all nodes in turn until they are stopped. */
class client_group {
public:
    client_group(std::vector<node_process*> nodes, std::string path, long gap_ms)
        : nodes_{std::move(nodes)}, path_{std::move(path)}, gap_ms_{gap_ms}
    {
    }

    void start()
    {
        for (auto* node : nodes_) {
            threads_.emplace_back([this, node] { run(*node); });
        }
    }

    std::vector<sent_request> stop()
    {
        stopping_ = true;
        for (auto& item : threads_) {
            item.join();
        }
        return sent_;
    }

private:
    void run(const node_process& node)
    {
        for (int i = 0; !stopping_; ++i) {
            const auto id = "q-" + node.name() + "-" + std::to_string(i);
            const auto at = now_ms();
            const auto answer = call(node.outbound(),
                                     {"GET " + path_ + " HTTP/1.1",
                                      {{"Host", "desk.example"},
                                       {"Savorywheel-Request-Id", id},
                                       {"Savorywheel-Deadline-Ms", "1000"}},
                                      {}},
                                     1000);
            const int status = answer ? answer->status() : 0;
            record.line("request %s sent to %s at %.3f s, answer %d %s", id.c_str(),
                        node.name().c_str(), at / 1000.0, status,
                        answer ? answer->header("Savorywheel-Server-Signature").c_str() : "");
            {
                const std::scoped_lock lock{mutex_};
                sent_.push_back({at, id, node.name(), status});
            }
            sleep_until_ms(at + gap_ms_);
        }
    }

    std::vector<node_process*> nodes_;
    std::string path_;
    long gap_ms_;
    std::atomic<bool> stopping_{};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::vector<std::thread> threads_;
};

// ------------------------------------------------------------------------------- configuration

/** A configuration with one route, "/desk/" of desk.example, to the service. */
inline json configuration(int version, const std::vector<std::string>& services,
                          const std::string& service)
{
    json list = json::array();
    for (const auto& name : services) {
        list.push_back({{"name", name},
                        {"health-path", "/healthz"},
                        {"max-connections", 130},
                        {"protocol", "h1"},
                        {"tls", false}});
    }
    return {{"version", version},
            {"services", list},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout", "3000ms"},
              {"idle-timeout", "15000ms"}}},
            {"base-version", version - 1},
            {"virtual-hosts",
             {{{"host", "desk.example"},
               {"path-rules",
                {{{"name", "r-desk"},
                  {"path-prefix", "/desk/"},
                  {"kind", "idempotent"},
                  {"timeout", "1000ms"},
                  {"target-latency", "400ms"},
                  {"priority", 1},
                  {"service", service},
                  {"max-attempts", 2}}}}}}}};
}

/** A range 127.x.y.* whose addresses no other program listens on. */
inline std::string free_range()
{
    std::random_device device;
    const auto first = 64 + device() % 128;
    const auto second = device() % 250;
    return "127." + std::to_string(first) + "." + std::to_string(second) + ".";
}

/** True when all nodes are ready, at the latest after the limit. */
inline bool wait_until_ready(const std::vector<node_process*>& nodes, long limit_ms)
{
    const auto end = now_ms() + limit_ms;
    while (now_ms() < end) {
        if (std::ranges::all_of(nodes, [](const auto* node) { return node->is_ready(); })) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

inline bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

/** A temporary folder for settings and logs. */
inline std::string temporary_folder()
{
    std::string name = std::string{std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp"} +
                       "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        std::exit(2);
    }
    return name;
}

} // namespace review

#endif
