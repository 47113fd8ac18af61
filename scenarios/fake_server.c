#include "scenarios/fake_server.h"

#include <string.h>

#define SERVER_WORK_USEC 5000 /* processing time of a request */

/* Set up a running server that has seen no fences.  */
void
fake_server_init (struct fake_server *server)
{
  memset (server, 0, sizeof *server);
  server->up = TRUE;
  server->checks_fences = TRUE;
  server->work_usec = SERVER_WORK_USEC;
}

/* Decide what SERVER does with REQUEST, which carries FENCE.  A server that
   checks fences remembers the highest one of each slice.  */
enum fake_server_result
fake_server_receive (struct fake_server *server, const struct request *request,
                     struct fence fence)
{
  if (!server->up)
    return FAKE_SERVER_DOWN;
  if (server->checks_fences && request->key[0] != '\0'
      && request->slice < SIM_SLICES_MAX)
    {
      struct fence *highest = &server->highest_fences[request->slice];
      if (fence_compare (fence, *highest) < 0)
        return FAKE_SERVER_REFUSES;
      *highest = fence;
    }
  if (server->crash_digest != 0 && server->crash_digest == request->digest)
    return FAKE_SERVER_CRASHES;
  return FAKE_SERVER_RUNS;
}
