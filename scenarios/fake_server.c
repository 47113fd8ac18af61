#include "scenarios/fake_server.h"

#include <string.h>

#define SERVER_WORK_USEC 5000 /* a request takes */

/* Set up a server that runs and has seen nothing.  */
void
fake_server_init (struct fake_server *server)
{
  memset (server, 0, sizeof *server);
  server->up = TRUE;
  server->checks = TRUE;
  server->work = SERVER_WORK_USEC;
}

/* Take REQUEST, which comes with FENCE.  */
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
