// Sends the answers to peers' requests. Where the rate of the host's link is
// known, large ones wait for their turn on it; see
// `serving/egress_schedule.hpp`.

#ifndef APRICOTSTILE_PEER_ANSWER_SENDER_HPP
#define APRICOTSTILE_PEER_ANSWER_SENDER_HPP

#include <apricotstile/net/timer_queue.hpp>
#include <apricotstile/peer/peer_links.hpp>
#include <apricotstile/serving/egress_schedule.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace apricotstile::peer {

class answer_sender {
public:
    using load_source = std::function<serving::reported_load()>;

    /// A rate of zero means that it isn't known; then all answers are sent at
    /// once.
    answer_sender(
        peer_links& links,
        net::timer_queue& timers,
        double link_bytes_per_second,
        load_source load
    );
    answer_sender(const answer_sender&) = delete;
    answer_sender& operator=(const answer_sender&) = delete;
    ~answer_sender() = default;

    struct request_properties {
        std::uint32_t route_hash{0};
        bool nested{false};
        duration service_time{0};
        instant target;
        instant deadline;
        /// For the log.
        std::string request_id;
    };

    /// A peer's request that hasn't run. Returns when it should be sent again
    /// if its answer couldn't leave in time; else `send` must be called.
    [[nodiscard]] std::optional<duration>
    admit(peer_request_id from, const request_properties& request);
    /// Sends the response to an admitted request, now or in its turn.
    void send(peer_request_id to, routed_response&& response);
    /// The peer no longer waits for the answer.
    void cancel(peer_request_id from);

    /// `load`, and what the saturated link adds to it.
    [[nodiscard]] serving::reported_load
    with_link_load(const serving::reported_load& load) const;
    /// Answers that are held back.
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct answer {
        peer_request_id to;
        request_properties request;
        routed_response response;
        std::size_t size{0};
        /// Bytes of the body that have been sent in parts.
        std::size_t sent_bytes{0};
        instant held_at;
    };

    void respond(peer_request_id to, routed_response&& response);
    void release();
    void send_part(answer& item, const serving::egress_action& action);
    void give_up(answer& item, serving::egress_decision reason);
    void note_saturation();

    peer_links& links;
    net::timer_queue& timers;
    load_source load;
    serving::egress_schedule schedule;
    std::unordered_map<serving::egress_id, answer> answers;
    std::map<peer_request_id, serving::egress_id> ids;
    serving::egress_id last_id;
    net::timer_id timer;
    /// Whether the last log line about the link said that it is saturated.
    bool is_saturated{false};
    std::uint64_t sent_parts{0};
};

} // namespace apricotstile::peer

#endif
