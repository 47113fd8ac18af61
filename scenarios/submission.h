#ifndef SCENARIO_SUBMISSION_H
#define SCENARIO_SUBMISSION_H

#include "types/request.h"

/* A caller's submission of a request, and its answer.  A request id may be
   submitted several times.  */

struct submission
{
  char id[REQUEST_ID_SIZE]; /* id of the request */
  char key[KEY_SIZE];       /* key of the request */
  gboolean is_probe;    /* sent by the runner, not by a request statement */
  gint64 sent_at;       /* when it was submitted, simulated microseconds */
  gboolean answered;    /* an answer has arrived */
  gint64 answered_at;   /* when the answer arrived, simulated microseconds */
  enum outcome outcome; /* outcome in the answer */
  enum reason reason;   /* reason for the outcome */
  gboolean was_run;     /* a server has begun to run it */
};

#endif
