// The frame that the stand-ins' main functions share.

#ifndef APRICOTSTILE_STANDINS_SUPPORT_PROGRAM_HPP
#define APRICOTSTILE_STANDINS_SUPPORT_PROGRAM_HPP

#include <boost/program_options/options_description.hpp>

#include <functional>

namespace apricotstile::standins {

/// Exit status for wrong flags and other failures.
constexpr int failure_status = 2;

/// Reads the flags and calls `run`, whose result is the exit status. Shows
/// the flags instead on --help, and the reason on standard error when
/// anything throws.
[[nodiscard]] int run_program(
    int argc,
    char** argv,
    const boost::program_options::options_description& flags,
    const std::function<int()>& run
);

} // namespace apricotstile::standins

#endif
