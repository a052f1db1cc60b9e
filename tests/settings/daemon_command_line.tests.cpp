// The command line that the daemons share.

#include <apricotstile/settings/daemon_command_line.hpp>

#include <boost/program_options/errors.hpp>
#include <catch2/catch.hpp>

#include <vector>

using namespace apricotstile::settings;

namespace {

daemon_command_line
parse(std::vector<const char*> arguments, const std::string& usual_file = {}) {
    arguments.insert(arguments.begin(), "daemon");
    return parse_daemon_command_line(
        static_cast<int>(arguments.size()),
        arguments.data(),
        {"daemon", "1.0", "routes.", "file", "--settings is needed", usual_file}
    );
}

} // namespace

TEST_CASE("the settings file is named or is the usual one", "[settings]") {
    CHECK(parse({"--settings", "a.json"}).settings_file == "a.json");
    CHECK(parse({"-s", "a.json"}, "b.json").settings_file == "a.json");
    CHECK(parse({}, "b.json").settings_file == "b.json");
    CHECK_FALSE(parse({}, "b.json").done);
}

TEST_CASE("a command line without a settings file is refused", "[settings]") {
    CHECK_THROWS_WITH(parse({}), "--settings is needed");
    CHECK_THROWS_AS(parse({"--odd"}, "b.json"), boost::program_options::error);
}

TEST_CASE("help and version need no settings file", "[settings]") {
    CHECK(parse({"--help"}).done);
    CHECK(parse({"--version"}).done);
}
