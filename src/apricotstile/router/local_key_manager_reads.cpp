// Reads of the rows of leases and keys.

#include <apricotstile/router/local_key_manager.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>

#include <utility>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;

/// Between reads of the other owners' leases.
constexpr duration lease_poll_interval = 3s;
/// Only daemons with a rank below this read the other owners' leases
/// periodically.
constexpr std::size_t lease_poll_ranks = 2;
constexpr auto log_prefix = "keys";

} // namespace

void local_key_manager::read_rows() {
    if (this->read_in_progress) {
        return;
    }
    this->read_in_progress = true;
    // Leases are read first, so that none of them is newer than the map.
    this->last_read_at = boot_clock::now();
    const std::string& service = this->key_owner.service.value;
    this->table.read(
        "leases/" + service,
        [this, service](const platform::read_result& leases) {
            if (!leases.answered) {
                this->read_in_progress = false;
                this->back_off(false);
                return;
            }
            this->table.read(
                "keys/" + service,
                [this, rows = leases.rows](const platform::read_result& maps) {
                    this->read_in_progress = false;
                    if (!maps.answered) {
                        this->back_off(false);
                        return;
                    }
                    std::vector<platform::row> all_rows = rows;
                    all_rows.insert(
                        all_rows.end(), maps.rows.begin(), maps.rows.end()
                    );
                    try {
                        keys::apply_rows(
                            this->key_owner, all_rows, boot_clock::now()
                        );
                    } catch (const decode_error& error) {
                        log::write(
                            log::level::error,
                            log_prefix,
                            "Lease or key rows are malformed.",
                            {{"reason", error.what()}}
                        );
                    }
                    this->log_unreadable_rows();
                    this->advance();
                }
            );
        }
    );
}

/// Reads the other owners' leases periodically while an owner is unreachable,
/// if this daemon is one of the first by rank to take over its keys.
void local_key_manager::poll_leases() {
    if (this->read_in_progress || !this->is_owner_unreachable ||
        boot_clock::now() < this->last_read_at + lease_poll_interval) {
        return;
    }
    if (this->dependencies.view().rank < lease_poll_ranks) {
        this->read_leases();
    }
}

void local_key_manager::read_leases() {
    this->last_read_at = boot_clock::now();
    this->read_in_progress = true;
    this->table.read(
        "leases/" + this->key_owner.service.value,
        [this](const platform::read_result& leases) {
            this->read_in_progress = false;
            if (!leases.answered || !this->key_owner.rows_known ||
                this->key_owner.in_flight || this->key_owner.needs_read) {
                return;
            }
            try {
                keys::apply_lease_rows(
                    this->key_owner, leases.rows, boot_clock::now()
                );
            } catch (const decode_error& error) {
                log::write(
                    log::level::error,
                    log_prefix,
                    "Lease rows are malformed.",
                    {{"reason", error.what()}}
                );
            }
            this->log_unreadable_rows();
        }
    );
}

/// Logs the rows that were left out since the last call, in one line.
void local_key_manager::log_unreadable_rows() {
    const std::vector<platform::row_key> rows =
        std::exchange(this->key_owner.unreadable_rows, {});
    if (rows.empty()) {
        return;
    }
    this->left_out_rows += rows.size();
    log::write(
        log::level::warning,
        log_prefix,
        "Rows that can't be read were left out.",
        {{"rows", std::to_string(rows.size())},
         {"first", rows.front().value},
         {"in_all", std::to_string(this->left_out_rows)}}
    );
}

} // namespace apricotstile::router
