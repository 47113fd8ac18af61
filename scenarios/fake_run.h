#ifndef SCENARIO_FAKE_RUN_H
#define SCENARIO_FAKE_RUN_H

#include "types/request.h"

/* A run of a request by a simulated backend server.  */

struct fake_run
{
  char id[REQUEST_ID_SIZE]; /* id of the request */
  char key[KEY_SIZE];       /* key of the request */
  enum run_class run_class; /* whether the request may run more than once */
  guint32 slice;            /* slice of the key */
  struct fence fence;       /* fence that the request carried */
  guint node;               /* index of the node beside the server */
  gint64 started_at;        /* start of the run, simulated microseconds */
  guint submission;         /* index of the submission that was run */
};

#endif
