#ifndef PLANTAINGAP_PLATFORM_LIST_CODEC_H
#define PLANTAINGAP_PLATFORM_LIST_CODEC_H

#include <boost/json/value.hpp>
#include <plantaingap/platform_list.h>
#include <plantaingap/result.h>

// JSON encoding of the platform's list of instances and workers.
namespace plantaingap::platform {

// errc::Malformed if an instance or a worker has no name, a worker has no address, or either list
// is missing. Other members that are missing or have the wrong type are read as empty, 0 or
// false.
result<platform_list> listFromJson(const boost::json::value &document);

boost::json::value listToJson(const platform_list &list);

} // namespace plantaingap::platform

#endif
