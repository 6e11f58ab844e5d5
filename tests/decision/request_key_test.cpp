#include "decision/request_key_store.h"

#include <doctest/doctest.h>
#include <functional>
#include <iostream>
#include <map>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>
#include <random>
#include <stdexcept>

using namespace plantaingap;
using namespace plantaingap::decision;
using namespace std::chrono_literals;

namespace {

constexpr wall_time wallStart {24h};

// The key store of one group owner, with a clock and the actions returned so far.
struct key_store_fixture
{
    explicit key_store_fixture(std::uint64_t generation = 1, const key_limits &limits = {})
        : store(limits, batch_id {generation << 32})
    { }

    void step(const key_event &event) { store.step(event, now, actions); }
    void load(std::vector<stored_batch> rows = {}) { step(keys_loaded {std::move(rows)}); }

    void arrive(std::uint64_t id, const request_key &key, duration timeout = 10s)
    {
        step(key_arrived {request_id {id}, key, now + timeout, wallStart + 1h});
        advance(0ms);
    }

    void advance(duration time)
    {
        now += time;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
        store.expire(now, wall, actions);
    }

    template<class Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> matching;
        for (const auto &action : actions) {
            if (const auto *typed = std::get_if<Action>(&action))
                matching.push_back(*typed);
        }
        return matching;
    }

    batch_id lastBatch() const { return actionsOf<commit_keys>().back().row.batch; }
    bool isReleased(std::uint64_t id) const
    {
        for (const auto &action : actionsOf<release_request>()) {
            if (action.request == request_id {id})
                return true;
        }
        return false;
    }
    errc refusalCode(std::uint64_t id) const
    {
        for (const auto &action : actionsOf<refuse_key>()) {
            if (action.request == request_id {id})
                return action.code;
        }
        return errc::Ok;
    }

    request_key_store store;
    std::vector<key_action> actions;
    time_point now {1h};
    wall_time wall = wallStart;
};

struct key_case
{
    std::string name;
    std::function<void(key_store_fixture &)> run;
    // The request that the expectations apply to.
    std::uint64_t request;
    bool released;
    errc refusal;
};

} // namespace

TEST_CASE("the state of a key decides whether its request is released or refused")
{
    const auto commit = [](key_store_fixture &fixture) {
        fixture.step(keys_committed {fixture.lastBatch()});
    };
    const auto loseReply = [](key_store_fixture &fixture) {
        fixture.step(commit_unknown {fixture.lastBatch()});
    };
    const std::vector<key_case> rows = {
        {"requests are refused until the keys are loaded",
         [](key_store_fixture &fixture) { fixture.arrive(1, "a"); }, 1, false, errc::NotReady},
        {"a request waits until its key is written",
         [](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
         },
         1, false, errc::Ok},
        {"a request is released once its key is written",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             commit(fixture);
         },
         1, true, errc::Ok},
        {"a repeat of a released request is a duplicate",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             commit(fixture);
             fixture.arrive(2, "a");
         },
         2, false, errc::DuplicateKey},
        {"a key written by a previous owner is a duplicate",
         [](key_store_fixture &fixture) {
             fixture.load({{batch_id {7}, {{"a", wallStart + 1h}}}});
             fixture.arrive(1, "a");
         },
         1, false, errc::DuplicateKey},
        {"a request whose write failed is refused as not run",
         [](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             fixture.step(commit_failed {fixture.lastBatch()});
         },
         1, false, errc::StoreUnavailable},
        {"a repeat after a failed write is written again",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             fixture.step(commit_failed {fixture.lastBatch()});
             fixture.advance(100ms);
             fixture.arrive(2, "a");
             commit(fixture);
         },
         2, true, errc::Ok},
        {"a lost reply is resolved by reading the batch",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             loseReply(fixture);
             fixture.step(batch_read_completed {fixture.lastBatch(), true});
         },
         1, true, errc::Ok},
        {"requests of an unreadable batch are refused as not run",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             loseReply(fixture);
             fixture.step(batch_read_failed {fixture.lastBatch()});
         },
         1, false, errc::StoreUnavailable},
        {"new requests are refused while the store is unavailable",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             loseReply(fixture);
             fixture.step(batch_read_failed {fixture.lastBatch()});
             fixture.arrive(2, "b");
         },
         2, false, errc::StoreUnavailable},
        {"a request refused at its deadline is not released by a late write",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a", 1s);
             fixture.advance(2s);
             commit(fixture);
         },
         1, false, errc::DeadlinePassed},
        {"a repeat of a request refused at its deadline runs without a second write",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a", 1s);
             fixture.advance(2s);
             commit(fixture);
             fixture.arrive(2, "a");
         },
         2, true, errc::Ok},
        {"a previous owner releases nothing",
         [&](key_store_fixture &fixture) {
             fixture.load();
             fixture.arrive(1, "a");
             fixture.step(ownership_lost {});
             commit(fixture);
         },
         1, false, errc::NotReady},
        {"an expired key can be reused",
         [&](key_store_fixture &fixture) {
             fixture.load({{batch_id {7}, {{"a", wallStart + 1s}}}});
             fixture.advance(2s);
             fixture.arrive(1, "a");
             commit(fixture);
         },
         1, true, errc::Ok},
        {"a key in two rows is kept until the later expiry time",
         [](key_store_fixture &fixture) {
             fixture.load({{batch_id {7}, {{"a", wallStart + 1s}}},
                           {batch_id {8}, {{"a", wallStart + 1h}}}});
             fixture.advance(2s);
             fixture.arrive(1, "a");
         },
         1, false, errc::DuplicateKey},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        key_store_fixture fixture;
        row.run(fixture);
        CHECK(fixture.isReleased(row.request) == row.released);
        CHECK(fixture.refusalCode(row.request) == row.refusal);
    }
}

TEST_CASE("writes are batched and limited to ten per second")
{
    key_store_fixture fixture;
    fixture.load();
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        fixture.arrive(id, std::to_string(id));
        if (fixture.store.nextDeadline())
            fixture.step(keys_committed {fixture.lastBatch()});
        fixture.advance(1ms);
    }
    CHECK(fixture.actionsOf<commit_keys>().size() <= 11);
    CHECK(fixture.actionsOf<release_request>().size() > 850);
}

TEST_CASE("rows whose keys have expired are deleted with the next write")
{
    key_store_fixture fixture;
    fixture.load({{batch_id {7}, {{"a", wallStart + 1s}}}});
    fixture.advance(2s);
    fixture.arrive(1, "b");
    fixture.step(commit_failed {fixture.lastBatch()});
    fixture.advance(100ms);
    fixture.arrive(2, "c");
    const auto writes = fixture.actionsOf<commit_keys>();
    REQUIRE(writes.size() == 2);
    CHECK(writes[0].expired == std::vector {batch_id {7}});
    CHECK(writes[1].expired == std::vector {batch_id {7}});
}

namespace {

struct invariant_violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Simulates successive owners on one table that loses replies. The same keys arrive repeatedly;
// each must be released at most once, and only after it is in the table.
void runTakeovers(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::map<batch_id, stored_batch> table;
    std::map<std::uint64_t, request_key> keys;
    std::map<request_key, int> releases;
    std::uint64_t lastId = 0;
    for (std::uint64_t generation = 1; generation <= 40; ++generation) {
        key_store_fixture fixture(generation);
        if (random() % 4 == 0)
            fixture.arrive(++lastId, "early");
        keys[lastId] = "early";
        std::vector<stored_batch> rows;
        for (const auto &[batch, row] : table)
            rows.push_back(row);
        fixture.load(rows);
        for (int round = 0; round < 60; ++round) {
            keys[++lastId] = std::to_string(random() % 400);
            fixture.arrive(lastId, keys[lastId]);
            fixture.advance(std::chrono::milliseconds(random() % 80));
            const auto actions = std::exchange(fixture.actions, {});
            for (const auto &action : actions) {
                if (const auto *write = std::get_if<commit_keys>(&action)) {
                    const auto outcome = random() % 4;
                    if (outcome != 0)
                        table[write->row.batch] = write->row;
                    if (outcome >= 2)
                        fixture.step(keys_committed {write->row.batch});
                    else
                        fixture.step(commit_unknown {write->row.batch});
                } else if (const auto *read = std::get_if<read_batch>(&action)) {
                    if (random() % 2 == 0)
                        fixture.step(batch_read_failed {read->batch});
                    else
                        fixture.step(
                            batch_read_completed {read->batch, table.contains(read->batch)});
                } else if (const auto *sent = std::get_if<release_request>(&action)) {
                    const auto &key = keys.at(number(sent->request));
                    if (++releases[key] > 1)
                        throw invariant_violation("released twice: " + key);
                    bool stored = false;
                    for (const auto &[batch, row] : table) {
                        for (const auto &storedKey : row.keys)
                            stored |= storedKey.key == key;
                    }
                    if (!stored)
                        throw invariant_violation("released before it was stored: " + key);
                }
            }
        }
    }
    if (releases.size() < 100)
        throw invariant_violation("too few requests were released");
}

std::string runCatchingInvariants(std::uint64_t seed)
{
    invariantHandler = [](const char *name, const char *, int) { throw invariant_violation(name); };
    std::string violation;
    try {
        runTakeovers(seed);
    } catch (const invariant_violation &failure) {
        violation = failure.what();
    }
    invariantHandler = abortOnInvariant;
    return violation;
}

} // namespace

TEST_CASE("each key is released at most once despite takeovers and lost replies")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        CHECK(runCatchingInvariants(seed) == "");
    }
}

#ifdef PLANTAINGAP_MUTATIONS

TEST_CASE("each mutation of the request key store breaks an invariant")
{
    const std::vector<std::string> rows = {"keys.skip_loading", "keys.skip_commit",
                                           "keys.skip_duplicate_check", "keys.forget_released"};
    for (const auto &mutation : rows) {
        CAPTURE(mutation);
        activeMutation = mutation;
        const auto violation = runCatchingInvariants(1);
        activeMutation = {};
        CHECK(violation != "");
        std::cout << mutation << " -> request_key_test: " << violation << '\n';
    }
}

#endif
