#ifndef SAVORYWHEEL_DISTRIBUTION_FWD_HPP
#define SAVORYWHEEL_DISTRIBUTION_FWD_HPP

namespace savorywheel {

class commit_log;
class commit_watcher;
class distributor;
struct checkpoint;
struct commit_batch_message;
struct commit_fetch_message;
struct floor_message;
struct lease_record;

} // namespace savorywheel

#endif
