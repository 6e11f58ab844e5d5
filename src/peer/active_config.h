#ifndef PLANTAINGAP_PEER_ACTIVE_CONFIG_H
#define PLANTAINGAP_PEER_ACTIVE_CONFIG_H

#include <plantaingap/active_config.h>
#include <set>

namespace plantaingap::peer {

// Tracks the active version, which only increases, and applies one change at a time.
class active_config
{
public:
    active_config(const instance_ref &self, const config_limits &limits);

    void step(const config_event &event, time_point now, std::vector<config_action> &actions);

    // The active version; 0 if none is active yet.
    std::uint64_t version() const { return m_version; }
    const std::string &digest() const { return m_digest; }

    // True once the active version is the newest known and was checked against the store, or
    // against the heartbeats of all expected peers.
    bool ready(time_point now) const;

    // The newest version known to be accepted.
    std::uint64_t target() const { return m_target; }

private:
    struct pending_apply
    {
        config_apply_requested request;
        config_change change;
        // Whether a copy of the write may have been applied.
        bool maybeApplied = false;
        bool callerNotified = false;
    };

    void on(const config_apply_requested &event, time_point now,
            std::vector<config_action> &actions);
    void on(const head_read &event, time_point now, std::vector<config_action> &actions);
    void on(const head_read_failed &event, time_point now, std::vector<config_action> &actions);
    void on(const head_written &event, time_point now, std::vector<config_action> &actions);
    void on(const config_peers_expected &event, time_point now,
            std::vector<config_action> &actions);
    void on(const config_version_received &event, time_point now,
            std::vector<config_action> &actions);
    void on(const config_fetched &event, time_point now, std::vector<config_action> &actions);
    void on(const config_fetch_failed &event, time_point now, std::vector<config_action> &actions);
    void on(const config_tick &event, time_point now, std::vector<config_action> &actions);

    void resolvePendingApply(std::vector<config_action> &actions);
    void sendHeadWrite(std::vector<config_action> &actions);
    void finishApply(errc outcome, std::vector<config_action> &actions);
    void updateTarget(std::uint64_t version, const std::string &digest,
                      std::optional<instance_id> source, time_point now,
                      std::vector<config_action> &actions);
    void startFetch(time_point now, std::vector<config_action> &actions);
    std::vector<config_change> changesAfter(std::uint64_t base) const;
    std::uint64_t headVersion() const;

    instance_ref m_self;
    config_limits m_limits;
    std::uint64_t m_version = 0;
    std::string m_digest;
    std::uint64_t m_target = 0;
    std::string m_targetDigest;
    // The peer to fetch the target from; the object store if empty.
    std::optional<instance_id> m_source;
    bool m_fetching = false;
    std::optional<time_point> m_lastFetchAt;
    config_head m_head;
    std::optional<time_point> m_headReadAt;
    std::optional<time_point> m_lastReadRequestAt;
    bool m_lastReadFailed = false;
    std::optional<pending_apply> m_pending;
    std::uint64_t m_lastWriteSequence = 0;
    std::set<instance_id> m_awaitedPeers;
    std::optional<time_point> m_peerWaitDeadline;
    bool m_versionReceived = false;
};

} // namespace plantaingap::peer

#endif
