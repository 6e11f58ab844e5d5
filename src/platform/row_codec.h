#ifndef PLANTAINGAP_PLATFORM_ROW_CODEC_H
#define PLANTAINGAP_PLATFORM_ROW_CODEC_H

#include <boost/json/value.hpp>
#include <optional>
#include <plantaingap/active_config.h>
#include <plantaingap/ownership.h>
#include <string>
#include <string_view>

// JSON encoding of the values of table rows. Decoding returns nullopt for malformed text; the
// caller must treat such a row like a table that does not respond, never as an absent row.
namespace plantaingap::platform {

std::string groupRowText(const group_row &row);

// The generation is not part of the text: it is the version of the table row.
std::optional<group_row> groupRowFrom(std::string_view text, std::uint64_t version);

std::string configHeadText(const config_head &head);
std::optional<config_head> configHeadFrom(std::string_view text);

std::string auditText(const config_audit_entry &entry);
std::optional<config_audit_entry> auditFrom(std::string_view text);

boost::json::value toJson(const write_id &write);
std::optional<write_id> writeIdFrom(const boost::json::value &value);

} // namespace plantaingap::platform

#endif
