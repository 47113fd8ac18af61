#include "types/reason.h"

#include <string.h>

/* Names, indexed by enum reason.  */
static const char *const reason_names[REASON_COUNT] = {
  "none",        "no-rule",       "no-key",       "no-owner",    "not-owner",
  "lease",       "overload",      "deadline",     "server-down", "peer-lost",
  "draining",    "no-stamp",      "old-stamp",    "duplicate",   "quarantined",
  "truncated",   "refused-grant", "caller-gone",  "no-server",   "crossed",
  "bad-request", "hops",          "garbled",      "no-config",   "misdirected",
  "shed",        "key-denied",    "body-lost",    "evacuated",   "warming-up",
  "memory",      "bad-route",     "other-service"
};

/* Return the name of REASON, as sent to callers in Bambootally-Reason.  */
const char *
reason_name (enum reason reason)
{
  if ((unsigned)reason >= REASON_COUNT)
    return "unnamed";
  return reason_names[reason];
}

/* Return the reason called NAME, or REASON_NONE if there is none.  */
enum reason
reason_parse (const char *name)
{
  unsigned i;

  for (i = 0; i < REASON_COUNT; i++)
    if (strcmp (reason_names[i], name) == 0)
      return (enum reason)i;
  return REASON_NONE;
}
