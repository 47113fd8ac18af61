#ifndef SCENARIO_FAKE_SERVER_H
#define SCENARIO_FAKE_SERVER_H

#include "scenarios/fake_run.h"

/* A simulated backend server: rejects a request whose fence is lower than one
   already seen for the slice, and crashes on a request with a chosen
   digest.  */

#define SIM_SLICES_MAX 64u /* slices whose fences are recorded */

/* What a server does with a request.  */
enum fake_server_result
{
  FAKE_SERVER_RUNS,    /* runs it and will answer */
  FAKE_SERVER_REFUSES, /* rejects its outdated fence: not run */
  FAKE_SERVER_CRASHES, /* begins to run it and crashes */
  FAKE_SERVER_DOWN     /* is not running: not run */
};

struct fake_server
{
  gboolean up;            /* the server is running */
  gint64 restart_at;      /* restart time, simulated microseconds */
  gboolean checks_fences; /* requests with outdated fences are rejected */
  guint64 crash_digest;   /* digest that crashes the server, 0 for none */
  gint64 work_usec;       /* processing time of a request, microseconds */
  /* Highest fence seen, by slice.  */
  struct fence highest_fences[SIM_SLICES_MAX];
};

void fake_server_init (struct fake_server *server);
enum fake_server_result fake_server_receive (struct fake_server *server,
                                             const struct request *request,
                                             struct fence fence);

#endif
