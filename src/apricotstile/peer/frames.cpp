// Encodes and decodes frames. A frame on the wire is a length of four bytes,
// least significant first, that counts the rest; one byte for the type, which
// is the index in the variant; and the payload.

#include <apricotstile/peer/frames.hpp>

#include <algorithm>
#include <limits>

namespace apricotstile::peer {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned byte_bits = 8;
constexpr std::uint8_t has_key_flag = 1;
/// A buffer that is empty keeps no more memory than this.
constexpr std::size_t max_idle_capacity = 4U << 10U;

template <class Archive>
void serialize_milliseconds(Archive& archive, duration& value) {
    const auto whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    auto millis = static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
    serialize_varint(archive, millis);
    value = std::chrono::milliseconds{millis};
}

/// Ages above the maximum of the type are sent as the maximum, 49 days.
template <class Archive>
void serialize_age(Archive& archive, duration& value) {
    const auto whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    auto millis = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        whole, 0, std::numeric_limits<std::uint32_t>::max()
    ));
    serialize_varint(archive, millis);
    value = std::chrono::milliseconds{millis};
}

struct serialize_header {
    template <class Archive>
    void operator()(Archive& archive, encoded_header& one) const {
        serialize_varint(archive, one.name_index);
        if (one.name_index == 0) {
            serialize_string(archive, one.name);
            serialize_string(archive, one.value);
            return;
        }
        serialize_varint(archive, one.value_index);
        if (one.value_index == 0) {
            serialize_string(archive, one.value);
        }
    }
};

/// Encodes or decodes headers by the connection's header table.
template <class Archive>
void serialize_headers(Archive& archive, std::vector<http::header>& headers) {
    auto& table = cereal::get_user_data<header_table>(archive);
    std::vector<encoded_header> encoded;
    if constexpr (Archive::is_saving::value) {
        encoded = encode_headers(table, headers);
    }
    serialize_list(archive, encoded, serialize_header{});
    if constexpr (Archive::is_loading::value) {
        headers = decode_headers(table, encoded);
    }
}

/// Encodes or decodes a body as a string.
template <class Archive>
void serialize_body(Archive& archive, shared_bytes& body) {
    if constexpr (Archive::is_saving::value) {
        varint length{body.size()};
        archive(length);
        archive(cereal::binary_data(body.view().data(), body.size()));
    } else {
        std::string bytes;
        serialize_string(archive, bytes);
        body = std::move(bytes);
    }
}

template <class Archive>
void serialize_load(Archive& archive, serving::reported_load& load) {
    serialize_varint(archive, load.slots);
    serialize_varint(archive, load.running);
    serialize_varint(archive, load.waiting);
    serialize_milliseconds(archive, load.mean_service_time);
    serialize_varint(archive, load.failures_per_thousand);
}

} // namespace

template <class Archive>
void serialize(Archive& archive, routed_request& value) {
    archive(value.service_hash, value.route_hash);
    auto flags = static_cast<std::uint8_t>(value.key ? has_key_flag : 0);
    archive(flags);
    if ((flags & has_key_flag) != 0) {
        keys::key_number key = value.key.value_or(0);
        serialize_varint(archive, key);
        value.key = key;
    }
    serialize_string(archive, value.method);
    serialize_string(archive, value.target);
    serialize_headers(archive, value.headers);
    serialize_body(archive, value.body);
    serialize_varint(archive, value.priority);
    serialize_milliseconds(archive, value.time_to_target);
    serialize_milliseconds(archive, value.time_to_deadline);
}

template <class Archive>
void serialize(Archive& archive, routed_response& value) {
    archive(value.outcome);
    serialize_varint(archive, value.status);
    serialize_headers(archive, value.headers);
    serialize_body(archive, value.body);
    serialize_milliseconds(archive, value.retry_after);
}

template <class Archive>
void serialize(Archive& archive, request_frame& value) {
    serialize_varint(archive, value.stream.value);
    archive(value.request);
    serialize_varint(archive, value.config.value);
}

template <class Archive>
void serialize(Archive& archive, response_frame& value) {
    serialize_varint(archive, value.stream.value);
    archive(value.response);
    serialize_load(archive, value.load);
    serialize_varint(archive, value.config.value);
}

template <class Archive>
void serialize(Archive& archive, response_part& value) {
    serialize_varint(archive, value.stream.value);
    serialize_string(archive, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, request_head& value) {
    serialize_varint(archive, value.stream.value);
    archive(value.request);
    serialize_varint(archive, value.config.value);
    serialize_varint(archive, value.body_bytes);
}

template <class Archive>
void serialize(Archive& archive, request_part& value) {
    serialize_varint(archive, value.stream.value);
    serialize_string(archive, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, cancel_frame& value) {
    serialize_varint(archive, value.stream.value);
}

template <class Archive>
void serialize(Archive& archive, entry_frame& value) {
    archive(value.member);
    serialize_load(archive, value.load);
    // Earlier daemons neither send nor read what follows.
    if constexpr (Archive::is_saving::value) {
        archive(value.accepts_parts);
    } else {
        value.accepts_parts = archive.bytes_left() > 0;
    }
}

template <class Archive>
void serialize(Archive& archive, promise_request& value) {
    serialize_varint(archive, value.version.value);
    serialize_varint(archive, value.guardian_incarnation.value);
    serialize_varint(archive, value.sequence);
}

template <class Archive>
void serialize(Archive& archive, promise_reply& value) {
    serialize_varint(archive, value.sequence);
    serialize_varint(archive, value.guardian_incarnation.value);
    archive(value.result);
}

template <class Archive>
void serialize(Archive& archive, revocation_request& value) {
    archive(value.holder);
    serialize_varint(archive, value.version.value);
}

template <class Archive>
void serialize(Archive& archive, revocation_reply& value) {
    archive(value.holder);
    serialize_varint(archive, value.version.value);
    archive(value.consented);
}

template <class Archive>
void serialize(Archive& archive, map_change_frame& value) {
    archive(value.change);
}

template <class Archive>
void serialize(Archive&, ping_frame&) {}

template <class Archive>
void serialize(Archive&, pong_frame&) {}

template <class Archive>
void serialize(Archive& archive, crash_reports_frame& value) {
    archive(value.reports);
}

template <class Archive>
void serialize(Archive& archive, config_request& value) {
    serialize_varint(archive, value.at_least.value);
    // Earlier daemons neither send nor read what follows.
    if constexpr (Archive::is_saving::value) {
        if (value.accepts_packed) {
            archive(value.accepts_packed);
        }
    } else {
        try {
            archive(value.accepts_packed);
        } catch (const cereal::Exception&) {
            value.accepts_packed = false;
        }
    }
}

template <class Archive>
void serialize(Archive& archive, packed_config& value) {
    serialize_varint(archive, value.version.value);
    serialize_string(archive, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, config_notice& value) {
    serialize_varint(archive, value.version.value);
    archive(value.is_current);
    serialize_varint(archive, value.era.value);
}

template <class Archive>
void serialize(Archive& archive, evacuation_notice& value) {
    serialize_varint(archive, value.report.version.value);
    serialize_list(
        archive,
        value.report.domains,
        [](Archive& to, routing::evacuation_report::evacuated_domain& one) {
            serialize_string(to, one.domain.value);
            serialize_varint(to, one.version.value);
            serialize_age(to, one.age);
        }
    );
}

template <class Archive>
void serialize(Archive& archive, config_reply& value) {
    archive(value.config);
}

template <class Archive>
void serialize(Archive& archive, release_request& value) {
    keys::relayed_release& release = value.release;
    archive(release.owner);
    serialize_varint(archive, release.sequence);
    serialize_varint(archive, release.lease_version.value);
    archive(release.lease_value, release.transfers);
}

template <class Archive>
void serialize(Archive& archive, release_reply& value) {
    serialize_varint(archive, value.sequence);
    archive(value.status, value.change);
}

template <class Archive>
void serialize(Archive& archive, capacity_request& value) {
    serialize_varint(archive, value.sequence);
    serialize_varint(archive, value.wanted_millislots);
}

template <class Archive>
void serialize(Archive& archive, capacity_reply& value) {
    serialize_varint(archive, value.sequence);
    serialize_varint(archive, value.offered_millislots);
    serialize_milliseconds(archive, value.mean_service_time);
}

template <class Archive>
void serialize(Archive& archive, capacity_claim& value) {
    serialize_varint(archive, value.sequence);
    serialize_varint(archive, value.claimed_millislots);
}

template <class Archive>
void serialize(Archive& archive, earlier_departures_frame& value) {
    archive(value.departures);
}

template <class Archive>
void serialize(Archive& archive, keep_departures_request& value) {
    serialize_varint(archive, value.revision);
    archive(value.departures);
}

template <class Archive>
void serialize(Archive& archive, keep_departures_reply& value) {
    serialize_varint(archive, value.revision);
}

namespace {

/// Decodes the payload as the alternative of the variant with index `kind`.
template <std::size_t Index = 0>
frame decode_payload(
    std::size_t type, const std::string& payload, header_table& headers
) {
    if constexpr (Index == std::variant_size_v<frame>) {
        throw decode_error{"frame has an unknown type"};
    } else {
        if (type != Index) {
            return decode_payload<Index + 1>(type, payload, headers);
        }
        return decode_compact<std::variant_alternative_t<Index, frame>>(
            payload, headers
        );
    }
}

} // namespace

std::string encode_frame(const frame& value, header_table& headers) {
    const std::string payload = std::visit(
        [&](const auto& one) {
            return encode_compact(one, headers);
        },
        value
    );
    std::string bytes;
    bytes.reserve(length_bytes + 1 + payload.size());
    const std::size_t length = payload.size() + 1;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        bytes += static_cast<char>((length >> (index * byte_bits)) & 0xFFU);
    }
    bytes += static_cast<char>(value.index());
    bytes += payload;
    return bytes;
}

std::optional<frame>
decode_frame(std::string& received, header_table& headers) {
    if (received.size() < length_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        length |=
            static_cast<std::size_t>(static_cast<unsigned char>(received[index])
            )
            << (index * byte_bits);
    }
    if (length == 0 || length > max_frame_length) {
        throw decode_error{"frame length is zero or exceeds the maximum"};
    }
    if (received.size() < length_bytes + length) {
        return std::nullopt;
    }
    const auto type = static_cast<unsigned char>(received[length_bytes]);
    const std::string payload = received.substr(length_bytes + 1, length - 1);
    received.erase(0, length_bytes + length);
    if (received.empty() && received.capacity() > max_idle_capacity) {
        std::string{}.swap(received);
    }
    return decode_payload(type, payload, headers);
}

} // namespace apricotstile::peer
