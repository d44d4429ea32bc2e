#include <fcntl.h>
#include <spawn.h>
#include <standin/support/child_process.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <vector>

namespace savorywheel::standin {

namespace {

constexpr int signal_exit_base = 128;
constexpr int log_mode = 0644;

int code_of(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string& path, std::span<const std::string> arguments,
                             const std::string& log)
{
    std::vector<std::string> argument_strings{path};
    argument_strings.insert(argument_strings.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argument_strings.size() + 1);
    for (auto& argument : argument_strings) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto result = posix_spawn(&id_, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error{"cannot start " + path};
    }
}

child_process::~child_process()
{
    if (!ended_) {
        ::kill(id_, SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const
{
    if (!ended_) {
        ::kill(id_, number);
    }
}

int child_process::wait()
{
    if (!ended_) {
        int status{};
        ::waitpid(id_, &status, 0);
        ended_ = true;
        code_ = code_of(status);
    }
    return code_;
}

bool child_process::running()
{
    if (!ended_) {
        int status{};
        if (::waitpid(id_, &status, WNOHANG) == id_) {
            ended_ = true;
            code_ = code_of(status);
        }
    }
    return !ended_;
}

} // namespace savorywheel::standin
