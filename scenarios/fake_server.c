#include "scenarios/fake_server.h"

#include <string.h>

#define SERVER_WORK_USEC 5000 /* a request takes */

/* Set up a server that runs and has seen nothing.  */
void
fake_server_init (struct fake_server *server)
{
  memset (server, 0, sizeof *server);
  server->up = TRUE;
  server->checks_fences = TRUE;
  server->work_usec = SERVER_WORK_USEC;
}

/* Take REQUEST, which comes with FENCE.  */
enum fake_server_result
fake_server_receive (struct fake_server *server, const struct request *request,
                     struct fence fence)
{
  if (!server->up)
    return FAKE_SERVER_DOWN;
  if (server->checks_fences && request->key[0] != '\0'
      && request->slice < SLICES_MAX)
    {
      struct fence *seen = &server->highest_fences[request->slice];
      if (fence_compare (fence, *seen) < 0)
        return FAKE_SERVER_REFUSES;
      *seen = fence;
    }
  if (server->crash_digest != 0 && server->crash_digest == request->digest)
    return FAKE_SERVER_CRASHES;
  return FAKE_SERVER_RUNS;
}
