#ifndef SAVORYWHEEL_ENCODING_CORE_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_CORE_ARCHIVE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/core/finding.hpp>
#include <savorywheel/core/named.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/encoding/enum_archive.hpp>
#include <savorywheel/encoding/number_archive.hpp>

#include <cereal/cereal.hpp>

#include <string>

namespace savorywheel {

/** @brief Encodes an identifier as a string instead of an object. */
template<typename Archive, typename Tag>
std::string save_minimal(const Archive& /*archive*/, const named<Tag>& name)
{
    return name.str();
}

template<typename Archive, typename Tag>
void load_minimal(const Archive& /*archive*/, named<Tag>& name, const std::string& text)
{
    name = named<Tag>{text};
}

/** @brief Encodes a version as a number instead of an object. */
template<typename Archive>
std::uint64_t save_minimal(const Archive& /*archive*/, const config_version& version)
{
    return version.number;
}

template<typename Archive>
void load_minimal(const Archive& /*archive*/, config_version& version, const std::uint64_t& number)
{
    version.number = number;
}

template<typename Archive>
void serialize(Archive& archive, configuration_head& head)
{
    archive(cereal::make_nvp("version", head.version),
            cereal::make_nvp("operator_version", head.operator_version),
            cereal::make_nvp("digest", head.digest));
}

template<typename Archive>
void serialize(Archive& archive, network_endpoint& endpoint)
{
    archive(cereal::make_nvp("address", endpoint.address));
    archive_number(archive, "port", endpoint.port);
}

template<typename Archive>
void serialize(Archive& archive, text_position& place)
{
    archive(cereal::make_nvp("line", place.line), cereal::make_nvp("column", place.column));
}

template<typename Archive>
void serialize(Archive& archive, finding& item)
{
    archive(cereal::make_nvp("place", item.place), cereal::make_nvp("found", item.found),
            cereal::make_nvp("expected", item.expected));
}

} // namespace savorywheel

#endif
