#include "jobs/crash_history.h"

#include <algorithm>
#include <utility>

namespace plantaingap::jobs {

bool crash_history::add(std::uint32_t attempt, crash_evidence evidence)
{
    const auto known = std::ranges::find(m_records, attempt, &crash_record::attempt);
    if (known == m_records.end()) {
        m_records.push_back({attempt, evidence});
        return true;
    }
    return std::exchange(known->evidence, std::max(known->evidence, evidence)) < evidence;
}

void crash_history::clear(std::uint32_t attempt)
{
    m_clearedAttempt = std::max(m_clearedAttempt, attempt);
}

int crash_history::countFrom(crash_evidence weakest, std::uint32_t afterAttempt) const
{
    return static_cast<int>(std::ranges::count_if(m_records, [&](const crash_record &record) {
        return record.attempt > afterAttempt && record.evidence >= weakest;
    }));
}

bool crash_history::suspected() const
{
    const bool unconfirmed = std::ranges::any_of(m_records, [this](const crash_record &record) {
        return record.attempt > m_clearedAttempt && record.evidence == crash_evidence::Unconfirmed;
    });
    return unconfirmed || countFrom(crash_evidence::Fresh, m_clearedAttempt) > 0
           || countFrom(crash_evidence::Beside, m_clearedAttempt) > 1
           || countFrom(crash_evidence::Bystander, m_clearedAttempt) >= maxCrashes;
}

bool crash_history::stronglySuspected() const
{
    return countFrom(crash_evidence::OnlyFresh, m_clearedAttempt) > 0;
}

bool crash_history::givenUp() const
{
    const auto unexplained = countFrom(crash_evidence::Beside, 0);
    return unexplained >= maxCrashes || (unexplained > 1 && countFrom(crash_evidence::Alone, 0) > 0)
           || countFrom(crash_evidence::Unconfirmed, 0) >= maxCrashesBesideOthers;
}

} // namespace plantaingap::jobs
