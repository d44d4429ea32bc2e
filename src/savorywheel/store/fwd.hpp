#ifndef SAVORYWHEEL_STORE_FWD_HPP
#define SAVORYWHEEL_STORE_FWD_HPP

namespace savorywheel {

class http_object_store;
class metered_object_store;
class object_store;
class store_era;
class store_worker;
struct object_list;
struct stored_object;

} // namespace savorywheel

#endif
