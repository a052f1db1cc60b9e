// Flags, help and errors of a program.

#include <standins/support/program.hpp>

#include <boost/program_options.hpp>

#include <cstdio>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace apricotstile::standins {

int run_program(
    int argc,
    char** argv,
    const boost::program_options::options_description& flags,
    const std::function<int()>& run
) {
    namespace options = boost::program_options;
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, flags), given);
        if (given.count("help") > 0) {
            fmt::print("{}\n", fmt::streamed(flags));
            return 0;
        }
        options::notify(given);
        return run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}: {}\n", argv[0], error.what());
        return failure_status;
    }
}

} // namespace apricotstile::standins
