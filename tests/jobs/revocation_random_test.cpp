#include "jobs/workspaces/configuration_freshness.h"
#include "jobs/workspaces/key_directory.h"

#include <array>
#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

using namespace plantaingap;
using plantaingap::jobs::digestOfKey;
using std::chrono::milliseconds;

namespace {

// What a run leaves out, to show that the check sees it.
enum class left_out : std::uint8_t {
    Nothing,
    // Keys are checked with any configuration.
    Freshness,
    // A read confirms the configuration as of its answer.
    SentTime,
    // The clock of an instance stops while it is suspended.
    SuspendedTime,
};

struct world_row
{
    const char *name;
    // Chances per mille in each step, for each instance: it is frozen, it loses the store; and for
    // each read: it is lost, it is answered late.
    int freeze = 0;
    int cut = 0;
    int lost = 0;
    int late = 0;
    left_out guard = left_out::Nothing;
};

constexpr milliseconds stepTime {10};
constexpr milliseconds revocation {5000};
constexpr int instances = 5;
constexpr int keys = 12;

// Instances that read the configuration of a store, and callers whose keys are taken away and
// added.
class revocation_world
{
public:
    revocation_world(const world_row &row, std::uint64_t seed)
        : m_row(row)
        , m_random(seed)
    {
        for (int i = 0; i < keys; ++i)
            m_held.insert(i);
        for (auto &instance : m_instances)
            instance.rate = 0.98 + 0.04 * static_cast<double>(m_random() % 1000) / 1000;
    }

    void step()
    {
        m_now += stepTime;
        if (chance(5))
            changeKeys();
        for (auto &instance : m_instances)
            stepInstance(instance);
    }

    std::uint64_t violations = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;

private:
    struct read
    {
        time_point sentAt {};
        duration answeredAt {};
        std::uint64_t version = 0;
        std::vector<jobs::workspace_definition> workspaces;
    };
    struct request
    {
        duration sentAt {};
        int key = 0;
    };
    struct instance_state
    {
        double rate = 1;
        // On its own clock.
        duration elapsed {0};
        jobs::configuration_freshness freshness {revocation};
        jobs::key_directory directory;
        std::uint64_t version = 0;
        duration frozenUntil {0};
        duration cutUntil {0};
        duration nextRead {0};
        std::deque<read> reads;
        std::deque<request> requests;
    };

    bool chance(int perMille) { return static_cast<int>(m_random() % 1000) < perMille; }
    duration randomTime(milliseconds longest)
    {
        return milliseconds(static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(longest.count() + 1)));
    }

    void changeKeys()
    {
        const auto key = static_cast<int>(m_random() % keys);
        ++m_version;
        if (m_held.erase(key) > 0)
            m_revokedAt[key] = m_now;
        else
            m_held.insert(key);
    }

    std::vector<jobs::workspace_definition> stored() const
    {
        jobs::workspace_definition workspace {"w", {}, 1, {}};
        for (const auto key : m_held)
            workspace.keys.push_back(digestOfKey(std::to_string(key)));
        return {workspace};
    }

    void stepInstance(instance_state &instance)
    {
        const bool frozen = instance.frozenUntil > m_now;
        if (!frozen || m_row.guard != left_out::SuspendedTime)
            instance.elapsed += std::chrono::duration_cast<duration>(stepTime * instance.rate);
        if (chance(300))
            instance.requests.push_back({m_now, static_cast<int>(m_random() % keys)});
        if (frozen)
            return;
        if (chance(m_row.freeze))
            instance.frozenUntil = m_now + randomTime(milliseconds(12'000));
        if (chance(m_row.cut))
            instance.cutUntil = m_now + randomTime(milliseconds(15'000));
        receiveReads(instance);
        sendRead(instance);
        serve(instance);
    }

    static time_point localTime(const instance_state &instance)
    {
        return time_point(std::chrono::hours(1)) + instance.elapsed;
    }

    void sendRead(instance_state &instance)
    {
        const auto now = localTime(instance);
        if (m_now < instance.nextRead && !instance.freshness.needsRead(now))
            return;
        instance.nextRead = m_now + milliseconds(1000);
        if (instance.cutUntil > m_now || chance(m_row.lost))
            return;
        // The store answers from what it holds now, and the answer may take long.
        const auto longest = chance(m_row.late) ? milliseconds(9000) : milliseconds(40);
        instance.reads.push_back({now, m_now + randomTime(longest), m_version, stored()});
    }

    void receiveReads(instance_state &instance)
    {
        const auto now = localTime(instance);
        std::erase_if(instance.reads, [&](const read &each) {
            if (each.answeredAt > m_now)
                return false;
            if (each.version >= instance.version) {
                instance.version = each.version;
                instance.directory = jobs::key_directory(each.workspaces);
            }
            instance.freshness.confirmed(m_row.guard == left_out::SentTime ? now : each.sentAt);
            return true;
        });
    }

    void serve(instance_state &instance)
    {
        const auto now = localTime(instance);
        while (!instance.requests.empty()) {
            const auto each = instance.requests.front();
            instance.requests.pop_front();
            const bool usable =
                m_row.guard == left_out::Freshness || instance.freshness.usable(now);
            if (!usable || !instance.directory.find("Bearer " + std::to_string(each.key))) {
                ++refused;
                continue;
            }
            ++served;
            const auto revoked = m_revokedAt.find(each.key);
            if (!m_held.contains(each.key) && revoked != m_revokedAt.end()
                && each.sentAt > revoked->second + revocation)
                ++violations;
        }
    }

    world_row m_row;
    std::mt19937_64 m_random;
    duration m_now {0};
    std::uint64_t m_version = 1;
    std::set<int> m_held;
    std::map<int, duration> m_revokedAt;
    std::array<instance_state, instances> m_instances;
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

// Guards against an instance that accepts keys that were removed while it was frozen, cut
// off from the store, or its clock was slow. A million steps: 4 rows of 5 seeds with 50,000.
TEST_CASE("No request is served that was sent later than the bound after its key was revoked")
{
    const auto seeds = numberFromEnvironment("REVOCATION_SEEDS", 5);
    const auto steps = numberFromEnvironment("REVOCATION_STEPS", 50'000);
    const world_row rows[] = {
        {"clocks drift", 0, 0, 0, 0},
        {"reads are lost and late", 0, 0, 200, 200},
        {"instances freeze", 2, 0, 0, 50},
        {"instances freeze and are cut off, reads are lost and late", 2, 2, 200, 200},
    };
    for (const auto &row : rows) {
        std::uint64_t served = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            revocation_world world(row, seed);
            for (std::uint64_t i = 0; i < steps; ++i)
                world.step();
            CHECK(world.violations == 0);
            served += world.served;
        }
        CHECK(served > 0);
    }
}

TEST_CASE("Each guard of the revocation is needed")
{
    const world_row rows[] = {
        {"any configuration", 2, 2, 200, 200, left_out::Freshness},
        {"a read confirms as of its answer", 0, 3, 500, 500, left_out::SentTime},
        {"suspended time is not counted", 4, 0, 0, 0, left_out::SuspendedTime},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        revocation_world world(row, 1);
        for (int i = 0; i < 50'000; ++i)
            world.step();
        CHECK(world.violations > 0);
    }
}
