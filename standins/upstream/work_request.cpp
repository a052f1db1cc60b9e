// Conversion between HTTP and work.

#include <standins/upstream/work_request.hpp>

#include <charconv>
#include <stdexcept>

namespace apricotstile::standins {

namespace {

std::uint64_t number_of(const http_request& request, const std::string& name) {
    const std::string text = header_of(request, name);
    std::uint64_t number = 0;
    const char* const last = text.data() + text.size();
    const auto result = std::from_chars(text.data(), last, number);
    if (result.ec != std::errc{} || result.ptr != last) {
        throw std::invalid_argument("header " + name + " is not a number");
    }
    return number;
}

std::uint64_t
number_or_zero(const http_request& request, const std::string& name) {
    return header_of(request, name).empty() ? 0 : number_of(request, name);
}

std::string_view reason_text(work_refusal reason) {
    switch (reason) {
    case work_refusal::shed:
        return "shed";
    case work_refusal::stale_token:
        return "stale token";
    case work_refusal::deadline_passed:
        return "deadline passed";
    case work_refusal::cancelled:
        return "cancelled";
    case work_refusal::unknown_service:
        return "unknown service";
    }
    return "refused";
}

} // namespace

work_item parse_work(const http_request& request, work_id id, instant now) {
    work_item item;
    item.id = id;
    item.request_name = header_of(request, "apricotstile-request-id");
    item.call = parameter_of(request, "call");
    item.caller_key.value = header_of(request, "idempotency-key");
    item.customer.value = header_of(request, "apricotstile-customer");
    item.service.value = header_of(request, "apricotstile-service");
    item.key = header_of(request, "apricotstile-key");
    item.slice.value =
        static_cast<std::uint32_t>(number_or_zero(request, "apricotstile-slice")
        );
    item.token.value = number_or_zero(request, "apricotstile-token");
    item.deadline = now + std::chrono::milliseconds{
                              number_of(request, "apricotstile-deadline-ms")};
    item.poison = request.body.find(poison_marker) != std::string::npos;
    return item;
}

echoed_request echo_of(const work_item& item, const std::string& body) {
    return {
        item.service.value,
        item.key,
        item.customer.value,
        item.call,
        digest_of(body)};
}

http_reply not_run_reply(unsigned status, std::string_view reason) {
    http_reply reply = error_reply(status, reason);
    reply.headers.emplace("Apricotstile-Not-Run", "1");
    return reply;
}

http_reply reply_to(const work_refused& refused) {
    const bool stale = refused.reason == work_refusal::stale_token;
    return not_run_reply(stale ? 412 : 503, reason_text(refused.reason));
}

} // namespace apricotstile::standins
