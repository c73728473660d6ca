# Functions that declare the packages of the repository.
#
# A package sees the headers of the packages named in DEPENDS and no others:
# include paths are attached to targets, so an include of an undeclared package
# does not compile.

# db_package (NAME [DEPENDS package...] [LIBS library...])
# Static library from every .c file of the current folder, and one GoogleTest
# program for each tests/*_test.cc file.
function (db_package name)
  cmake_parse_arguments (ARG "" "" "DEPENDS;LIBS" ${ARGN})
  file (GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  list (FILTER sources EXCLUDE REGEX "_main\\.c$")
  if (sources)
    add_library (db_${name} STATIC ${sources})
    set (scope PUBLIC)
  else ()
    add_library (db_${name} INTERFACE)
    set (scope INTERFACE)
  endif ()
  target_include_directories (db_${name} ${scope} ${CMAKE_CURRENT_SOURCE_DIR})
  foreach (dep ${ARG_DEPENDS})
    target_link_libraries (db_${name} ${scope} db_${dep})
  endforeach ()
  target_link_libraries (db_${name} ${scope} ${ARG_LIBS})
  if (DB_TESTS)
    db_package_tests (${name})
  endif ()
endfunction ()

# One ctest entry for each test case of each tests/*_test.cc file.  Those of
# crowd_test.cc measure the memory of a process, beside no other test.
function (db_package_tests name)
  file (GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  foreach (test ${tests})
    get_filename_component (stem ${test} NAME_WE)
    set (target ${name}_${stem})
    add_executable (${target} ${test})
    target_link_libraries (${target} db_${name} GTest::gtest GTest::gtest_main
      Threads::Threads)
    set (serial FALSE)
    if (stem STREQUAL crowd_test)
      set (serial TRUE)
    endif ()
    gtest_discover_tests (${target} TEST_PREFIX "${name}." DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 300 RUN_SERIAL ${serial})
  endforeach ()
endfunction ()

# db_program (NAME main-file DEPENDS package... [INSTALL])
function (db_program name main)
  cmake_parse_arguments (ARG "INSTALL" "" "DEPENDS" ${ARGN})
  if (NOT EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${main})
    return ()
  endif ()
  add_executable (${name} ${main})
  foreach (dep ${ARG_DEPENDS})
    target_link_libraries (${name} db_${dep})
  endforeach ()
  if (ARG_INSTALL)
    install (TARGETS ${name} RUNTIME DESTINATION bin)
  endif ()
endfunction ()

include (GoogleTest)
