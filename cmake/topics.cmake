# Helpers that keep each topic's CMakeLists.txt down to sorted source lists.

# Fixed so that every run of a property test draws the same cases.
set(APRICOTSTILE_PROPERTY_SEED 20261203)

# apricotstile_topic(NAME SOURCES a.cpp b.cpp LIBRARIES other_target ...)
# A topic without sources becomes a header-only library.
function(apricotstile_topic name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    set(target apricotstile_${name})
    if(ARG_SOURCES)
        add_library(${target} STATIC ${ARG_SOURCES})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} ${scope} ${ARG_LIBRARIES})
endfunction()

# apricotstile_tests(NAME SOURCES x.tests.cpp LIBRARIES target ...)
function(apricotstile_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    set(target ${name}_tests)
    add_executable(${target} ${ARG_SOURCES})
    target_link_libraries(
        ${target} PRIVATE apricotstile_test_support ${ARG_LIBRARIES}
    )
    add_test(NAME ${name} COMMAND ${target})
    set_tests_properties(
        ${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=${APRICOTSTILE_PROPERTY_SEED}"
        TIMEOUT 600
    )
endfunction()

# apricotstile_benchmark(NAME SOURCES x.cpp LIBRARIES target ...)
# Built with the rest; run by scripts/bench NAME.
function(apricotstile_benchmark name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    set(target ${name}_bench)
    add_executable(${target} ${ARG_SOURCES})
    target_link_libraries(${target} PRIVATE ${ARG_LIBRARIES})
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
endfunction()
