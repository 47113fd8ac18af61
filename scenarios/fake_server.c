#include "scenarios/fake_server.h"

#include <string.h>

#define SERVER_WORK_USEC 5000 /* processing time of a request */

/* Set up a running server that has seen no fences.  */
void
fake_server_init (struct fake_server *server)
{
  memset (server, 0, sizeof *server);
  server->up = TRUE;
  server->checks = TRUE;
  server->work = SERVER_WORK_USEC;
}

/* Decide what SERVER does with REQUEST, which carries FENCE.  A server that
   checks fences remembers the highest one of each slice.  */
enum fake_verdict
fake_server_take (struct fake_server *server, const struct request *request,
                  struct fence fence)
{
  if (!server->up)
    return FAKE_DOWN;
  if (server->checks && request->key[0] != '\0' && request->slice < SLICES_MAX)
    {
      struct fence *seen = &server->fences[request->slice];
      if (fence_compare (fence, *seen) < 0)
        return FAKE_REFUSES;
      *seen = fence;
    }
  if (server->crash_digest != 0 && server->crash_digest == request->digest)
    return FAKE_CRASHES;
  return FAKE_RUNS;
}
