#include "support/http_message.h"

#include <charconv>

namespace plantaingap::support {

namespace http = boost::beast::http;

namespace {

// HTTP/1.1 as Beast counts it.
constexpr unsigned httpVersion = 11;

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned code = 0;
        const bool escape = text[at] == '%' && at + 2 < text.size();
        if (escape) {
            const auto *first = text.data() + at + 1;
            if (std::from_chars(first, first + 2, code, 16).ptr == first + 2) {
                decoded.push_back(static_cast<char>(code));
                at += 2;
                continue;
            }
        }
        decoded.push_back(text[at] == '+' ? ' ' : text[at]);
    }
    return decoded;
}

} // namespace

http_response makeResponse(http::status status, std::string_view contentType, std::string body)
{
    http_response response(status, httpVersion);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response jsonResponse(http::status status, std::string body)
{
    return makeResponse(status, "application/json", std::move(body));
}

http_request makeRequest(http::verb method, std::string_view target, std::string body,
                         std::string_view contentType)
{
    http_request request(method, target, httpVersion);
    if (!body.empty())
        request.set(http::field::content_type, contentType);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? "" : percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

} // namespace plantaingap::support
