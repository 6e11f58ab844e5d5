#ifndef PLANTAINGAP_DECISION_RETRY_BUDGET_H
#define PLANTAINGAP_DECISION_RETRY_BUDGET_H

#include <algorithm>

namespace plantaingap::decision {

// Token bucket that limits retries to a fraction of the arriving requests, so that a fault does not
// multiply the load. Each arrival adds a fraction of a token; a retry consumes one token.
class retry_budget
{
public:
    // ratio: tokens added per arrival; burst: capacity of the bucket, which starts full.
    retry_budget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    { }

    void earn() { m_tokens = std::min(m_burst, m_tokens + m_ratio); }

    // Consumes one token; false when there is none.
    bool trySpend()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace plantaingap::decision

#endif
