#ifndef SCENARIO_FAKE_SERVER_H
#define SCENARIO_FAKE_SERVER_H

#include "scenarios/fake_run.h"

/* A simulated backend server: rejects a request whose fence is lower than one
   already seen for the slice, and crashes on a request with a chosen
   digest.  */

#define SLICES_MAX 64u /* slices whose fences are recorded */

/* What a server does with a request.  */
enum fake_verdict
{
  FAKE_RUNS,    /* runs it and will answer */
  FAKE_REFUSES, /* rejects its outdated fence: not run */
  FAKE_CRASHES, /* begins to run it and crashes */
  FAKE_DOWN     /* is not running: not run */
};

struct fake_server
{
  gboolean up;          /* the server is running */
  gint64 up_at;         /* restart time, simulated microseconds */
  gboolean checks;      /* requests with outdated fences are rejected */
  guint64 crash_digest; /* digest that crashes the server, 0 for none */
  gint64 work;          /* processing time of a request, microseconds */
  struct fence fences[SLICES_MAX]; /* highest fence seen, by slice */
};

void fake_server_init (struct fake_server *server);
enum fake_verdict fake_server_take (struct fake_server *server,
                                    const struct request *request,
                                    struct fence fence);

#endif
