#ifndef SCENARIO_SENDING_H
#define SCENARIO_SENDING_H

#include "types/request.h"

/* One sending of a caller's request, and how it was answered.  */

struct submission
{
  char id[REQUEST_ID_SIZE]; /* id of the request */
  char key[KEY_SIZE];       /* its key */
  gboolean is_probe;        /* made by the runner, not by the script */
  gint64 sent_at;           /* when */
  gboolean answered;        /* an answer came */
  gint64 answered_at;       /* when */
  enum outcome outcome;     /* the answer */
  enum reason reason;       /* its reason */
  gboolean was_run;         /* a server has run it */
};

#endif
