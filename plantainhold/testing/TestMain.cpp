// The entry point that all test programs share.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
