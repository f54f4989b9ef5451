// Boost.JSON is used without its library; this is the only translation unit that
// compiles its definitions.

#include <boost/json/src.hpp>
