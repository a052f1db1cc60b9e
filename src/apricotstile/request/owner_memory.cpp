// Begins and finishes non-idempotent requests, and issues tickets.

#include <apricotstile/request/owner_memory.hpp>

#include <apricotstile/core/hashing.hpp>
#include <apricotstile/request/internal/memory_upkeep.hpp>
#include <apricotstile/request/routed_request.hpp>

#include <algorithm>

namespace apricotstile::request {

namespace {

constexpr refuse_it in_progress{outcome::unknown, refusal::in_progress};
constexpr refuse_it forgotten{outcome::unknown, refusal::outcome_forgotten};
constexpr refuse_it not_owner{outcome::not_run, refusal::not_owner};
constexpr refuse_it malformed{outcome::not_run, refusal::malformed};
constexpr refuse_it full{outcome::not_run, refusal::overloaded};
constexpr refuse_it other_body{
    outcome::not_run, refusal::key_reused_with_other_body};

begin_result answer_duplicate(
    owner_memory& memory,
    const keyed_request& request,
    const memory_record& record
) {
    if (record.content_hash != request.content_hash) {
        return other_body;
    }
    if (record.running) {
        return in_progress;
    }
    ++memory.replays;
    return replay_it{record.answer};
}

bool covers_ticket(
    const owner_memory& memory,
    const slice_memory& slice,
    const ticket& presented,
    instant now
) {
    const bool trusting = memory.policy.faults.trusts_older_tickets;
    const auto found = std::find_if(
        slice.covered_tokens.begin(),
        slice.covered_tokens.end(),
        [&](const covered_token& one) {
            return one.token == presented.token;
        }
    );
    if (found == slice.covered_tokens.end()) {
        return trusting;
    }
    return now - (found->opened + presented.issued) < memory.policy.window ||
           memory.policy.faults.ignores_ticket_age;
}

/// Whether the absence of a record proves that the key never ran.
bool is_provably_new(
    const owner_memory& memory,
    const slice_memory& slice,
    const keyed_request& request,
    instant now
) {
    if (request.ticket) {
        return covers_ticket(memory, slice, *request.ticket, now);
    }
    return now >= slice.uncertain_until ||
           memory.policy.faults.runs_without_ticket_after_loss;
}

bool ensure_capacity(owner_memory& memory, instant now) {
    const auto fits = [&] {
        return memory.records < memory.policy.max_records &&
               memory.answer_bytes <= memory.policy.max_answer_bytes;
    };
    if (fits()) {
        return true;
    }
    forget_expired(memory, now);
    if (!fits() && memory.policy.faults.evicts_when_full) {
        internal::evict_oldest(memory);
    }
    return fits();
}

std::uint64_t combine(std::uint64_t hash, std::string_view part) {
    constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
    return (hash ^ stable_hash(part)) * odd_multiplier + part.size();
}

} // namespace

std::uint64_t content_hash(const routed_request& request) {
    std::uint64_t hash = combine(0, request.method);
    hash = combine(hash, request.key);
    hash = combine(hash, request.target);
    return combine(hash, request.body);
}

begin_result
begin(owner_memory& memory, const keyed_request& request, instant now) {
    const auto found = memory.slices.find({request.service, request.slice});
    if (found == memory.slices.end() || found->second.frozen ||
        found->second.token != request.token) {
        return not_owner;
    }
    slice_memory& slice = found->second;
    if (request.ticket && request.ticket->slice != request.slice) {
        return malformed;
    }
    // A ticket from a later owner shows that this daemon's ownership is stale.
    if (request.ticket && request.ticket->token.value > request.token.value) {
        return not_owner;
    }
    internal::forget_expired(memory, slice, now);
    const auto record = slice.records.find(request.id);
    if (record != slice.records.end()) {
        return answer_duplicate(memory, request, record->second);
    }
    if (!is_provably_new(memory, slice, request, now)) {
        ++memory.refused_forgotten;
        return forgotten;
    }
    if (!ensure_capacity(memory, now)) {
        ++memory.refused_full;
        return full;
    }
    slice.records.emplace(
        request.id, memory_record{request.content_hash, true, {}}
    );
    ++memory.records;
    return run_request{};
}

void finish(
    owner_memory& memory,
    const keyed_request& request,
    const kept_answer& answer,
    instant now
) {
    const auto found = memory.slices.find({request.service, request.slice});
    if (found == memory.slices.end() || found->second.token != request.token) {
        return;
    }
    slice_memory& slice = found->second;
    const auto record = slice.records.find(request.id);
    if (record == slice.records.end() || !record->second.running) {
        return;
    }
    if (answer.outcome == outcome::not_run) {
        slice.records.erase(record);
        --memory.records;
        return;
    }
    record->second.running = false;
    record->second.answer = internal::limit_kept_answer(memory, answer);
    memory.answer_bytes += internal::kept_bytes(record->second);
    slice.expiries.push_back({now + memory.policy.window, request.id});
}

std::optional<ticket> issue_ticket(
    const owner_memory& memory,
    const slice_ref& slice,
    fencing_token token,
    instant now
) {
    const auto found = memory.slices.find(slice);
    if (found == memory.slices.end() || found->second.frozen ||
        found->second.token != token) {
        return std::nullopt;
    }
    const duration age = now - found->second.covered_tokens.front().opened;
    // Rounded down, so that a ticket never appears newer than it is.
    return ticket{
        slice.second,
        token,
        std::chrono::floor<std::chrono::milliseconds>(age)};
}

} // namespace apricotstile::request
