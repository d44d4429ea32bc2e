// Stand-in of the platform's metadata store: the object form of PROTOCOL.md.
#ifndef REVIEW_2_STORE_H
#define REVIEW_2_STORE_H

#include "net.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace review {

class store {
public:
    using json = nlohmann::json;

    bool start(const std::string& ip, int port)
    {
        const int listener = listen_on(ip, port);
        if (listener < 0) {
            return false;
        }
        std::thread{[this, listener] {
            serve(listener, [this](int fd, const message& request) {
                return send_all(fd, answer(request));
            });
        }}.detach();
        return true;
    }

    // Writes as the operator does; returns the revision.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::scoped_lock lock{mutex_};
        auto& item = objects_[kind][name];
        if (item.create_revision == 0) {
            item.create_revision = revision_ + 1;
        }
        item.spec = spec;
        change(kind, name, item, false);
        return revision_;
    }

    json status(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock{mutex_};
        return objects_[kind][name].status;
    }

    // While it is down, each call gets 503: nothing was done.
    void set_down(bool down)
    {
        const std::scoped_lock lock{mutex_};
        down_ = down;
    }

    // Name and spec of each object of a kind.
    std::map<std::string, json> list(const std::string& kind)
    {
        const std::scoped_lock lock{mutex_};
        std::map<std::string, json> result;
        for (const auto& [name, item] : objects_[kind]) {
            result[name] = item.spec;
        }
        return result;
    }

private:
    struct object {
        json spec;
        json status;
        std::uint64_t revision{};
        std::uint64_t create_revision{};
    };
    struct event {
        std::uint64_t revision;
        std::string kind;
        json text;
    };

    static json describe(const std::string& name, const object& item)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", item.revision},
                  {"create-rev", item.create_revision},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", item.spec},
                {"status", item.status}};
    }

    void change(const std::string& kind, const std::string& name, object& item, bool deleted)
    {
        item.revision = ++revision_;
        events_.push_back({revision_, kind, {{"deleted", deleted}, {"object", describe(name, item)}}});
        changed_.notify_all();
    }

    static std::string parameter(const std::string& query, const std::string& name)
    {
        const auto text = "&" + query;
        const auto from = text.find("&" + name + "=");
        if (from == std::string::npos) {
            return {};
        }
        const auto value = from + name.size() + 2;
        return text.substr(value, text.find('&', value) - value);
    }

    static std::string reply(int status, const json& body)
    {
        return make_response(status, "Content-Type: application/json\r\n", body.dump());
    }

    std::string answer(const message& request)
    {
        const auto method = request.word(0);
        auto target = request.word(1);
        std::string query;
        if (const auto mark = target.find('?'); mark != std::string::npos) {
            query = target.substr(mark + 1);
            target.resize(mark);
        }
        const std::string root = "/objects/";
        if (target.compare(0, root.size(), root) != 0) {
            return reply(404, json::object());
        }
        auto path = target.substr(root.size());
        bool is_status = false;
        if (path.size() > 7 && path.compare(path.size() - 7, 7, "/status") == 0) {
            is_status = true;
            path.resize(path.size() - 7);
        }
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
        std::unique_lock lock{mutex_};
        if (down_) {
            return reply(503, json::object());
        }
        if (method == "GET" && name.empty()) {
            const auto watch = parameter(query, "watch");
            return watch.empty() ? list_reply(kind, parameter(query, "after"))
                                 : watch_reply(lock, kind, std::strtoull(watch.c_str(), nullptr, 10),
                                               std::atoi(parameter(query, "wait-ms").c_str()));
        }
        auto& objects = objects_[kind];
        if (method == "GET") {
            const auto found = objects.find(name);
            return found == objects.end() ? reply(404, json::object())
                                          : reply(200, describe(name, found->second));
        }
        auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            body = json::object();
        }
        const auto metadata = body.value("metadata", json::object());
        if (method == "POST") {
            const auto created = metadata.value("name", "");
            if (const auto found = objects.find(created); found != objects.end()) {
                return reply(409, describe(created, found->second));
            }
            auto& item = objects[created];
            item.spec = body.value("spec", json{});
            item.create_revision = revision_ + 1;
            change(kind, created, item, false);
            return reply(201, describe(created, item));
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return reply(404, json::object());
        }
        auto& item = found->second;
        const auto in_query = parameter(query, "revision");
        const auto expected = in_query.empty() ? metadata.value("revision", std::uint64_t{})
                                               : std::strtoull(in_query.c_str(), nullptr, 10);
        if (expected != 0 && expected != item.revision) {
            return reply(409, describe(name, item));
        }
        if (method == "DELETE") {
            auto removed = item;
            objects.erase(found);
            change(kind, name, removed, true);
            return reply(200, describe(name, removed));
        }
        auto& part = is_status ? item.status : item.spec;
        const auto value = body.value(is_status ? "status" : "spec", json{});
        if (part != value) {
            part = value;
            change(kind, name, item, false);
        }
        return reply(200, describe(name, item));
    }

    std::string list_reply(const std::string& kind, const std::string& after)
    {
        json items = json::array();
        for (const auto& [name, item] : objects_[kind]) {
            if (name > after) {
                items.push_back(describe(name, item));
            }
        }
        return reply(200, {{"items", items}, {"more", false}, {"at", revision_}});
    }

    std::string watch_reply(std::unique_lock<std::mutex>& lock, const std::string& kind,
                            std::uint64_t after, int wait_ms)
    {
        json events = json::array();
        const auto collect = [&] {
            for (const auto& item : events_) {
                if (item.revision > after && item.kind == kind) {
                    events.push_back(item.text);
                }
            }
            return !events.empty() || down_;
        };
        changed_.wait_for(lock, std::chrono::milliseconds{wait_ms}, collect);
        return reply(200, {{"events", events}, {"at", revision_}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<event> events_;
    std::uint64_t revision_{100};
    bool down_{};
};

} // namespace review

#endif
