// What a frame between daemons costs: encoding, its authentication code and
// decoding, for requests and responses and for control datagrams. Processor
// time, without sockets. Prints one JSON line a point.

#include <apricotstile/assignment/load_meter.hpp>
#include <apricotstile/control/message.hpp>
#include <apricotstile/daemon/messages.hpp>
#include <apricotstile/link/authentication.hpp>
#include <apricotstile/link/session.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <string>

namespace {

using namespace apricotstile;
using namespace std::chrono_literals;

constexpr int operations = 50'000;
constexpr std::size_t nonce_bytes = 16;
const std::string peers_key(32, 'k');

/// Processor nanoseconds of one call of `run`.
template <class Run>
double cost_of(Run run) {
    const std::clock_t begin = std::clock();
    for (int i = 0; i < operations; ++i) {
        run();
    }
    const double spent = static_cast<double>(std::clock() - begin);
    return spent / CLOCKS_PER_SEC * 1e9 / operations;
}

struct session_pair {
    link::session sender = link::make_session(
        peers_key, {host_id{1}, incarnation{1}, std::string(nonce_bytes, 'a')}
    );
    link::session receiver = link::make_session(
        peers_key, {host_id{2}, incarnation{1}, std::string(nonce_bytes, 'b')}
    );

    session_pair() {
        (void)link::receive(this->sender, link::hello_bytes(this->receiver));
        (void)link::receive(this->receiver, link::hello_bytes(this->sender));
    }
};

daemon::frame request_of(std::size_t body_size) {
    request::routed_request one;
    one.id = request_id{1'000'000};
    one.service = service_id{"registry"};
    one.key = "vessel-244123456789";
    one.customer = customer_id{"hoorn"};
    one.time_left = 1s;
    one.routed_by = map_version{1000};
    one.method = "POST";
    one.target = "/vessels/244123456789/calls";
    one.body = std::string(body_size, 'x');
    return one;
}

daemon::frame response_of(std::size_t body_size) {
    request::routed_response one;
    one.id = request_id{1'000'000};
    one.outcome = request::outcome::answered;
    one.responder_map = map_version{1000};
    one.status = 200;
    one.content_type = "application/json";
    one.body = std::string(body_size, 'x');
    return one;
}

void measure_frame(
    const char* what, std::size_t body_size, const daemon::frame& one
) {
    session_pair ends;
    const std::string payload = encode(one);
    const std::string bytes = link::frame_bytes(ends.sender, payload);
    (void)link::receive(ends.receiver, bytes);
    const double encoding = cost_of([&] {
        (void)encode(one);
    });
    const double decoding = cost_of([&] {
        (void)decode<daemon::frame>(payload);
    });
    const double passing = cost_of([&] {
        (void
        )link::receive(ends.receiver, link::frame_bytes(ends.sender, payload));
    });
    fmt::print(
        "{{\"benchmark\":\"link\",\"frame\":\"{}\",\"body_bytes\":{},"
        "\"frame_bytes\":{},\"encode_ns\":{:.0f},\"decode_ns\":{:.0f},"
        "\"both_codes_ns\":{:.0f},\"total_ns\":{:.0f}}}\n",
        what,
        body_size,
        bytes.size(),
        encoding,
        decoding,
        passing,
        encoding + decoding + passing
    );
}

void measure_envelope(const char* what, const control::message& body) {
    const member::member_ref self{host_id{1}, incarnation{1}};
    const control::envelope one{
        self.host, host_id{2}, {map_version{1000}, 1000, self}, body};
    const std::string sent = link::seal_datagram(peers_key, encode(one));
    const double sending = cost_of([&] {
        (void)link::seal_datagram(peers_key, encode(one));
    });
    const double receiving = cost_of([&] {
        (void)decode<control::envelope>(*link::open_datagram(peers_key, sent));
    });
    fmt::print(
        "{{\"benchmark\":\"link\",\"envelope\":\"{}\",\"bytes\":{},"
        "\"send_ns\":{:.0f},\"receive_ns\":{:.0f}}}\n",
        what,
        sent.size(),
        sending,
        receiving
    );
}

void measure_envelopes() {
    const member::member_ref self{host_id{1}, incarnation{1}};
    const member::member_ref guardian{host_id{2}, incarnation{1}};
    measure_envelope(
        "heartbeat",
        lease::message{lease::heartbeat{
            self, guardian, guardian_generation{3}, 1'000'000'000, true}}
    );
    measure_envelope(
        "promise", lease::message{lease::promise{self, guardian, 1'000'000'000}}
    );
    measure_envelope(
        "members hash", member::gossip_message{member::member_set_hash{12345}}
    );
    measure_envelope("suspicion report", upstream::crash_report{});
}

/// A load report of a daemon that owns `slices`.
void measure_load_report(std::uint32_t slices) {
    assignment::service_load load;
    load.service = service_id{"registry"};
    for (std::uint32_t i = 0; i < slices; ++i) {
        load.slices.push_back({slice_id{i * 16}, 10.0F});
    }
    for (std::size_t i = 0; i < assignment::reported_hot_keys; ++i) {
        load.keys.push_back({fmt::format("vessel-{}", i), 90.0F});
    }
    const assignment::load_report report{
        {host_id{1}, incarnation{1}}, {std::move(load)}};
    const std::string name = fmt::format("load report of {} slices", slices);
    measure_envelope(name.c_str(), assignment::map_message{report});
}

} // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const std::size_t size : {100U, 1000U, 10000U}) {
        measure_frame("request", size, request_of(size));
        measure_frame("response", size, response_of(size));
    }
    measure_envelopes();
    for (const std::uint32_t slices : {11U, 44U, 176U}) {
        measure_load_report(slices);
    }
    return 0;
}
