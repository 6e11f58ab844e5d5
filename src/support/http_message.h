#ifndef PLANTAINGAP_SUPPORT_HTTP_MESSAGE_H
#define PLANTAINGAP_SUPPORT_HTTP_MESSAGE_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace plantaingap::support {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

// A whole answer with a body of the given type.
http_response makeResponse(boost::beast::http::status status, std::string_view contentType,
                           std::string body);

// An answer whose body is a JSON text.
http_response jsonResponse(boost::beast::http::status status, std::string body);

// A request with a body of the given type; the body may be empty.
http_request makeRequest(boost::beast::http::verb method, std::string_view target, std::string body,
                         std::string_view contentType = "application/json");

// The part of a target before '?'.
std::string_view targetPath(std::string_view target);

// The value of a query parameter with percent escapes decoded; empty when absent.
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace plantaingap::support

#endif
