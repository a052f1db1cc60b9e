// Performs the platform's calls on plain data.

#include <standins/platform/platform_service.hpp>

#include <standins/platform/table_json.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace apricotstile::standins {

namespace {

constexpr std::string_view objects_path = "/objects/";

http_reply reply_with(std::string body) {
    http_reply reply;
    reply.body = std::move(body);
    return reply;
}

http_reply show_stats(const platform_service& service) {
    const platform_stats& stats = service.stats;
    const nlohmann::json shown{
        {"writes", stats.writes},
        {"conflicts", stats.conflicts},
        {"reads", stats.reads},
        {"bytes_read", stats.bytes_read},
        {"bytes_written", stats.bytes_written},
        {"over_rate", stats.over_rate},
        {"refused_while_down", stats.refused_while_down},
        {"answers_lost", stats.answers_lost},
        {"rows", service.table.rows.size()},
        {"objects", service.objects.size()}};
    return reply_with(shown.dump());
}

http_reply change_faults(platform_service& service, const std::string& body) {
    service.faults = changed_by(service.faults, body);
    return reply_with(to_json(service.faults));
}

bool is_object(const http_request& request) {
    return request.path.starts_with(objects_path);
}

bool is_write(const http_request& request) {
    const bool put = request.method == "PUT" && is_object(request);
    const bool committed =
        request.method == "POST" && request.path == "/table/commit";
    return put || committed;
}

bool is_read(const http_request& request) {
    const bool reads_rows = request.path == "/table/rows";
    return request.method == "GET" && (reads_rows || is_object(request));
}

/// Applies the transaction, or sets it aside when writes take effect late.
http_reply
commit_rows(platform_service& service, const std::string& body, instant now) {
    platform::transaction work = parse_transaction(body);
    if (service.faults.lose_answers && service.faults.late_effect.count() > 0) {
        service.late_writes.push_back(
            {now + service.faults.late_effect, std::move(work)}
        );
        return {};
    }
    const platform::commit_result result = commit(service.table, work);
    if (result.status == platform::commit_status::conflict) {
        ++service.stats.conflicts;
    }
    return reply_with(to_json(result));
}

http_reply
write(platform_service& service, const http_request& request, instant now) {
    ++service.stats.writes;
    service.stats.bytes_written += request.body.size();
    if (!is_object(request)) {
        return commit_rows(service, request.body, now);
    }
    service.objects[request.path.substr(objects_path.size())] = request.body;
    return {};
}

http_reply
read_object(const platform_service& service, const std::string& name) {
    const auto found = service.objects.find(name);
    if (found == service.objects.end()) {
        return error_reply(404, "no such object");
    }
    http_reply reply = reply_with(found->second);
    reply.content_type = "application/octet-stream";
    return reply;
}

http_reply read(platform_service& service, const http_request& request) {
    ++service.stats.reads;
    http_reply reply =
        is_object(request)
            ? read_object(service, request.path.substr(objects_path.size()))
            : reply_with(to_json(
                  read_prefix(service.table, parameter_of(request, "prefix"))
              ));
    service.stats.bytes_read += reply.body.size();
    return reply;
}

/// Performs a call of the service proper, which faults and limits apply to.
planned_reply
perform(platform_service& service, const http_request& request, instant now) {
    const duration latency = service.faults.latency;
    if (service.faults.silent) {
        return {delivery::never, {}, latency};
    }
    if (service.faults.down) {
        ++service.stats.refused_while_down;
        return {delivery::answered, error_reply(503, "down"), latency};
    }
    const bool writes = is_write(request);
    rate_limit& limit = writes ? service.write_limit : service.read_limit;
    if (!admit(limit, now)) {
        ++service.stats.over_rate;
        return {delivery::answered, error_reply(503, "over rate"), latency};
    }
    if (!writes) {
        return {delivery::answered, read(service, request), latency};
    }
    http_reply reply = write(service, request, now);
    if (service.faults.lose_answers) {
        ++service.stats.answers_lost;
        return {delivery::connection_closed, {}, latency};
    }
    return {delivery::answered, std::move(reply), latency};
}

planned_reply
dispatch(platform_service& service, const http_request& request, instant now) {
    if (request.method == "GET" && request.path == "/stats") {
        return {delivery::answered, show_stats(service), {}};
    }
    if (request.method == "POST" && request.path == "/faults") {
        return {delivery::answered, change_faults(service, request.body), {}};
    }
    if (is_write(request) || is_read(request)) {
        return perform(service, request, now);
    }
    return {delivery::answered, error_reply(404, "no such call"), {}};
}

} // namespace

planned_reply
handle(platform_service& service, const http_request& request, instant now) {
    apply_late_writes(service, now);
    try {
        return dispatch(service, request, now);
    } catch (const std::exception& error) {
        return {delivery::answered, error_reply(400, error.what()), {}};
    }
}

void apply_late_writes(platform_service& service, instant now) {
    while (!service.late_writes.empty()) {
        const late_write& first = service.late_writes.front();
        if (first.due > now) {
            return;
        }
        const auto result = commit(service.table, first.work);
        if (result.status == platform::commit_status::conflict) {
            ++service.stats.conflicts;
        }
        service.late_writes.pop_front();
    }
}

} // namespace apricotstile::standins
