// Draws from the mix.

#include <standins/caller/call_generator.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace apricotstile::standins {

namespace {

using std::chrono::duration_cast;

constexpr std::chrono::milliseconds longest_hang_up{10};

const std::string&
draw_name(const std::vector<weighted_name>& names, random_source& random) {
    double sum = 0;
    for (const weighted_name& one : names) {
        sum += one.weight;
    }
    double left = std::uniform_real_distribution<double>{0, sum}(random);
    for (const weighted_name& one : names) {
        left -= one.weight;
        if (left < 0) {
            return one.name;
        }
    }
    return names.back().name;
}

std::string draw_key(call_generator& generator) {
    const std::vector<double>& weights = generator.key_weights;
    const double drawn = std::uniform_real_distribution<double>{
        0, weights.back()}(generator.random);
    const auto found = std::upper_bound(weights.begin(), weights.end(), drawn);
    return fmt::format("berth-{}", found - weights.begin());
}

bool draw_share(double share, random_source& random) {
    return std::bernoulli_distribution{share}(random);
}

duration draw_hang_up(random_source& random) {
    const auto most = static_cast<std::uint64_t>(
        duration_cast<duration>(longest_hang_up).count()
    );
    return duration{static_cast<duration::rep>(random_below(random, most))};
}

void make_invoice(planned_call& call, const call_mix& mix) {
    call.service = mix.invoice_service;
    call.method = "POST";
    call.idempotency_key = "key-" + call.name;
    call.body =
        fmt::format(R"({{"invoice":"{}","berth":"{}"}})", call.name, call.key);
}

} // namespace

weighted_name parse_weighted(const std::string& text) {
    const std::size_t equals = text.find('=');
    weighted_name parsed{text.substr(0, equals), 1};
    if (equals != std::string::npos) {
        parsed.weight = std::stod(text.substr(equals + 1));
    }
    if (parsed.name.empty() || parsed.weight < 0) {
        throw std::invalid_argument("not NAME[=WEIGHT]: '" + text + "'");
    }
    return parsed;
}

call_generator make_call_generator(
    const call_mix& mix, const std::string& name_prefix, std::uint64_t seed
) {
    call_generator generator{mix, name_prefix, random_source{seed}, {}, 0};
    double sum = 0;
    for (std::uint32_t number = 1; number <= mix.keys; ++number) {
        sum += std::pow(number, -mix.skew);
        generator.key_weights.push_back(sum);
    }
    return generator;
}

duration draw_gap(call_generator& generator) {
    const std::chrono::duration<double> seconds{
        std::exponential_distribution<double>{
            generator.mix.per_second}(generator.random)};
    return duration_cast<duration>(seconds);
}

planned_call draw_call(call_generator& generator) {
    const call_mix& mix = generator.mix;
    random_source& random = generator.random;
    planned_call call;
    ++generator.last;
    call.name = fmt::format("{}{}", generator.name_prefix, generator.last);
    call.key = draw_key(generator);
    call.customer = draw_name(mix.customers, random);
    if (draw_share(mix.invoice_share, random)) {
        make_invoice(call, mix);
    } else {
        call.service = draw_name(mix.lookup_services, random);
        call.method = "GET";
    }
    if (draw_share(mix.hang_up_share, random)) {
        call.hang_up_after = draw_hang_up(random);
    }
    return call;
}

} // namespace apricotstile::standins
