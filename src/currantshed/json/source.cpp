// The one place where Boost.JSON's sources are compiled.
#include <boost/json/src.hpp>
