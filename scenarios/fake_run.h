#ifndef SCENARIO_FAKE_RUN_H
#define SCENARIO_FAKE_RUN_H

#include "types/request.h"

/* One run of a request by a backend server, as the server records it.  */

struct fake_run
{
  char id[REQUEST_ID_SIZE]; /* id of the request */
  char key[KEY_SIZE];       /* its key */
  enum run_class run_class; /* whether it may run again */
  guint32 slice;            /* slice of the key */
  struct fence fence;       /* fence it came with */
  guint node;               /* node beside the server */
  gint64 started_at;        /* when, scripted microseconds */
  guint submission;         /* which sending of the caller it was */
};

#endif
