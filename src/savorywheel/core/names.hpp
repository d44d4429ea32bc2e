#ifndef SAVORYWHEEL_CORE_NAMES_HPP
#define SAVORYWHEEL_CORE_NAMES_HPP

#include <savorywheel/core/named.hpp>

namespace savorywheel {

/** @brief Identifies a service, as the operators' text names it. */
using service_name = named<struct service_name_tag>;

/** @brief Identifies a version of a service's backend servers, for example "v2". */
using version_name = named<struct version_name_tag>;

/** @brief Identifies a node; unique in the mesh. */
using node_id = named<struct node_id_tag>;

/** @brief Identifies a failure domain. */
using failure_domain = named<struct failure_domain_tag>;

/** @brief Identifies a region. */
using region_name = named<struct region_name_tag>;

/** @brief Identifies one attempted change; chosen by its writer and unique. */
using operation_id = named<struct operation_id_tag>;

/** @brief Identifies an operator or an automatic writer. */
using author_name = named<struct author_name_tag>;

} // namespace savorywheel

#endif
