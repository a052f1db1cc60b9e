// Crashes of the instance and the requests suspected of causing them.

#include <apricotstile/peer/log_format.hpp>
#include <apricotstile/sidecar/internal/local_work.hpp>

#include <apricotstile/core/unix_time.hpp>
#include <apricotstile/log/logger.hpp>

namespace apricotstile::sidecar {

namespace {

using peer::unanswered_response;

constexpr auto log_prefix = "instance";

} // namespace

void local_instance::handle_crash_report(
    host_id peer, const upstream::crash_report& report
) {
    const instant now = boot_clock::now();
    upstream::quarantine& state = this->crash_detector.request_quarantine;
    const upstream::quarantine_entry before =
        upstream::describe(state, report.id, now);
    upstream::merge(state, report, now);
    if (before.action != upstream::describe(state, report.id, now).action) {
        this->log_crash_counts(report.id, peer::format_for_log(peer), now);
    }
}

std::optional<duration> local_instance::quarantine_left(
    const http::received_request& request, const service_id& caller_service
) {
    upstream::quarantine& state = this->crash_detector.request_quarantine;
    if (state.crash_records.empty()) {
        return std::nullopt;
    }
    const upstream::quarantine_decision decision = upstream::decide(
        state, internal::identity_of(request, caller_service), boot_clock::now()
    );
    return decision.action == upstream::quarantine_action::refuse
               ? std::optional{decision.retry_after}
               : std::nullopt;
}

void local_instance::restore_quarantine(
    const upstream::quarantine_records& records
) {
    const instant now = boot_clock::now();
    upstream::quarantine& state = this->crash_detector.request_quarantine;
    std::vector<upstream::fingerprint> changed;
    for (const upstream::recorded_crashes& one : records) {
        if (upstream::describe(state, one.report.id, now).crashes == 0) {
            changed.push_back(one.report.id);
        }
    }
    upstream::restore(state, records, now, unix_milliseconds());
    for (const upstream::fingerprint id : changed) {
        this->log_crash_counts(id, "table", now);
    }
}

void local_instance::log_crash_counts(
    upstream::fingerprint id, const std::string& source, instant now
) const {
    const upstream::quarantine_entry entry =
        upstream::describe(this->crash_detector.request_quarantine, id, now);
    log::write(
        log::level::warning,
        log_prefix,
        "Crash counts of a request changed.",
        {{"fingerprint", std::to_string(id.value)},
         {"crashes", std::to_string(entry.crashes)},
         {"alone", std::to_string(entry.alone)},
         {"action", std::string{upstream::name_of(entry.action)}},
         {"source", source}}
    );
}

const upstream::quarantine& local_instance::request_quarantine() const {
    return this->crash_detector.request_quarantine;
}

/// Records that the instance had a request and didn't answer it. If it turns
/// out to have crashed, the request may be the cause.
void local_instance::note_unanswered(
    const work& item, upstream::request_loss loss
) {
    upstream::note_lost_request(
        this->crash_detector,
        {item.identity, {}},
        loss,
        item.started,
        boot_clock::now()
    );
}

void local_instance::handle_silence() {
    this->note_possible_restart();
    this->handle_instance_down();
}

/// Any request that was in flight when the instance went down may be the cause.
void local_instance::handle_instance_down() {
    auto reports =
        upstream::note_crash(this->crash_detector, boot_clock::now());
    if (reports.empty()) {
        return;
    }
    log::write(
        log::level::warning,
        log_prefix,
        "Instance went down with requests in flight.",
        {{"instance", this->instance.id},
         {"requests", std::to_string(reports.size())}}
    );
    const instant now = boot_clock::now();
    upstream::forget_expired(this->crash_detector.request_quarantine, now);
    for (const upstream::crash_report& report : reports) {
        this->log_crash_counts(report.id, "instance", now);
    }
    this->on_crash_reports(std::move(reports));
}

void local_instance::refuse_quarantined(
    work& item, const upstream::quarantine_decision& decision
) {
    this->finish(
        item,
        unanswered_response(
            serving::attempt_outcome::refused_quarantined, decision.retry_after
        )
    );
}

void local_instance::set_self(const member::member_ref& self) {
    this->crash_detector.request_quarantine.self = self;
}

} // namespace apricotstile::sidecar
