#ifndef PLANTAINGAP_OPERATOR_API_ANSWERS_H
#define PLANTAINGAP_OPERATOR_API_ANSWERS_H

#include "operator/api_messages.h"
#include "operator/document_writer.h"
#include "support/http_message.h"

namespace plantaingap::operators {

// The HTTP status of an error, and the error's name in refusals.
boost::beast::http::status statusOf(std::error_code error);
std::string_view codeName(std::error_code error);

// The answer to a request that was refused.
support::http_response refuse(std::error_code error, refusal_message refusal = {});

template<tabled Message>
support::http_response answerWith(const Message &message)
{
    return support::jsonResponse(boost::beast::http::status::ok,
                                 writeText(message, defaults::Written));
}

// The value as a message, or the refusal that its error stands for.
template<tabled Message>
support::http_response answerWith(const result<Message> &outcome)
{
    if (!outcome)
        return refuse(outcome.error());
    return answerWith(*outcome);
}

} // namespace plantaingap::operators

#endif
