// What daemons tell of themselves, over links and in the table.

#include <apricotstile/router/internal/log_texts.hpp>
#include <apricotstile/router/internal/router_parts.hpp>

#include <apricotstile/core/codec.hpp>
#include <apricotstile/log/logger.hpp>

#include <algorithm>

namespace apricotstile::router {

namespace {

using namespace std::chrono_literals;
using internal::text_of;

constexpr duration entry_retry_pause = 250ms;
/// Between two writes of the row. Peers hear of changes over links at once.
constexpr duration entry_write_pause = 1500ms;
/// Between readings of members or of a map that aren't known yet.
constexpr duration first_reading_pause = 300ms;

/// Daemons that start together may miss each other in their first readings.
constexpr std::uint32_t early_readings = 3;

constexpr duration early_reading_pause = 1500ms;

constexpr duration late_reading_pause = 20s;

constexpr auto log_prefix = "router";

platform::row_key member_row(host_id host) {
    return {"members//" + std::to_string(host.value)};
}

} // namespace

void router::parts::publish_entry() {
    ++this->own.change;
    directory::apply(this->known, this->own);
    this->links.publish({this->own, this->instance.load()});
    this->entry_dirty = true;
    this->write_entry();
}

/// Writes this daemon's row where it has changed; a lost answer is settled by
/// reading the row.
void router::parts::write_entry() {
    if (!this->entry_dirty || this->entry_in_flight || !this->members_known ||
        boot_clock::now() < this->entry_retry_at) {
        return;
    }
    this->entry_dirty = false;
    this->entry_in_flight = true;
    platform::transaction work;
    work.conditions.push_back({member_row(this->host), this->entry_version});
    work.mutations.push_back({member_row(this->host), encode(this->own)});
    this->table.submit(work, [this](const platform::commit_result& result) {
        this->entry_in_flight = false;
        if (result.status == platform::commit_status::committed) {
            this->entry_version =
                std::max(this->entry_version, result.versions.front());
            this->entry_retry_at = boot_clock::now() + entry_write_pause;
            return;
        }
        this->entry_dirty = true;
        this->entry_retry_at = boot_clock::now() + entry_retry_pause;
        if (result.status != platform::commit_status::unavailable) {
            // The row's version is read again with all others.
            this->table.read(
                "members/",
                [this](const platform::read_result& read) {
                    for (const platform::row& row : read.rows) {
                        if (row.key == member_row(this->host)) {
                            this->entry_version = row.version;
                        }
                    }
                }
            );
        }
    });
}

void router::parts::take_entry(
    const directory::entry& told, const char* source
) {
    if (told.host == this->host || !directory::apply(this->known, told)) {
        return;
    }
    log::write(
        log::level::info,
        log_prefix,
        "Peer changed.",
        {{"peer", text_of(told.host)},
         {"service", told.service.value},
         {"instance", told.life.id},
         {"state", std::string{directory::name_of(told.state)}},
         {"stopping", told.stopping ? "yes" : "no"},
         {"source", source}}
    );
    this->links.connect(told.host);
}

/// Reads all members. Peers tell of themselves over their links; the table is
/// for those that aren't linked yet.
void router::parts::read_members() {
    this->members_asked_at = boot_clock::now();
    this->table.read("members/", [this](const platform::read_result& read) {
        if (read.answered) {
            ++this->member_readings;
            this->take_member_rows(read.rows);
        }
    });
}

void router::parts::take_member_rows(const std::vector<platform::row>& rows) {
    this->members_known = true;
    for (const platform::row& row : rows) {
        try {
            const auto told = decode<directory::entry>(row.value);
            if (row.key != member_row(this->host)) {
                this->take_entry(told, "table");
                continue;
            }
            this->entry_version = std::max(this->entry_version, row.version);
            // An earlier run of this host must not look newer.
            if (told.run > this->own.run) {
                this->own.run = next(told.run);
                this->promises.run = this->own.run;
                this->publish_entry();
            }
        } catch (const decode_error& error) {
            log::write(
                log::level::error,
                log_prefix,
                "A member's row is malformed and left alone.",
                {{"row", row.key.value}, {"reason", error.what()}}
            );
        }
    }
    this->write_entry();
}

/// Reads what wasn't read yet, and all of it now and then for what links lost.
void router::parts::read_what_is_due() {
    const instant now = boot_clock::now();
    duration members_pause = late_reading_pause;
    if (!this->members_known) {
        members_pause = first_reading_pause;
    } else if (this->member_readings < early_readings) {
        members_pause = early_reading_pause;
    }
    if (now - this->members_asked_at > members_pause) {
        this->read_members();
    }
    if (!this->routes) {
        return;
    }
    for (const auto& [service, settings] : this->routes->config.services) {
        const bool is_own =
            this->keys_here != nullptr && service == this->settings.service;
        if (!settings.keyed || is_own) {
            continue;
        }
        const followed_map& followed = this->maps[service];
        const bool is_known = followed.known.version != platform::row_version{};
        const duration pause =
            is_known ? late_reading_pause : first_reading_pause;
        if (now - followed.asked_at > pause) {
            this->read_map(service);
        }
    }
}

} // namespace apricotstile::router
