# greengage_layer(NAME LINKS lib...): adds a library of the sources below src/NAME,
# except those in programs/.
function(greengage_layer NAME)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${NAME}/*.cpp ${CMAKE_SOURCE_DIR}/src/${NAME}/*.c++)
  list(FILTER sources EXCLUDE REGEX "/programs/")
  if(NOT sources)
    add_library(greengage_${NAME} INTERFACE)
    target_link_libraries(greengage_${NAME} INTERFACE ${ARG_LINKS})
    return()
  endif()
  add_library(greengage_${NAME} STATIC ${sources})
  target_include_directories(greengage_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(greengage_${NAME} PUBLIC ${ARG_LINKS} PRIVATE greengage_warnings)
  # Disables warnings in generated Cap'n Proto code.
  set_source_files_properties(${CMAKE_SOURCE_DIR}/src/protocol/peer.capnp.c++
    ${CMAKE_SOURCE_DIR}/src/protocol/membership.capnp.c++
    PROPERTIES COMPILE_OPTIONS "-w")
endfunction()

# greengage_programs(FOLDER LINKS lib...): adds one program per FOLDER/*.cpp.
function(greengage_programs FOLDER)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cpp)
  foreach(main ${mains})
    get_filename_component(stem ${main} NAME_WE)
    string(REPLACE "_" "-" program ${stem})
    add_executable(${program} ${main})
    target_link_libraries(${program} PRIVATE ${ARG_LINKS} greengage_warnings)
    set_property(GLOBAL APPEND PROPERTY GREENGAGE_PROGRAMS ${program})
  endforeach()
endfunction()

# greengage_tests(NAME [RUN_SERIAL]): adds one test program of the sources below
# tests/NAME. With RUN_SERIAL, CTest runs no other test at the same time.
function(greengage_tests NAME)
  cmake_parse_arguments(ARG "RUN_SERIAL" "" "" ${ARGN})
  set(properties TIMEOUT 300)
  if(ARG_RUN_SERIAL)
    list(APPEND properties RUN_SERIAL TRUE)
  endif()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${NAME}/*.cpp)
  if(NOT sources)
    return()
  endif()
  file(GLOB support CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/support/*.cpp)
  add_executable(${NAME}_tests ${sources} ${support})
  target_include_directories(${NAME}_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(${NAME}_tests PRIVATE
    GREENGAGE_BINARY_FOLDER="${CMAKE_BINARY_DIR}/bin" GREENGAGE_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${NAME}_tests PRIVATE greengage_daemon greengage_tools GTest::gmock GTest::gtest_main
    greengage_warnings)
  get_property(programs GLOBAL PROPERTY GREENGAGE_PROGRAMS)
  if(programs)
    add_dependencies(${NAME}_tests ${programs})
  endif()
  gtest_discover_tests(${NAME}_tests NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60 PROPERTIES ${properties})
endfunction()

# greengage_benchmark_library(NAME FOLDER): adds a library of FOLDER/*.cpp, the
# measurements that benchmark programs and tests share.
function(greengage_benchmark_library NAME FOLDER)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cpp)
  add_library(${NAME} STATIC ${sources})
  target_include_directories(${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/benchmarks ${CMAKE_SOURCE_DIR})
  target_link_libraries(${NAME} PUBLIC greengage_protocol PRIVATE greengage_warnings)
endfunction()

# greengage_benchmarks(FOLDER LINKS lib...): adds one Google Benchmark program per
# FOLDER/*.cpp.
function(greengage_benchmarks FOLDER)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cpp)
  foreach(main ${mains})
    get_filename_component(program ${main} NAME_WE)
    add_executable(${program} ${main})
    target_include_directories(${program} PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(${program} PRIVATE ${ARG_LINKS} benchmark::benchmark greengage_warnings)
  endforeach()
endfunction()

# greengage_fuzzers(FOLDER LINKS lib...): adds one libFuzzer program per FOLDER/*.cpp;
# requires clang.
function(greengage_fuzzers FOLDER)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  add_custom_target(fuzzers)
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cpp)
  foreach(main ${mains})
    get_filename_component(program ${main} NAME_WE)
    add_executable(${program} EXCLUDE_FROM_ALL ${main})
    target_link_options(${program} PRIVATE -fsanitize=fuzzer)
    target_link_libraries(${program} PRIVATE ${ARG_LINKS} greengage_warnings)
    add_dependencies(fuzzers ${program})
  endforeach()
endfunction()
