# figplank_module(NAME SOURCES ... DEPENDS ...) declares the static library of a
# module; figplank_tests(NAME SOURCES ... DEPENDS ...) declares a CppUTest program
# and registers it with CTest as NAME.
include(CMakeParseArguments)

function(figplank_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(figplank_${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(figplank_${NAME} PUBLIC figplank_options ${ARG_DEPENDS})
endfunction()

function(figplank_tests NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;APART" ${ARGN})
  add_executable(${NAME}_tests ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/framework/tests/main.cpp)
  target_link_libraries(${NAME}_tests PRIVATE figplank_options ${ARG_DEPENDS} CppUTest CppUTestExt)
  target_compile_definitions(${NAME}_tests PRIVATE
    CPPUTEST_MEM_LEAK_DETECTION_DISABLED
    FIGPLANK_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/data")
  # Tests named under APART are ctests of their own, so that KNOWN-RED.txt can
  # list one of them and not its suite.
  set(excluded)
  foreach(test ${ARG_APART})
    list(APPEND excluded -xn ${test})
    add_test(NAME ${NAME}_${test} COMMAND ${NAME}_tests -v -sn ${test})
  endforeach()
  add_test(NAME ${NAME} COMMAND ${NAME}_tests -v ${excluded})
endfunction()

# Adds the `tests` folder of a module if FIGPLANK_TESTS is on.
function(figplank_test_folder)
  if(FIGPLANK_TESTS)
    add_subdirectory(tests)
  endif()
endfunction()
