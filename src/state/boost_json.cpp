// The only translation unit that compiles the implementation of Boost.JSON,
// because the Debian package is used as a header-only library.
#include <boost/json/src.hpp>
