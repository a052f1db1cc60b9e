// The crash counts of refused requests as they are kept in the platform's
// table, so that they outlast a restart of all daemons at once.

#ifndef APRICOTSTILE_UPSTREAM_QUARANTINE_RECORDS_HPP
#define APRICOTSTILE_UPSTREAM_QUARANTINE_RECORDS_HPP

#include <apricotstile/upstream/crash_record.hpp>

#include <cstdint>
#include <vector>

namespace apricotstile::upstream {

struct quarantine;

/// Of one fingerprint. A report's age means nothing to a later run, so it is
/// zero here.
struct recorded_crashes {
    crash_report report;
    /// Unix milliseconds.
    std::int64_t last_crash_ms{0};
};

using quarantine_records = std::vector<recorded_crashes>;

/// Rows of the table are small; the latest crashes are kept.
inline constexpr std::size_t max_recorded_requests = 64;

/// The requests with enough crashes to be refused, some of which were counted
/// by a daemon of this host, in order of their fingerprints. `unix_ms` is the
/// time of day at `now`.
[[nodiscard]] quarantine_records
records_to_keep(const quarantine& state, instant now, std::int64_t unix_ms);

/// Whether both hold the same counts.
[[nodiscard]] bool
same_counts(const quarantine_records& left, const quarantine_records& right);

/// Merges what an earlier run, or a daemon of another host, has recorded.
void restore(
    quarantine& state,
    const quarantine_records& records,
    instant now,
    std::int64_t unix_ms
);

template <class Archive>
void serialize(Archive& archive, recorded_crashes& value) {
    archive(value.report, value.last_crash_ms);
}

} // namespace apricotstile::upstream

#endif
