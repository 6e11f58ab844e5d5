#include "decision/key_memory.h"

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

// One owner of a group and what it asked for so far.
struct owner
{
    explicit owner(std::uint64_t generation = 1, const key_limits &limits = {})
        : memory(limits, batch_id {generation << 32})
    { }

    void step(const key_event &event) { memory.step(event, now, actions); }
    void load(std::vector<stored_batch> rows = {}) { step(keys_loaded {std::move(rows)}); }

    void arrive(std::uint64_t id, const request_key &key, duration patience = 10s)
    {
        step(key_arrived {request_id {id}, key, now + patience, wallStart + 1h});
        pass(0ms);
    }

    void pass(duration time)
    {
        now += time;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
        memory.expire(now, wall, actions);
    }

    template<class Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const auto &action : actions) {
            if (const auto *typed = std::get_if<Action>(&action))
                found.push_back(*typed);
        }
        return found;
    }

    batch_id lastBatch() const { return all<commit_keys>().back().row.batch; }
    bool released(std::uint64_t id) const
    {
        for (const auto &action : all<release_request>()) {
            if (action.request == request_id {id})
                return true;
        }
        return false;
    }
    errc refused(std::uint64_t id) const
    {
        for (const auto &action : all<refuse_key>()) {
            if (action.request == request_id {id})
                return action.code;
        }
        return errc::Ok;
    }

    key_memory memory;
    std::vector<key_action> actions;
    time_point now {1h};
    wall_time wall = wallStart;
};

struct key_row
{
    std::string name;
    std::function<void(owner &)> play;
    // Of request 2, or of request 1 where there is no other.
    std::uint64_t request;
    bool released;
    errc refusal;
};

} // namespace

TEST_CASE("a key decides whether its request is released or refused")
{
    const auto commit = [](owner &one) { one.step(keys_committed {one.lastBatch()}); };
    const auto unknown = [](owner &one) { one.step(commit_unknown {one.lastBatch()}); };
    const std::vector<key_row> rows = {
        {"before the keys are loaded nothing is taken", [](owner &one) { one.arrive(1, "a"); }, 1,
         false, errc::NotReady},
        {"a key that is not written yet holds its request",
         [](owner &one) {
             one.load();
             one.arrive(1, "a");
         },
         1, false, errc::Ok},
        {"a written key releases its request",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             commit(one);
         },
         1, true, errc::Ok},
        {"a repeat of a released request is a duplicate",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             commit(one);
             one.arrive(2, "a");
         },
         2, false, errc::DuplicateKey},
        {"a key that a former owner wrote is a duplicate",
         [](owner &one) {
             one.load({{batch_id {7}, {{"a", wallStart + 1h}}}});
             one.arrive(1, "a");
         },
         1, false, errc::DuplicateKey},
        {"a failed write is refused as not run",
         [](owner &one) {
             one.load();
             one.arrive(1, "a");
             one.step(commit_failed {one.lastBatch()});
         },
         1, false, errc::StoreUnavailable},
        {"a repeat after a failed write is written anew",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             one.step(commit_failed {one.lastBatch()});
             one.pass(100ms);
             one.arrive(2, "a");
             commit(one);
         },
         2, true, errc::Ok},
        {"a lost reply is settled by reading",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             unknown(one);
             one.step(batch_read {one.lastBatch(), true});
         },
         1, true, errc::Ok},
        {"an unreadable batch is refused as not run",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             unknown(one);
             one.step(batch_unread {one.lastBatch()});
         },
         1, false, errc::StoreUnavailable},
        {"while the store is away new requests are refused at once",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             unknown(one);
             one.step(batch_unread {one.lastBatch()});
             one.arrive(2, "b");
         },
         2, false, errc::StoreUnavailable},
        {"a request refused at its deadline is not released by a late write",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a", 1s);
             one.pass(2s);
             commit(one);
         },
         1, false, errc::DeadlinePassed},
        {"its repeat runs without a second write",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a", 1s);
             one.pass(2s);
             commit(one);
             one.arrive(2, "a");
         },
         2, true, errc::Ok},
        {"a former owner releases nothing",
         [&](owner &one) {
             one.load();
             one.arrive(1, "a");
             one.step(ownership_lost {});
             commit(one);
         },
         1, false, errc::NotReady},
        {"an expired key may be used again",
         [&](owner &one) {
             one.load({{batch_id {7}, {{"a", wallStart + 1s}}}});
             one.pass(2s);
             one.arrive(1, "a");
             commit(one);
         },
         1, true, errc::Ok},
        {"a key that stands in two rows is kept until the later time",
         [](owner &one) {
             one.load({{batch_id {7}, {{"a", wallStart + 1s}}},
                       {batch_id {8}, {{"a", wallStart + 1h}}}});
             one.pass(2s);
             one.arrive(1, "a");
         },
         1, false, errc::DuplicateKey},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        owner one;
        row.play(one);
        CHECK(one.released(row.request) == row.released);
        CHECK(one.refused(row.request) == row.refusal);
    }
}

TEST_CASE("writes are grouped and at most ten a second")
{
    owner one;
    one.load();
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        one.arrive(id, std::to_string(id));
        if (one.memory.nextDeadline())
            one.step(keys_committed {one.lastBatch()});
        one.pass(1ms);
    }
    CHECK(one.all<commit_keys>().size() <= 11);
    CHECK(one.all<release_request>().size() > 850);
}

TEST_CASE("rows whose keys have expired are deleted with the next write")
{
    owner one;
    one.load({{batch_id {7}, {{"a", wallStart + 1s}}}});
    one.pass(2s);
    one.arrive(1, "b");
    one.step(commit_failed {one.lastBatch()});
    one.pass(100ms);
    one.arrive(2, "c");
    const auto writes = one.all<commit_keys>();
    REQUIRE(writes.size() == 2);
    CHECK(writes[0].expired == std::vector {batch_id {7}});
    CHECK(writes[1].expired == std::vector {batch_id {7}});
}

namespace {

struct broken_invariant : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Owners that follow one another over one table whose replies get lost. The same keys come again
// and again; each must be released at most once, and never before it is in the table.
void playTakeovers(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::map<batch_id, stored_batch> table;
    std::map<std::uint64_t, request_key> keys;
    std::map<request_key, int> releases;
    std::uint64_t lastId = 0;
    for (std::uint64_t generation = 1; generation <= 40; ++generation) {
        owner one(generation);
        if (random() % 4 == 0)
            one.arrive(++lastId, "early");
        keys[lastId] = "early";
        std::vector<stored_batch> rows;
        for (const auto &[batch, row] : table)
            rows.push_back(row);
        one.load(rows);
        for (int each = 0; each < 60; ++each) {
            keys[++lastId] = std::to_string(random() % 400);
            one.arrive(lastId, keys[lastId]);
            one.pass(std::chrono::milliseconds(random() % 80));
            const auto actions = std::exchange(one.actions, {});
            for (const auto &action : actions) {
                if (const auto *write = std::get_if<commit_keys>(&action)) {
                    const auto fate = random() % 4;
                    if (fate != 0)
                        table[write->row.batch] = write->row;
                    if (fate >= 2)
                        one.step(keys_committed {write->row.batch});
                    else
                        one.step(commit_unknown {write->row.batch});
                } else if (const auto *read = std::get_if<read_batch>(&action)) {
                    if (random() % 2 == 0)
                        one.step(batch_unread {read->batch});
                    else
                        one.step(batch_read {read->batch, table.contains(read->batch)});
                } else if (const auto *sent = std::get_if<release_request>(&action)) {
                    const auto &key = keys.at(number(sent->request));
                    if (++releases[key] > 1)
                        throw broken_invariant("released twice: " + key);
                    bool stored = false;
                    for (const auto &[batch, row] : table) {
                        for (const auto &held : row.keys)
                            stored |= held.key == key;
                    }
                    if (!stored)
                        throw broken_invariant("released before it was stored: " + key);
                }
            }
        }
    }
    if (releases.size() < 100)
        throw broken_invariant("too little was released");
}

std::string playGuarded(std::uint64_t seed)
{
    invariantHandler = [](const char *name, const char *, int) { throw broken_invariant(name); };
    std::string broken;
    try {
        playTakeovers(seed);
    } catch (const broken_invariant &caught) {
        broken = caught.what();
    }
    invariantHandler = abortOnInvariant;
    return broken;
}

} // namespace

TEST_CASE("over takeovers and lost replies each key is released at most once")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        CHECK(playGuarded(seed) == "");
    }
}

#ifdef PLANTAINGAP_MUTATIONS

TEST_CASE("each mutation of the key memory breaks an invariant")
{
    const std::vector<std::string> rows = {"keys.skip_loading", "keys.skip_commit",
                                           "keys.skip_duplicate_check", "keys.forget_released"};
    for (const auto &mutation : rows) {
        CAPTURE(mutation);
        activeMutation = mutation;
        const auto broken = playGuarded(1);
        activeMutation = {};
        CHECK(broken != "");
        std::cout << mutation << " -> request_key_test: " << broken << '\n';
    }
}

#endif
