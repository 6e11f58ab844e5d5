#ifndef PLANTAINGAP_REVIEW_WORLD_H
#define PLANTAINGAP_REVIEW_WORLD_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

// Stand-ins for the platform's store, its workers, its clients and for the platform that starts the
// instances of plantaingap-cell. One process, one thread, loopback addresses, the real clock.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
template<class T>
using awaitable = asio::awaitable<T>;

// Milliseconds since the start of this process, on the steady clock.
std::int64_t nowMs();
// Milliseconds since 1970.
std::int64_t wallMs();

// What was sent, answered and run; each line begins with the time in milliseconds.
class record
{
public:
    explicit record(const std::string &file)
        : m_out(file)
    { }
    void line(const std::string &text);

private:
    std::ofstream m_out;
};

// A path between an instance and a server. While it is cut, what arrives is held and never answered
// and answers are lost, as behind a partition.
struct path
{
    bool cut = false;
    // The process behind it is down: connections are reset.
    bool down = false;
    std::vector<std::weak_ptr<boost::beast::tcp_stream>> streams;
    // Whether a further connection would be one too many, and is reset.
    std::function<bool()> full;

    std::size_t open() const;

    // The process behind it has ended.
    void closeAll();
};

using handler = std::function<awaitable<response>(request)>;

// Listens on a free loopback port until the process ends. Returns the port.
std::uint16_t listen(asio::io_context &context, std::shared_ptr<path> link, handler handle);

// The platform's table service.
class store
{
public:
    store(asio::io_context &context, record &log);

    // Rows of `servers` are told to each instance with the address at which it reaches the worker.
    using address_of = std::function<std::string(const std::string &worker, int instance)>;
    std::uint16_t listenFor(int instance, std::shared_ptr<path> link, address_of addresses);
    // As the operator or a worker writes; an empty value removes the row.
    void put(const std::string &table, const std::string &key, const std::string &value);
    std::string get(const std::string &table, const std::string &part,
                    const std::string &key) const;
    std::uint64_t refusedWrites() const { return m_refusedWrites; }

private:
    using key_type = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        key_type key;
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    awaitable<response> handle(request incoming, int instance, address_of addresses);
    response transact(const json::value &body);
    json::object encode(const key_type &key, const std::string &value, std::uint64_t version,
                        int instance, const address_of &addresses) const;
    void apply(const key_type &key, std::optional<std::string> value, std::uint64_t version);

    asio::io_context &m_context;
    record &m_log;
    std::map<key_type, row> m_rows;
    std::vector<change> m_history;
    std::uint64_t m_version = 1;
    std::uint64_t m_refusedWrites = 0;
};

// How a run ended, and when: for the judgement.
struct run_record
{
    std::string task;
    int attempt = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1;
    std::string how;
    bool labelMissing = false;
    // When the end was taken note of: `last_seen` has reached it, and no lease lapsed before that.
    std::int64_t notedAt = -1;
};

struct worker_kind
{
    std::int64_t cpu = 64'000;
    std::int64_t memory = 131'072;
    std::string label = "a";
};

// The work of a task, by its name; a negative time runs until it is stopped. Checkpointing tasks
// save each half second.
struct task_work
{
    std::int64_t workMs = 1000;
    bool saves = false;
    std::string requires_;
    // Its first run ends `failed`, by its own fault.
    bool failsOnce = false;
};

// One worker, which may crash and start again under the same id.
class worker
{
public:
    using work_of = std::function<task_work(const std::string &task)>;
    worker(asio::io_context &context, record &log, store &table, std::string id, std::string rack,
           worker_kind kind, int instances, work_of work, std::vector<run_record> &runs);

    std::string addressFor(int instance) const;
    path &linkTo(int instance) { return *m_links.at(static_cast<std::size_t>(instance)); }
    // Whether its reports reach the store.
    bool reachesStore = true;
    void crash();
    void start(worker_kind kind);
    bool up() const { return m_up; }
    std::size_t active() const { return m_active.size(); }
    bool runs(const std::string &taskPrefix) const;
    const std::string &id() const { return m_id; }
    void tick();

private:
    struct live_run
    {
        int attempt = 0;
        std::int64_t startedAt = 0;
        std::int64_t stopAt = -1;
        task_work work;
        std::string saved;
        std::size_t recordIndex = 0;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
        std::string saved;
        std::size_t recordIndex = 0;
        bool lapsed = false;
    };

    awaitable<response> handle(request incoming);
    response startRun(const json::object &body);
    response stopRun(const json::object &body);
    json::object lists() const;
    void end(const std::string &task, const std::string &how);
    std::int64_t clock() const { return nowMs() - m_bootAt; }
    bool fenced(const json::object &body);
    void grant(const json::object &body);

    asio::io_context &m_context;
    record &m_log;
    store &m_table;
    std::string m_id;
    std::string m_rack;
    worker_kind m_kind;
    work_of m_work;
    std::vector<run_record> &m_runs;
    std::vector<std::shared_ptr<path>> m_links;
    std::vector<std::uint16_t> m_ports;
    bool m_up = false;
    std::int64_t m_bootAt = 0;
    std::int64_t m_born = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_sequence = 0;
    std::int64_t m_reportAt = 0;
    std::int64_t m_lastReportAt = 0;
    std::map<std::string, live_run> m_active;
    std::map<std::string, int> m_over;
    std::vector<ended_run> m_ended;
};

// What a client got; status 0 for no answer.
struct answer
{
    int status = 0;
    std::string body;
};

// A small deployment: three instances, a store, workers, clients.
class world
{
public:
    explicit world(const std::string &recordFile);
    ~world();

    asio::io_context context;
    record log;
    store table;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<run_record> runs;
    std::map<std::string, task_work> works;

    // Before workers are added; three otherwise.
    void setInstances(int count);
    void addWorkers(int count, worker_kind kind);
    void startInstances(const std::string &folder);
    void signalInstance(int instance, int signal);
    path &storeLink(int instance)
    {
        return *m_instances.at(static_cast<std::size_t>(instance)).link;
    }
    // The store answers no instance.
    void setStoreAway(bool away);
    int instances() const { return static_cast<int>(m_instances.size()); }
    // The instance that the leader's row names; -1 for none.
    int leader() const;
    worker *find(const std::string &id);

    awaitable<void> sleep(std::int64_t milliseconds);
    // Waits until all instances answer ready; false if they don't in time.
    awaitable<bool> awaitReady(std::int64_t milliseconds);
    awaitable<answer> call(int instance, std::string method, std::string target, std::string body,
                           std::int64_t timeoutMs = 3000);
    // Hands a job in as a client does: again after no answer, 504, 429 or 503, at another instance.
    awaitable<answer> submit(std::string id, std::string body, int tries = 5);
    awaitable<answer> state(std::string id, int tries = 3);
    awaitable<void> ticker();

    bool trouble = true;
    std::string prefix = "/plan/";

private:
    struct instance
    {
        pid_t pid = -1;
        std::int64_t startAt = 0;
        std::uint16_t front = 0;
        std::uint16_t ready = 0;
        std::uint16_t peer = 0;
        std::uint16_t storePort = 0;
        std::shared_ptr<path> link;
        std::string settings;
        std::string logFile;
    };
    void spawn(instance &one);

    std::vector<instance> m_instances;
    int m_nextFront = 0;
};

// A configuration with the queues that are given as name and prefix.
std::string configuration(int version,
                          const std::vector<std::pair<std::string, std::string>> &queues);

} // namespace review

#endif
