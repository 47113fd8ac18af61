#include "types/outcome.h"

/* Return the name of OUTCOME, as sent to callers in Bambootally-Outcome.  */
const char *
outcome_name (enum outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_NOT_RUN:
      return "not-run";
    case OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unnamed";
}
