// Boost.JSON is used header-only; its definitions are compiled here, once.

#include <boost/json/src.hpp>
