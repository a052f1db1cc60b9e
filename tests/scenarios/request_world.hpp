// One ingress daemon, three hosts that own a slice in turn, and their
// upstreams, joined by fake links on a virtual clock. It runs the real
// decisions and keeps the record of what the upstreams ran.

#ifndef APRICOTSTILE_TESTS_SCENARIOS_REQUEST_WORLD_HPP
#define APRICOTSTILE_TESTS_SCENARIOS_REQUEST_WORLD_HPP

#include <apricotstile/request/ingress.hpp>
#include <apricotstile/upstream/dispatcher.hpp>
#include <tests/support/schedule.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace apricotstile::tests {

constexpr std::size_t world_hosts = 3;
/// Shorter than the longest wait of work, so that leases end while it waits.
constexpr duration world_lease = std::chrono::milliseconds{10};

/// What a caller sends; resent under another name with the same key.
struct world_request {
    request::routed_request content;
    /// The upstream dies when it runs this.
    bool crashes_upstream{false};
    instant deadline;
    int answers{0};
    int runs{0};
    request::answer_caller answer;
};

struct world_call {
    upstream::work_id id;
    std::string name;
    instant done_at;
};

struct world_host {
    upstream::dispatcher dispatcher;
    std::vector<world_call> calls;
    /// As the host knows: zero when it owns nothing.
    fencing_token token;
    instant lease_until;
    bool frozen{false};
    /// Nothing gets through between it and the ingress.
    bool cut{false};
    std::deque<request::routed_request> inbox;
    std::uint64_t last_work{0};
};

struct request_world {
    instant now{std::chrono::hours{24}};
    request::ingress ingress;
    /// Fixed in place: their ownership checks refer to them.
    std::array<std::unique_ptr<world_host>, world_hosts> hosts;
    std::uint64_t incarnations{0};
    std::size_t owner{0};
    fencing_token token{1};
    std::map<std::string, world_request> requests;
    std::map<request_id, std::string> names;
    std::map<request_id, std::string> streams;
    std::deque<request::response_arrived> to_ingress;
    /// How often each key of non-idempotent work ran.
    std::map<std::string, int> key_runs;
    /// The latest that any caller was given; empty before.
    std::string last_ticket;
    /// A seeded fault: owners call upstreams without a last look at the lease.
    bool skips_last_check{false};
    int upstream_crashes{0};
    violation broken;
};

[[nodiscard]] std::unique_ptr<request_world> make_world();

/// Sends `sent` as `name`, which must be new.
void send(
    request_world& world, const std::string& name, const world_request& sent
);

/// Lets `time` pass: frames arrive, calls end, leases are renewed.
void pass(request_world& world, duration time);

/// Breaks the ingress's link to a host, with what is on it.
void cut(request_world& world, std::size_t host);

void heal(request_world& world, std::size_t host);

/// The host does nothing until it wakes, and wakes as if nothing happened.
void freeze(request_world& world, std::size_t host);

void wake(request_world& world, std::size_t host);

/// The owner's host is lost with its memory; once its lease has run out the
/// next host owns the slice.
void lose_owner(request_world& world);

/// The owner is taken for lost while it may still be there, as when it is
/// frozen or cut off.
void depose_owner(request_world& world);

/// The owner drains, releases and hands its memory over.
void move_slice(request_world& world);

/// Lets everything end, and checks that every request was answered truly.
void settle(request_world& world);

} // namespace apricotstile::tests

#endif
