#ifndef PLANTAINGAP_DECISION_RETRY_BUDGET_H
#define PLANTAINGAP_DECISION_RETRY_BUDGET_H

#include <algorithm>

namespace plantaingap::decision {

// Bounds repeated sends to a share of the arrivals, so that a fault does not multiply the load.
// Every arrival earns a part of a token; a repeated send costs one.
class retry_budget
{
public:
    // The ratio is tokens per arrival; no more than burst tokens are kept.
    retry_budget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    { }

    void earn() { m_tokens = std::min(m_burst, m_tokens + m_ratio); }

    // Takes one token; false when there is none.
    bool spend()
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
