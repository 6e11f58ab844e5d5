#ifndef PLANTAINGAP_PEER_CONFIG_IN_FORCE_H
#define PLANTAINGAP_PEER_CONFIG_IN_FORCE_H

#include <plantaingap/config_in_force.h>
#include <set>

namespace plantaingap::peer {

// Keeps the version in force, which only grows, and settles one change at a time.
class config_in_force
{
public:
    config_in_force(const instance_ref &self, const config_limits &limits);

    void step(const config_event &event, time_point now, std::vector<config_action> &actions);

    // 0 while none is known.
    std::uint64_t version() const { return m_version; }
    const std::string &digest() const { return m_digest; }

    // True once no instance that could be asked knew of a newer version than the one in force.
    bool ready(time_point now) const;

    // The newest version known to be accepted.
    std::uint64_t target() const { return m_target; }

private:
    struct pending_apply
    {
        config_apply_requested request;
        config_change change;
        bool mayHaveArrived = false;
        bool told = false;
    };

    void on(const config_apply_requested &event, time_point now,
            std::vector<config_action> &actions);
    void on(const head_read &event, time_point now, std::vector<config_action> &actions);
    void on(const head_read_failed &event, time_point now, std::vector<config_action> &actions);
    void on(const head_written &event, time_point now, std::vector<config_action> &actions);
    void on(const config_peers_expected &event, time_point now,
            std::vector<config_action> &actions);
    void on(const config_version_heard &event, time_point now, std::vector<config_action> &actions);
    void on(const config_fetched &event, time_point now, std::vector<config_action> &actions);
    void on(const config_fetch_failed &event, time_point now, std::vector<config_action> &actions);
    void on(const config_tick &event, time_point now, std::vector<config_action> &actions);

    void settle(std::vector<config_action> &actions);
    void send(std::vector<config_action> &actions);
    void end(errc outcome, std::vector<config_action> &actions);
    void learn(std::uint64_t version, const std::string &digest, std::optional<instance_id> from,
               time_point now, std::vector<config_action> &actions);
    void fetch(time_point now, std::vector<config_action> &actions);
    std::vector<config_change> changesAfter(std::uint64_t base) const;
    std::uint64_t headVersion() const;

    instance_ref m_self;
    config_limits m_limits;
    std::uint64_t m_version = 0;
    std::string m_digest;
    std::uint64_t m_target = 0;
    std::string m_targetDigest;
    std::optional<instance_id> m_source;
    bool m_fetching = false;
    std::optional<time_point> m_fetchAt;
    config_head m_head;
    std::optional<time_point> m_headReadAt;
    std::optional<time_point> m_askedAt;
    bool m_failing = false;
    std::optional<pending_apply> m_pending;
    std::uint64_t m_writes = 0;
    std::set<instance_id> m_expected;
    std::optional<time_point> m_expectedUntil;
    bool m_heardAny = false;
};

} // namespace plantaingap::peer

#endif
