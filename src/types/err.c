#include "types/err.h"

/* Name an error for logs and machine-readable output: lower case, stable
   between versions.  */
const char *
err_name (enum err code)
{
  switch (code)
    {
    case ERR_NONE:
      return "none";
    case ERR_ADDRESS:
      return "address";
    case ERR_CLOSED:
      return "closed";
    case ERR_REFUSED:
      return "refused";
    case ERR_TIMEOUT:
      return "timeout";
    case ERR_MALFORMED:
      return "malformed";
    case ERR_TOO_LARGE:
      return "too-large";
    case ERR_UNAVAILABLE:
      return "unavailable";
    case ERR_CONFLICT:
      return "conflict";
    case ERR_NOT_FOUND:
      return "not-found";
    case ERR_INVALID:
      return "invalid";
    case ERR_TRUNCATED:
      return "truncated";
    case ERR_INDETERMINATE:
      return "effect-unknown";
    case ERR_VERSION:
      return "version";
    case ERR_IO:
      return "io";
    case ERR_NOT_RETAINED:
      return "gone";
    }
  return "unnamed";
}
