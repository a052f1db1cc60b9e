// Messages between the controllers of daemons. Small ones are sent as
// datagrams, large ones over TCP links.

#ifndef APRICOTSTILE_CONTROL_MESSAGE_HPP
#define APRICOTSTILE_CONTROL_MESSAGE_HPP

#include <apricotstile/assignment/map_messages.hpp>
#include <apricotstile/lease/message.hpp>
#include <apricotstile/member/gossip.hpp>
#include <apricotstile/plan/plan_message.hpp>
#include <apricotstile/request/slice_handover.hpp>
#include <apricotstile/share/share_message.hpp>
#include <apricotstile/upstream/crash_record.hpp>

#include <variant>

namespace apricotstile::control {

using message = std::variant<
    lease::message,
    assignment::map_message,
    member::gossip_message,
    request::slice_handover,
    upstream::crash_report,
    plan::plan_message,
    share::share_message>;

/// A message with its sender, its receiver and the digest of the sender's
/// assignment map.
struct envelope {
    host_id from;
    /// A copy that reaches another host is dropped.
    host_id to;
    assignment::map_digest digest;
    message body;
};

template <class Archive>
void serialize(Archive& archive, envelope& value) {
    archive(value.from, value.to, value.digest, value.body);
}

} // namespace apricotstile::control

#endif
