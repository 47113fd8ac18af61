#ifndef SCENARIO_FAKE_SERVER_H
#define SCENARIO_FAKE_SERVER_H

#include "scenarios/fake_run.h"

/* A backend server: it takes a request if its fence is not below one that it
   has seen for the slice, and stops on a request that crashes it.  */

#define SLICES_MAX 64u /* hashed slices whose fences it keeps */

/* What it makes of a request.  */
enum fake_server_result
{
  FAKE_SERVER_RUNS,    /* it runs and will be answered */
  FAKE_SERVER_REFUSES, /* its fence is old: not run */
  FAKE_SERVER_CRASHES, /* it has begun, and the server stops */
  FAKE_SERVER_DOWN     /* the server does not run: not run */
};

struct fake_server
{
  gboolean up;            /* it runs */
  gint64 restart_at;      /* it runs again from then on */
  gboolean checks_fences; /* it checks fences */
  guint64 crash_digest;   /* digest that crashes it, 0 for none */
  gint64 work_usec;       /* a request takes so long, usec */
  struct fence highest_fences[SLICES_MAX]; /* highest fence seen, by slice */
};

void fake_server_init (struct fake_server *server);
enum fake_server_result fake_server_receive (struct fake_server *server,
                                             const struct request *request,
                                             struct fence fence);

#endif
