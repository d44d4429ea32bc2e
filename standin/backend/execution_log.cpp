#include <fcntl.h>
#include <standin/backend/execution_log.hpp>
#include <unistd.h>

namespace savorywheel::standin {

namespace {

constexpr int file_mode = 0644;

} // namespace

execution_log::execution_log(const std::string& path)
{
    if (!path.empty()) {
        file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    }
}

execution_log::~execution_log()
{
    if (file_ >= 0) {
        ::close(file_);
    }
}

void execution_log::record(std::string_view request_id) const
{
    if (file_ >= 0 && !request_id.empty()) {
        const auto line = std::string{request_id} + '\n';
        static_cast<void>(::write(file_, line.data(), line.size()));
    }
}

} // namespace savorywheel::standin
