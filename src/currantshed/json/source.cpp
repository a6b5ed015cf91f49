// Compiles the sources of Boost.JSON; must be included in exactly one file.
#include <boost/json/src.hpp>
