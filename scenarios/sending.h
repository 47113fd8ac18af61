#ifndef SCENARIO_SENDING_H
#define SCENARIO_SENDING_H

#include "types/request.h"

/* One sending of a caller's request, and how it was answered.  */

struct sending
{
  char id[REQUEST_ID_SIZE]; /* id of the request */
  char key[KEY_SIZE];       /* its key */
  gboolean probe;           /* made by the runner, not by the script */
  gint64 sent;              /* when */
  gboolean answered;        /* an answer came */
  gint64 answered_at;       /* when */
  enum outcome outcome;     /* the answer */
  enum reason reason;       /* its reason */
  gboolean ran;             /* a server has run it */
};

#endif
