#include "types/reason.h"

#include <string.h>

/* Names in the order of the numbers.  */
static const char *const reason_names[REASON_COUNT]
    = { "none",          "no-rule",     "no-key",      "no-owner",
        "not-owner",     "lease",       "overload",    "deadline",
        "server-down",   "peer-lost",   "draining",    "no-stamp",
        "old-stamp",     "duplicate",   "quarantined", "truncated",
        "refused-grant", "caller-gone", "no-server",   "crossed",
        "bad-request",   "hops",        "garbled",     "no-config",
        "misdirected",   "shed" };

/* Name a reason as callers see it in Bambootally-Reason.  */
const char *
reason_name (enum reason reason)
{
  if ((unsigned)reason >= REASON_COUNT)
    return "unnamed";
  return reason_names[reason];
}

/* The reason called NAME; REASON_NONE if there is no such one.  */
enum reason
reason_parse (const char *name)
{
  unsigned i;

  for (i = 0; i < REASON_COUNT; i++)
    if (strcmp (reason_names[i], name) == 0)
      return (enum reason)i;
  return REASON_NONE;
}
