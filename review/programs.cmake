# Adds the programs of the review to the users' build. Read by CMake after project(); the targets are added
# once the project's own libraries are defined.
cmake_language(EVAL CODE "cmake_language(DEFER CALL include [[${CMAKE_CURRENT_LIST_DIR}/targets.cmake]])")
