// Guards against a message or file that ends the process: whatever a reader
// gets, it decodes it or throws its own error. READER_FUZZ_ROUNDS and
// READER_FUZZ_SEED set the length and the start of a longer run.

#include <platform/config_decoder.hpp>
#include <platform/heartbeat_codec.hpp>
#include <platform/row_codec.hpp>
#include <platform/settings.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/directory/entry.hpp>
#include <apricotstile/http/message_reader.hpp>
#include <apricotstile/keys/key_owner.hpp>
#include <apricotstile/peer/frames.hpp>
#include <apricotstile/settings/json_fields.hpp>

#include <tests/support/environment.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <QTemporaryDir>

#include <fstream>
#include <random>

using namespace apricotstile;
using namespace apricotstile::tests;
using namespace apricotstile::adapter;
using namespace std::chrono_literals;

namespace {

using generator = std::mt19937_64;

std::size_t below(generator& random, std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random);
}

/// What often matters to a reader: limits of numbers, brackets, line ends.
std::string odd_text(generator& random) {
    static const std::vector<std::string> texts{
        "-1",
        "0",
        "1e400",
        "18446744073709551616",
        "9223372036854775807",
        "-9223372036854775808",
        "null",
        "true",
        "{}",
        "[]",
        "[[[[",
        "\"\"",
        "\"",
        "\\u0000",
        "\xff\xfe",
        "\r\n",
        "\r\n\r\n",
        "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "ffffffffffffffff\r\n",
        std::string(8, '\0'),
        std::string(9, '\xff')};
    return texts.at(below(random, texts.size()));
}

/// Changes, removes, repeats or inserts a few parts of `bytes`.
std::string mutated(std::string bytes, generator& random) {
    constexpr std::size_t max_changes = 6;
    constexpr std::size_t max_part = 40;
    const std::size_t changes = 1 + below(random, max_changes);
    for (std::size_t count = 0; count < changes && !bytes.empty(); ++count) {
        const std::size_t at = below(random, bytes.size());
        const std::size_t length = 1 + below(random, max_part);
        switch (below(random, 5)) {
        case 0:
            bytes[at] = static_cast<char>(below(random, 256));
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case 3:
            bytes.insert(at, odd_text(random));
            break;
        default:
            bytes.replace(at, length, odd_text(random));
            break;
        }
    }
    return bytes;
}

/// Reads as many mutated samples as the run has rounds. `Error` is what the
/// reader may throw.
template <class Error, class Reader>
void fuzz(
    const std::vector<std::string>& samples,
    std::uint64_t default_rounds,
    const Reader& read
) {
    const std::uint64_t seed = number_from("READER_FUZZ_SEED", 1);
    const std::uint64_t rounds =
        number_from("READER_FUZZ_ROUNDS", default_rounds);
    std::uint64_t rejected = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        generator random{seed + round};
        const std::string bytes =
            mutated(samples.at(below(random, samples.size())), random);
        try {
            read(bytes);
        } catch (const Error&) {
            ++rejected;
        } catch (const std::exception& error) {
            INFO("seed " << seed + round << ": " << bytes);
            FAIL("unexpected error: " << error.what());
        }
    }
    // Some have to be understood, or the samples are no use.
    CHECK(rejected < rounds);
}

constexpr std::uint64_t usual_rounds = 4000;

template <class Message>
std::string framed(const Message& message) {
    peer::header_table headers;
    return peer::encode_frame(message, headers);
}

std::vector<std::string> frame_samples() {
    peer::request_frame request;
    request.stream = peer::stream_id{300};
    request.request.method = "GET";
    request.request.target = "/a/b?c=d";
    request.request.headers = {{"Host", "a.example"}, {"Cookie", "x=1"}};
    request.request.body = "body";
    peer::response_frame response;
    response.stream = request.stream;
    response.response.status = 200;
    response.response.headers = request.request.headers;
    response.response.body = std::string(300, 'b');
    peer::request_head head;
    head.stream = request.stream;
    head.request = request.request;
    head.body_bytes = 70'000;
    peer::config_reply config;
    routing::route route;
    route.name = "r";
    route.host = "a.example";
    route.prefix = "/x/";
    route.services = {{{"s"}, 90}, {{"t"}, 10}};
    config.config.routes.push_back(route);
    config.config.services[{"s"}].keyed = true;
    directory::member_entry entry;
    entry.host = host_id{7};
    entry.service = {"s"};
    entry.instance = {"i", 1};
    return {
        framed(request),
        framed(response),
        framed(head),
        framed(peer::request_part{head.stream, std::string(300, 'c')}),
        framed(config),
        framed(peer::pack_config(config.config)),
        framed(peer::entry_frame{entry, {}}),
        framed(peer::ping_frame{})};
}

} // namespace

TEST_CASE("any bytes of a caller are a request or refused", "[adapter][fuzz]") {
    fuzz<std::runtime_error>(
        {"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nTime-Left: 100\r\n\r\n",
         "POST /x/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET /x "
         "HTTP/1.1\r\nHost: a\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
         "Expect: 100-continue\r\n\r\n4\r\nbody\r\n0\r\nT: 1\r\n\r\n"},
        usual_rounds,
        [](const std::string& bytes) {
            http::request_reader reader{{1U << 10U, 1U << 10U}};
            for (const char byte : bytes) {
                static_cast<void>(reader.put({&byte, 1}));
                if (reader.in_body()) {
                    static_cast<void>(reader.held_bytes());
                    static_cast<void>(reader.expects_continue());
                }
                if (reader.progress() == http::read_progress::complete) {
                    static_cast<void>(reader.take());
                }
            }
        }
    );
}

TEST_CASE(
    "any bytes of an instance are an answer or malformed", "[adapter][fuzz]"
) {
    fuzz<std::runtime_error>(
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: "
         "timeout=5\r\n\r\nbody",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
         "HTTP/1.0 200 OK\r\nServer-Load: 1,2,3\r\n\r\nbody to the end"},
        usual_rounds,
        [](const std::string& bytes) {
            http::response_reader reader{1U << 10U};
            reader.expect("GET");
            for (const char byte : bytes) {
                if (reader.put({&byte, 1}) == http::read_progress::complete) {
                    static_cast<void>(reader.take());
                }
            }
            static_cast<void>(reader.put_end());
        }
    );
}

TEST_CASE("any bytes of a peer are frames or malformed", "[adapter][fuzz]") {
    fuzz<decode_error>(
        frame_samples(),
        usual_rounds,
        [](const std::string& bytes) {
            std::string received = bytes;
            peer::header_table headers;
            while (const auto one = peer::decode_frame(received, headers)) {
                if (const auto* const packed =
                        std::get_if<peer::packed_config>(&*one)) {
                    static_cast<void>(peer::unpack_config(*packed));
                }
            }
        }
    );
}

TEST_CASE("any row is decoded or malformed", "[adapter][fuzz]") {
    directory::member_entry entry;
    entry.host = host_id{7};
    entry.service = {"s"};
    entry.instance = {"i", 1};
    static_cast<void>(directory::add_departure(entry.known_departures, {"i", 1})
    );
    keys::key_map map;
    map.ranges = {{{0, 99}, host_id{1}, {"i", 1}, {5}, "warm"}};
    fuzz<decode_error>(
        {encode(entry)},
        usual_rounds,
        [](const std::string& bytes) {
            static_cast<void>(decode<directory::member_entry>(bytes));
        }
    );
    fuzz<decode_error>(
        {encode(map)},
        usual_rounds,
        [](const std::string& bytes) {
            static_cast<void>(keys::decode_map(bytes));
        }
    );
}

TEST_CASE(
    "any heartbeat or deregistration is decoded or rejected", "[adapter][fuzz]"
) {
    const instance_place here{*parse_address("10.128.0.9:8080"), {"nord-a"}};
    fuzz<heartbeat_error>(
        {R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nord-a",)"
         R"("version":"v1","slots":14,"state":"draining","coldRemainingMs":0,)"
         R"("sequence":4,"born":1700000000123,"holds":[[0,4095,7]],)"
         R"("released":[[4096,8191,"5c0e7a21d94b36f8"]]})"},
        usual_rounds,
        [&](const std::string& body) {
            static_cast<void>(decode_heartbeat("i-7", body, here));
        }
    );
    fuzz<heartbeat_error>(
        {R"({"born":1700000000123})"},
        usual_rounds,
        [](const std::string& body) {
            static_cast<void>(decode_deregistration("i-7", body));
        }
    );
}

TEST_CASE("any configuration is decoded or invalid", "[adapter][fuzz]") {
    fuzz<config_error>(
        {R"({"version":"0000001c","baseVersion":"00000005","routes":{"columns":)"
         R"(["name","host","prefix","kind","timeoutMs","targetLatencyMs",)"
         R"("priority","service","retryAttempts","trafficSplit"],"rows":[)"
         R"(["r-1","a.example","/x/","idempotent",600,250,2,"s",2,null],)"
         R"(["r-2","a.example","/y/","non_idempotent",800,300,1,null,2,)"
         R"([{"service":"s","weight":90},{"service":"t","weight":10}]]]},)"
         R"("services":{"columns":["name","healthCheckPath","maxConnections",)"
         R"("sharded","warmupS"],"rows":[["s","/health",120,true,3.0],)"
         R"(["t","/health",null,null,null]]},"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})"},
        usual_rounds,
        [](const std::string& text) {
            static_cast<void>(decode_config(text));
        }
    );
}

TEST_CASE("any rows of the store are parsed or rejected", "[adapter][fuzz]") {
    fuzz<nlohmann::json::exception>(
        {R"({"rows":[{"table":"my","part":"p7","key":"owner",)"
         R"("schemaVersion":7,"value":"bm9kZS0x"},{"table":"my","key":"k",)"
         R"("deleted":true}],"hasMore":false})"},
        usual_rounds,
        [](const std::string& body) {
            static_cast<void>(parse_current_rows(body));
            static_cast<void>(parse_changes(nlohmann::json::parse(body)));
        }
    );
}

TEST_CASE("any settings are read or refused with a reason", "[adapter][fuzz]") {
    const QTemporaryDir directory;
    const std::string file = directory.filePath("settings.json").toStdString();
    constexpr std::uint64_t file_rounds = 500;
    const std::string usual =
        R"({"host":{"name":"n","failure_domain":"z","region":"r",)"
        R"("link_mbps":10,"memory_mb":260},"listen":{)"
        R"("callers":"127.0.0.1:7001","peers":"127.0.0.1:7002",)"
        R"("readiness":"127.0.0.1:7003","heartbeats":"127.0.0.1:7004",)"
        R"("metrics":"127.0.0.1:7005"},"upstream":{"address":)"
        R"("127.0.0.1:7006","service":"s","heartbeat_ms":1000,)"
        R"("drain_timeout_ms":3000,"longest_hold_ms":10000},"retries":{)"
        R"("ratio":0.1,"extra":10,"window_s":10},"stop":{"grace_s":6},)"
        R"("store":"127.0.0.1:7007","start":"again"})";
    std::string with_callers = usual;
    with_callers.insert(
        with_callers.find("\"stop\""),
        R"("callers":{"max_connections":9,"answer_stall_ms":5000},)"
    );
    fuzz<settings::settings_error>(
        {usual, with_callers},
        file_rounds,
        [&](const std::string& text) {
            std::ofstream{file} << text;
            static_cast<void>(read_settings(file));
        }
    );
}
