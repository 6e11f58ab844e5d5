#ifndef PLANTAINGAP_PLATFORM_LIST_CODEC_H
#define PLANTAINGAP_PLATFORM_LIST_CODEC_H

#include <boost/json/value.hpp>
#include <plantaingap/platform_list.h>
#include <plantaingap/result.h>

// The platform's list as JSON.
namespace plantaingap::platform {

// Malformed when a member is missing or of another type.
result<platform_list> listFromJson(const boost::json::value &document);

boost::json::value listToJson(const platform_list &list);

} // namespace plantaingap::platform

#endif
