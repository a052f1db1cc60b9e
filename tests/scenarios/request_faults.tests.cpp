// Scripted scenarios of what fails under a request.

#include <tests/scenarios/request_world.hpp>
#include <tests/support/lua_script.hpp>

#include <catch2/catch.hpp>

using namespace apricotstile;
using namespace apricotstile::tests;

namespace {

using functions = std::map<std::string, script_function>;

std::string text_at(const script_arguments& arguments, std::size_t index) {
    return std::get<std::string>(arguments.at(index));
}

duration milliseconds_at(const script_arguments& arguments, std::size_t index) {
    const double number = std::get<double>(arguments.at(index));
    return std::chrono::milliseconds{static_cast<std::int64_t>(number)};
}

world_request
make_request(const request_world& world, const std::string& body) {
    world_request result;
    result.content.customer = {"kadewerk"};
    result.content.key = "berth 7";
    result.content.body = body;
    result.deadline = world.now + std::chrono::seconds{1};
    return result;
}

/// get(NAME): an idempotent request.
script_value get(request_world& world, const script_arguments& arguments) {
    const std::string name = text_at(arguments, 0);
    send(world, name, make_request(world, name));
    return {};
}

world_request
make_post(const request_world& world, const script_arguments& arguments) {
    const std::string key = text_at(arguments, 1);
    world_request result = make_request(world, key);
    result.content.idempotent = false;
    result.content.caller_key = {key};
    if (arguments.size() > 2) {
        result.content.ticket = text_at(arguments, 2);
    }
    return result;
}

/// post(NAME, KEY [, TICKET]): a non-idempotent one.
script_value post(request_world& world, const script_arguments& arguments) {
    send(world, text_at(arguments, 0), make_post(world, arguments));
    return {};
}

/// poison(NAME, KEY): one that kills the upstream whenever it runs.
script_value poison(request_world& world, const script_arguments& arguments) {
    world_request sent = make_request(world, text_at(arguments, 1));
    sent.crashes_upstream = true;
    send(world, text_at(arguments, 0), sent);
    return {};
}

const world_request&
find(const request_world& world, const script_arguments& arguments) {
    return world.requests.at(text_at(arguments, 0));
}

/// outcome(NAME): the word that the caller was told, or nil.
script_value
outcome(const request_world& world, const script_arguments& arguments) {
    const world_request& sent = find(world, arguments);
    if (sent.answers == 0) {
        return {};
    }
    return std::string{to_string(sent.answer.outcome)};
}

script_value
refusal(const request_world& world, const script_arguments& arguments) {
    return std::string{to_string(find(world, arguments).answer.refusal)};
}

/// ticket(NAME): the fresh ticket that came with the answer.
script_value
ticket(const request_world& world, const script_arguments& arguments) {
    return find(world, arguments).answer.ticket;
}

/// runs(KEY): how often non-idempotent work of that key ran.
script_value
runs(const request_world& world, const script_arguments& arguments) {
    const auto found = world.key_runs.find(text_at(arguments, 0));
    return found == world.key_runs.end() ? 0.0 : double(found->second);
}

functions request_functions(request_world& world) {
    const auto bind = [&world](auto function) -> script_function {
        return [&world, function](const script_arguments& arguments) {
            return function(world, arguments);
        };
    };
    return {
        {"get", bind(get)},
        {"post", bind(post)},
        {"poison", bind(poison)},
        {"outcome", bind(outcome)},
        {"refusal", bind(refusal)},
        {"ticket", bind(ticket)},
        {"runs", bind(runs)},
        {"crashes",
         [&world](const script_arguments&) -> script_value {
             return double(world.upstream_crashes);
         }},
    };
}

/// Moves that need no argument.
functions world_functions(request_world& world) {
    const auto bind = [&world](auto move) -> script_function {
        return [&world, move](const script_arguments&) -> script_value {
            move(world);
            return {};
        };
    };
    return {
        {"pass",
         [&world](const script_arguments& arguments) -> script_value {
             pass(world, milliseconds_at(arguments, 0));
             return {};
         }},
        {"cut_owner", bind([](request_world& it) {
             cut(it, it.owner);
         })},
        {"freeze_owner", bind([](request_world& it) {
             freeze(it, it.owner);
         })},
        {"lose_owner", bind(lose_owner)},
        {"depose_owner", bind(depose_owner)},
        {"move_slice", bind(move_slice)},
        {"settle", bind(settle)},
    };
}

void run_scenario(const std::string& name) {
    const auto world = make_world();
    functions all = request_functions(*world);
    all.merge(world_functions(*world));
    const std::string folder = APRICOTSTILE_SCENARIOS "/requests/";
    run_script(folder + name + ".lua", all);
    settle(*world);
    REQUIRE(world->broken == violation{});
}

} // namespace

TEST_CASE("an owner cut off by a partition", "[scenario]") {
    run_scenario("partition");
}

TEST_CASE("an owner that is paused and wakes", "[scenario]") {
    run_scenario("paused_owner");
}

TEST_CASE("an owner that is lost with its memory", "[scenario]") {
    run_scenario("lost_owner");
}

TEST_CASE("a planned move", "[scenario]") {
    run_scenario("planned_move");
}

TEST_CASE("a request that crashes each upstream", "[scenario]") {
    run_scenario("poison_request");
}

TEST_CASE("two failures at once", "[scenario]") {
    run_scenario("two_failures");
}

TEST_CASE("a script's failure is reported", "[scenario]") {
    const functions none;
    const std::string missing = APRICOTSTILE_SCENARIOS "/requests/none.lua";
    REQUIRE_THROWS_AS(run_script(missing, none), script_error);
}
